#pragma once

#include <Core/Clock.h>
#include <Net/Net.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace Radishplank {

/// Why a call is cancelled before it has been answered.
enum class StopReason { None, CallerLeft, DeadlinePassed };

/// Cancels the attempts of a call when its caller disconnects or its deadline passes.
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
    /// Records that the caller has disconnected, as a failed write to it shows.
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

    /// Shared with the handlers, which can run after the call has finished.
    std::shared_ptr<State> m_state = std::make_shared<State>();
    boost::asio::steady_timer m_timer;
};

} // namespace Radishplank
