#pragma once

#include <Core/Clock.h>
#include <Net/Net.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace Radishplank {

/// Why a call is stopped before it has been answered.
enum class StopReason { None, CallerLeft, DeadlinePassed };

/// Ends the attempts of a call when its caller leaves or its time is over.
class CallWatch
{
public:
    CallWatch(HttpExchange &exchange, TimePoint deadline);
    ~CallWatch();
    CallWatch(const CallWatch &) = delete;
    CallWatch &operator=(const CallWatch &) = delete;

    [[nodiscard]] StopReason stopReason() const { return m_state->reason; }
    [[nodiscard]] bool isStopped() const { return stopReason() != StopReason::None; }
    [[nodiscard]] CallCancellation *cancellation() { return &m_state->cancellation; }
    /// Notes what a failed write to the caller has shown.
    void noteCallerLeft() { m_state->stop(StopReason::CallerLeft); }

private:
    struct State
    {
        CallCancellation cancellation;
        StopReason reason = StopReason::None;

        void stop(StopReason why)
        {
            if (reason != StopReason::None)
                return;
            reason = why;
            cancellation.cancel();
        }
    };

    /// Shared with handlers, which can run after the call has ended.
    std::shared_ptr<State> m_state = std::make_shared<State>();
    boost::asio::steady_timer m_timer;
};

} // namespace Radishplank
