#pragma once

#include <functional>
#include <utility>

namespace Radishplank {

/// Lets one fiber end the call of another fiber of the same thread, whatever that waits for.
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

    /// Sets what ends the present wait of the call.
    void setInterrupt(std::function<void()> interrupt) { m_interrupt = std::move(interrupt); }

private:
    bool m_isCancelled = false;
    std::function<void()> m_interrupt;
};

} // namespace Radishplank
