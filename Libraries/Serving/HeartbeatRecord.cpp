#include <Serving/HeartbeatRecord.h>

namespace Radishplank {

HeartbeatRecord::HeartbeatRecord(Milliseconds longestGap)
    : m_longestGap(longestGap)
{
}

void HeartbeatRecord::noteAttempt(TimePoint now)
{
    m_answeredAt += suspendedTime(now);
    m_lastRecordedAt = now;
}

void HeartbeatRecord::noteAnswer(TimePoint now)
{
    m_hasAnswered = true;
    m_answeredAt = now;
    m_lastRecordedAt = now;
}

bool HeartbeatRecord::isAnswering(TimePoint now, Milliseconds timeout) const
{
    return m_hasAnswered && now - m_answeredAt - suspendedTime(now) < timeout;
}

Duration HeartbeatRecord::suspendedTime(TimePoint now) const
{
    const auto gap = now - m_lastRecordedAt;
    return gap > m_longestGap ? gap : Duration::zero();
}

} // namespace Radishplank
