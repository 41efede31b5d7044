#pragma once

#include <functional>
#include <utility>

namespace Radishplank {

/// Cancels a call in another fiber of the same thread, whichever operation the call waits for.
class CallCancellation
{
public:
    CallCancellation() = default;
    CallCancellation(const CallCancellation &) = delete;
    CallCancellation &operator=(const CallCancellation &) = delete;

    void cancel()
    {
        m_isCancelled = true;
        if (m_interrupt)
            m_interrupt();
    }

    [[nodiscard]] bool isCancelled() const { return m_isCancelled; }

    /// Sets the function that interrupts the operation the call currently waits for.
    void setInterrupt(std::function<void()> interrupt) { m_interrupt = std::move(interrupt); }

private:
    bool m_isCancelled = false;
    std::function<void()> m_interrupt;
};

} // namespace Radishplank
