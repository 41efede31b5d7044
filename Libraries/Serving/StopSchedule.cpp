#include <Serving/StopSchedule.h>

#include <algorithm>

namespace Radishplank {

void StopSchedule::begin(Duration killAfter, TimePoint now)
{
    const auto endsAt = now + killAfter - std::min<Duration>(exitMargin, killAfter / 4);
    begin(std::min<TimePoint>(now + balancerUpdateTime, endsAt), endsAt, now);
}

void StopSchedule::begin(TimePoint closesAt, TimePoint endsAt, TimePoint now)
{
    m_maxNeededTime = std::chrono::duration_cast<Duration>((endsAt - now) * maxNeededShare);
    m_closesAt = closesAt;
    m_endsAt = endsAt;
}

bool StopSchedule::mayTake(TimePoint deadline, TimePoint now) const
{
    const auto endsAt = m_endsAt.load();
    return endsAt == TimePoint::max()
           || std::min(deadline - now, m_maxNeededTime.load()) <= endsAt - now;
}

TimePoint StopSchedule::closesAt() const
{
    return m_closesAt;
}

TimePoint StopSchedule::endsAt() const
{
    return m_endsAt;
}

} // namespace Radishplank
