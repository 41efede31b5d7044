#pragma once

#include <Core/Clock.h>

namespace Radishplank {

/// Determines from heartbeats whether a process is responsive. Pure; driven by the times passed in.
///
/// Time during which the observing process itself was suspended is not counted, because it sent no
/// heartbeats then.
class HeartbeatMonitor
{
public:
    /// `longestGap`: longest time between two calls of noteAttempt() or noteAnswer() if the
    /// observing process is not suspended.
    explicit HeartbeatMonitor(Milliseconds longestGap);

    /// Records that a heartbeat is sent, or that it has failed.
    void noteAttempt(TimePoint now);
    void noteAnswer(TimePoint now);
    /// Returns whether a heartbeat was answered within the given time.
    [[nodiscard]] bool isResponsive(TimePoint now, Milliseconds timeout) const;

private:
    [[nodiscard]] Duration suspendedTime(TimePoint now) const;

    Milliseconds m_longestGap;
    bool m_hasAnswered = false;
    /// Time of the last answer, plus the time during which the observing process was suspended.
    TimePoint m_answeredAt{};
    TimePoint m_lastRecordedAt{};
};

} // namespace Radishplank
