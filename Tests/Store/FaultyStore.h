#pragma once

#include <Store/Store.h>

#include <functional>
#include <optional>

namespace Radishplank {

/// An object store with fault injection: a call fails before or after it takes effect.
class FaultyStore
{
public:
    enum class Fault {
        None,
        Outage,
        LostResponse,
        Refusal, ///< The store says that it has done nothing.
    };

    explicit FaultyStore(MemoryObjectStore &store)
        : m_store(store)
    {
    }

    /// Returns the fault to inject into a call; invoked before each call.
    std::function<Fault()> nextFault = [] { return Fault::None; };
    /// Invoked before each read of a single object.
    std::function<void(std::string_view key)> beforeGet = [](std::string_view) {};
    std::size_t writes = 0;
    /// Writes of larger values are rejected.
    std::size_t maxValueBytes = std::size_t{1024} * 1024;
    /// Values that contain this text are rejected as invalid; none if empty.
    std::string invalidText;

    Result<StoredObject> get(std::string_view key)
    {
        beforeGet(key);
        if (const auto fault = nextFault(); fault != Fault::None)
            return failureOf(fault);
        return m_store.get(key);
    }
    Result<Version> put(std::string_view key, std::string value, Version expected)
    {
        writes += 1;
        const auto fault = nextFault();
        if (fault == Fault::Outage || fault == Fault::Refusal)
            return failureOf(fault);
        if (value.size() > maxValueBytes)
            return Error{ErrorKind::TooLarge, "the value is too large"};
        if (!invalidText.empty() && value.find(invalidText) != std::string::npos)
            return Error{ErrorKind::InvalidInput, "the value is invalid"};
        auto written = m_store.put(key, std::move(value), expected);
        if (fault == Fault::LostResponse)
            return unavailable();
        return written;
    }
    Result<void> remove(std::string_view key, Version expected)
    {
        const auto fault = nextFault();
        if (fault == Fault::Outage || fault == Fault::Refusal)
            return failureOf(fault);
        auto removed = m_store.remove(key, expected);
        if (fault == Fault::LostResponse)
            return unavailable();
        return removed;
    }
    Result<ObjectPage> list(std::string_view prefix, std::string_view after, ListContent content)
    {
        if (const auto fault = nextFault(); fault != Fault::None)
            return failureOf(fault);
        return m_store.list(prefix, after, content);
    }
    Result<WatchBatch> watch(std::string_view prefix, Version since, Milliseconds wait)
    {
        if (const auto fault = nextFault(); fault != Fault::None)
            return failureOf(fault);
        return m_store.watch(prefix, since, wait);
    }

private:
    static Error unavailable() { return {ErrorKind::Unavailable, "the store is unavailable"}; }
    static Error failureOf(Fault fault)
    {
        return fault == Fault::Refusal ? Error{ErrorKind::Refused, "the store refuses the call"}
                                       : unavailable();
    }

    MemoryObjectStore &m_store;
};

static_assert(ObjectStore<FaultyStore>);

} // namespace Radishplank
