#pragma once

#include <Core/Core.h>

#include <cstdint>

namespace Radishplank {

/// Computes after what time refused callers should retry.
///
/// If all callers refused under overload retried at the same time, all but the first would be
/// refused again. Each caller therefore gets the time at which enough work for it and for the
/// callers before it will have completed, at the recent completion rate. Pure.
class RetryAfterSchedule
{
public:
    /// Records that `amount` of the accepted work has completed.
    void noteDone(double amount, TimePoint now);
    /// Returns the retry delay for a caller that was refused because `missing` was not available.
    [[nodiscard]] Milliseconds schedule(double missing, TimePoint now);

private:
    void decay(TimePoint now);

    /// Completed amount per second, averaged over some seconds.
    double m_rate = 0;
    TimePoint m_decayedAt{};
    /// The work that completes up to this time is reserved for callers refused earlier.
    TimePoint m_reservedUntil{};
};

} // namespace Radishplank
