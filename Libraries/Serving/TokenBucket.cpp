#include <Serving/TokenBucket.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr double longestWaitSeconds = 60;

} // namespace

TokenBucket::TokenBucket(double perSecond, double burst, TimePoint now)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_tokens(burst)
    , m_refilledAt(now)
{
}

bool TokenBucket::take(TimePoint now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

Duration TokenBucket::waitTime(TimePoint now)
{
    refill(now);
    const double missing = std::max(0.0, 1 - m_tokens);
    const double seconds = m_perSecond > 0 ? missing / m_perSecond : longestWaitSeconds;
    // Rounded up: after a wait of zero, take() succeeds.
    return std::chrono::ceil<Duration>(
            std::chrono::duration<double>(std::min(seconds, longestWaitSeconds)));
}

void TokenBucket::configure(double perSecond, double burst, TimePoint now)
{
    refill(now);
    m_perSecond = perSecond;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= m_refilledAt)
        return;
    const std::chrono::duration<double> passed = now - m_refilledAt;
    m_tokens = std::min(m_burst, m_tokens + passed.count() * m_perSecond);
    m_refilledAt = now;
}

} // namespace Radishplank
