#include <Limits/RetryAfterSchedule.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

constexpr double averagingSeconds = 5;
constexpr Milliseconds minimumDelay{1'000};
/// The current completion rate does not predict a longer wait.
constexpr Milliseconds maximumDelay{10'000};
/// Returned when no work has completed recently.
constexpr Milliseconds defaultDelay{2'000};

} // namespace

void RetryAfterSchedule::decay(TimePoint now)
{
    const std::chrono::duration<double> passed = now - m_decayedAt;
    m_rate *= std::exp(-std::max(0.0, passed.count()) / averagingSeconds);
    m_decayedAt = now;
}

void RetryAfterSchedule::noteDone(double amount, TimePoint now)
{
    decay(now);
    m_rate += amount / averagingSeconds;
}

Milliseconds RetryAfterSchedule::schedule(double missing, TimePoint now)
{
    decay(now);
    if (m_rate <= 0)
        return defaultDelay;
    const auto start = std::max(now, m_reservedUntil);
    const std::chrono::duration<double> needed(missing / m_rate);
    const auto longest = std::chrono::duration<double>(maximumDelay);
    m_reservedUntil = start + std::chrono::duration_cast<Duration>(std::min(needed, longest));
    m_reservedUntil = std::min<TimePoint>(m_reservedUntil, now + maximumDelay);
    return std::clamp(std::chrono::ceil<Milliseconds>(m_reservedUntil - now), minimumDelay,
                      maximumDelay);
}

} // namespace Radishplank
