#pragma once

#include <Core/Core.h>

#include <cstdint>

namespace Radishplank {

/// Tells refused callers when to come again.
///
/// Answers the load of more work than fits: if all were told the same time, all but the first would
/// be refused once more. So each is given the time at which as much as it and those before it need
/// has been done, at the rate of late. Pure.
class ReturnSchedule
{
public:
    /// Notes that so much of the accepted work has been done.
    void noteDone(double amount, TimePoint now);
    /// Returns when a caller should come again that was refused for want of so much.
    [[nodiscard]] Milliseconds schedule(double missing, TimePoint now);

private:
    void decay(TimePoint now);

    /// Amount a second, averaged over some seconds.
    double m_rate = 0;
    TimePoint m_decayedAt{};
    /// Until when the work that is done is spoken for.
    TimePoint m_promisedUntil{};
};

} // namespace Radishplank
