#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace Radishplank {

/// An RCU (read-copy-update) read-side critical section; registers the calling thread if needed.
///
/// A fiber must not suspend inside the section.
class RcuReadSection
{
public:
    RcuReadSection();
    ~RcuReadSection();
    RcuReadSection(const RcuReadSection &) = delete;
    RcuReadSection &operator=(const RcuReadSection &) = delete;
};

/// Waits for an RCU grace period: until every read section that is currently open has ended.
void waitForRcuReaders();

/// A pointer to an immutable value that readers access without locks and writers replace.
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

    /// Calls the function with the current value, which is valid only during the call.
    template<typename Function>
    auto read(Function &&function) const
    {
        const RcuReadSection section;
        return function(*m_current.load(std::memory_order_acquire));
    }

    /// Replaces the value, waits until no reader uses the old one, and destroys it.
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
