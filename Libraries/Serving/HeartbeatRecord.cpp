#include <Serving/HeartbeatRecord.h>

namespace Radishplank {

HeartbeatRecord::HeartbeatRecord(Milliseconds longestGap)
    : m_longestGap(longestGap)
{
}

void HeartbeatRecord::noteAttempt(TimePoint now)
{
    m_answeredAt += suspendedSince(now);
    m_notedAt = now;
}

void HeartbeatRecord::noteAnswer(TimePoint now)
{
    m_hasAnswered = true;
    m_answeredAt = now;
    m_notedAt = now;
}

bool HeartbeatRecord::isAnswering(TimePoint now, Milliseconds lifetime) const
{
    return m_hasAnswered && now - m_answeredAt - suspendedSince(now) < lifetime;
}

Duration HeartbeatRecord::suspendedSince(TimePoint now) const
{
    const auto gap = now - m_notedAt;
    return gap > m_longestGap ? gap : Duration::zero();
}

} // namespace Radishplank
