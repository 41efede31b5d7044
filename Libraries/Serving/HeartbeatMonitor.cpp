#include <Serving/HeartbeatMonitor.h>

namespace Radishplank {

HeartbeatMonitor::HeartbeatMonitor(Milliseconds longestGap)
    : m_longestGap(longestGap)
{
}

void HeartbeatMonitor::noteAttempt(TimePoint now)
{
    m_answeredAt += suspendedTime(now);
    m_lastRecordedAt = now;
}

void HeartbeatMonitor::noteAnswer(TimePoint now)
{
    m_hasAnswered = true;
    m_answeredAt = now;
    m_lastRecordedAt = now;
}

bool HeartbeatMonitor::isResponsive(TimePoint now, Milliseconds timeout) const
{
    return m_hasAnswered && now - m_answeredAt - suspendedTime(now) < timeout;
}

Duration HeartbeatMonitor::suspendedTime(TimePoint now) const
{
    const auto gap = now - m_lastRecordedAt;
    return gap > m_longestGap ? gap : Duration::zero();
}

} // namespace Radishplank
