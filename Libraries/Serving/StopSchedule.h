#pragma once

#include <Core/Clock.h>

#include <atomic>

namespace Radishplank {

/// Decides how long a process that has been told to stop takes calls, and which. Thread-safe.
class StopSchedule
{
public:
    /// Begins the stop of a process that is killed `killAfter` from now.
    void begin(Duration killAfter, TimePoint now);
    /// Begins a stop of which both times are given.
    void begin(TimePoint closesAt, TimePoint endsAt, TimePoint now);

    [[nodiscard]] bool hasBegun() const { return endsAt() != TimePoint::max(); }
    /// Returns when the process closes idle connections and accepts no more.
    [[nodiscard]] TimePoint closesAt() const;
    /// Returns when the process cuts off the calls that are still in progress.
    [[nodiscard]] TimePoint endsAt() const;
    /// Returns whether to take a call that may last until the deadline. A call that could be cut
    /// off is refused, except that the calls of routes with long timeouts are taken at first: most
    /// of them are short, and callers keep coming until load balancers have noticed the stop.
    [[nodiscard]] bool mayTake(TimePoint deadline, TimePoint now) const;

    /// Load balancers stop routing callers here within this time.
    static constexpr Milliseconds balancerUpdateTime{3'500};
    /// Time reserved for the exit before the process is killed, as far as a quarter of its time
    /// allows.
    static constexpr Milliseconds exitMargin{700};
    /// No call needs more than this share of the time from the signal to endsAt() to be taken.
    static constexpr double maxNeededShare = 0.7;

private:
    std::atomic<Duration> m_maxNeededTime{Duration(0)};
    std::atomic<TimePoint> m_closesAt{TimePoint::max()};
    std::atomic<TimePoint> m_endsAt{TimePoint::max()};
};

} // namespace Radishplank
