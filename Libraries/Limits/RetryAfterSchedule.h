#pragma once

#include <Core/Core.h>

#include <cstdint>

namespace Radishplank {

/// Bounds of the retry delays.
struct RetryAfterBounds
{
    Milliseconds minimum{1'000};
    /// The current completion rate does not predict a longer wait.
    Milliseconds maximum{10'000};
    /// Returned when no work has completed recently.
    Milliseconds initial{2'000};
};

/// Computes after what time refused callers should retry.
///
/// If all callers refused under overload retried at the same time, all but the first would be
/// refused again. Each caller therefore gets the time at which enough work for it and for the
/// callers before it will have completed, at the recent completion rate. Pure.
class RetryAfterSchedule
{
public:
    RetryAfterSchedule() = default;
    explicit RetryAfterSchedule(const RetryAfterBounds &bounds)
        : m_bounds(bounds)
    {
    }

    /// Records that `amount` of the accepted work has completed.
    void noteDone(double amount, TimePoint now);
    /// Returns the retry delay for a caller that was refused because `missing` was not available.
    [[nodiscard]] Milliseconds schedule(double missing, TimePoint now);
    /// Returns the same for a caller that waits no longer than `longest`. When more callers are
    /// refused than can be served until then, the next ones are spread over the same time again, so
    /// that they do not return together at its end.
    [[nodiscard]] Milliseconds scheduleWithin(Milliseconds longest, double missing, TimePoint now);

private:
    void decay(TimePoint now);

    RetryAfterBounds m_bounds;
    /// Completed amount per second, averaged over some seconds.
    double m_rate = 0;
    TimePoint m_decayedAt{};
    /// The work that completes up to this time is reserved for callers refused earlier.
    TimePoint m_reservedUntil{};
};

} // namespace Radishplank
