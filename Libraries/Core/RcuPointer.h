#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace Radishplank {

/// Registers the calling thread with the read-copy-update domain and keeps a read section open.
///
/// A fiber must not suspend while it holds one.
class RcuReadSection
{
public:
    RcuReadSection();
    ~RcuReadSection();
    RcuReadSection(const RcuReadSection &) = delete;
    RcuReadSection &operator=(const RcuReadSection &) = delete;
};

/// Waits until every read section that is open now has ended.
void waitForRcuReaders();

/// An immutable value that readers use without locks while writers replace it whole.
template<typename Value>
class RcuPointer
{
public:
    explicit RcuPointer(std::unique_ptr<const Value> initial)
        : m_current(initial.release())
    {
    }
    ~RcuPointer() { delete m_current.load(); }
    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    /// Calls the function with the current value, which must not be kept beyond the call.
    template<typename Function>
    auto read(Function &&function) const
    {
        const RcuReadSection section;
        return function(*m_current.load(std::memory_order_acquire));
    }

    /// Replaces the value and destroys the old one once no reader uses it.
    void publish(std::unique_ptr<const Value> next)
    {
        const std::scoped_lock lock(m_writerMutex);
        const std::unique_ptr<const Value> old(
                m_current.exchange(next.release(), std::memory_order_acq_rel));
        waitForRcuReaders();
    }

private:
    std::mutex m_writerMutex;
    std::atomic<const Value *> m_current;
};

} // namespace Radishplank
