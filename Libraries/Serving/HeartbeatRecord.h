#pragma once

#include <Core/Clock.h>

namespace Radishplank {

/// Tells from heartbeats whether a process answers. Pure; driven by the times passed in.
///
/// Time in which this process itself was suspended counts for nothing: nobody was asked in it.
class HeartbeatRecord
{
public:
    /// `longestGap`: time between two notes of a process that runs.
    explicit HeartbeatRecord(Milliseconds longestGap);

    /// Notes that a heartbeat is sent, or has failed.
    void noteAttempt(TimePoint now);
    void noteAnswer(TimePoint now);
    /// Returns whether there was an answer within the given time.
    [[nodiscard]] bool isAnswering(TimePoint now, Milliseconds lifetime) const;

private:
    [[nodiscard]] Duration suspendedSince(TimePoint now) const;

    Milliseconds m_longestGap;
    bool m_hasAnswered = false;
    /// Time of the last answer, moved on by the time for which this process was suspended.
    TimePoint m_answeredAt{};
    TimePoint m_notedAt{};
};

} // namespace Radishplank
