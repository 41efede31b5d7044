#include <Gateway/RequestAllowance.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

constexpr double longestWaitSeconds = 60;

} // namespace

RequestAllowance::RequestAllowance(TimePoint now)
    : m_refilledAt(now)
    , m_availableSince(now)
{
}

void RequestAllowance::setRate(double perSecond, double burst, TimePoint now)
{
    refill(now);
    m_perSecond = perSecond;
    m_burst = burst;
    m_requests = std::min(m_requests, burst);
}

void RequestAllowance::advance(double part, TimePoint now)
{
    refill(now);
    m_requests = std::min(m_burst, m_requests + part);
}

void RequestAllowance::setPeerPart(double part)
{
    m_peerPart = part;
}

Duration RequestAllowance::waitTime(TimePoint now)
{
    refill(now);
    double missing = std::max(0.0, 1 - m_requests);
    if (!isOwnTurn() && m_peerPart < 1)
        missing += 1 + std::floor(-m_ownDue / (1 - m_peerPart));
    const double seconds = m_perSecond > 0 ? missing / m_perSecond : longestWaitSeconds;
    // Rounded up, so that a request is available after the wait.
    return std::chrono::ceil<Duration>(
            std::chrono::duration<double>(std::min(seconds, longestWaitSeconds)));
}

void RequestAllowance::take(TimePoint now)
{
    refill(now);
    m_ownDue -= 1;
    spend(now);
}

bool RequestAllowance::takeForPeer(TimePoint now)
{
    refill(now);
    if (m_requests < 1)
        return false;
    if (isOwnTurn()) {
        // Without work that can be sent, this process misses its turn.
        const std::chrono::duration<double> turn(1 / m_perSecond);
        if (now - m_availableSince < turn)
            return false;
        m_ownDue -= 1;
    }
    spend(now);
    return true;
}

bool RequestAllowance::isOwnTurn() const
{
    return m_peerPart <= 0 || (m_peerPart < 1 && m_ownDue > 0);
}

void RequestAllowance::refill(TimePoint now)
{
    if (now <= m_refilledAt)
        return;
    const double added = std::chrono::duration<double>(now - m_refilledAt).count() * m_perSecond;
    if (m_requests < 1 && m_requests + added >= 1)
        m_availableSince = now;
    m_requests = std::min(m_burst, m_requests + added);
    m_refilledAt = now;
}

void RequestAllowance::spend(TimePoint now)
{
    m_requests = std::max(0.0, m_requests - 1);
    // What one side has not used long ago is no reason to prefer it now.
    m_ownDue = std::clamp(m_ownDue + 1 - m_peerPart, -1.0, 1.0);
    m_availableSince = now;
}

} // namespace Radishplank
