#include <Limits/RetryAfterSchedule.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

constexpr double averagingSeconds = 5;
/// Callers that are spread over the permitted time when the completion rate is not known.
constexpr int callersWithoutRate = 8;

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
        return m_bounds.initial;
    const auto start = std::max(now, m_reservedUntil);
    const std::chrono::duration<double> needed(missing / m_rate);
    const auto longest = std::chrono::duration<double>(m_bounds.maximum);
    m_reservedUntil = start + std::chrono::duration_cast<Duration>(std::min(needed, longest));
    m_reservedUntil = std::min<TimePoint>(m_reservedUntil, now + m_bounds.maximum);
    return std::clamp(std::chrono::ceil<Milliseconds>(m_reservedUntil - now), m_bounds.minimum,
                      m_bounds.maximum);
}

Milliseconds RetryAfterSchedule::scheduleWithin(Milliseconds longest, double missing, TimePoint now)
{
    decay(now);
    longest = std::min(longest, m_bounds.maximum);
    if (longest <= m_bounds.minimum)
        return longest;
    const Duration window = longest - m_bounds.minimum;
    Duration step = window / callersWithoutRate;
    if (m_rate > 0) {
        const std::chrono::duration<double> needed(missing / m_rate);
        step = std::chrono::duration_cast<Duration>(
                std::min<std::chrono::duration<double>>(needed, window));
    }
    const TimePoint earliest = now + m_bounds.minimum;
    const TimePoint latest = now + longest;
    m_reservedUntil = std::max(m_reservedUntil, earliest) + step;
    if (m_reservedUntil > latest)
        m_reservedUntil = earliest + (m_reservedUntil - latest) % window;
    return std::chrono::ceil<Milliseconds>(m_reservedUntil - now);
}

} // namespace Radishplank
