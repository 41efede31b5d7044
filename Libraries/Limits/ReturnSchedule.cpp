#include <Limits/ReturnSchedule.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

constexpr double averagingSeconds = 5;
constexpr Milliseconds soonest{1'000};
/// Beyond this, the rate of now says little.
constexpr Milliseconds latest{10'000};
/// Nothing has been done lately.
constexpr Milliseconds unknown{2'000};

} // namespace

void ReturnSchedule::decay(TimePoint now)
{
    const std::chrono::duration<double> passed = now - m_decayedAt;
    m_rate *= std::exp(-std::max(0.0, passed.count()) / averagingSeconds);
    m_decayedAt = now;
}

void ReturnSchedule::noteDone(double amount, TimePoint now)
{
    decay(now);
    m_rate += amount / averagingSeconds;
}

Milliseconds ReturnSchedule::schedule(double missing, TimePoint now)
{
    decay(now);
    if (m_rate <= 0)
        return unknown;
    const auto inOrder = std::max(now, m_promisedUntil);
    const std::chrono::duration<double> needed(missing / m_rate);
    const auto longest = std::chrono::duration<double>(latest);
    m_promisedUntil = inOrder + std::chrono::duration_cast<Duration>(std::min(needed, longest));
    m_promisedUntil = std::min<TimePoint>(m_promisedUntil, now + latest);
    return std::clamp(std::chrono::ceil<Milliseconds>(m_promisedUntil - now), soonest, latest);
}

} // namespace Radishplank
