#include <Serving/LinkAllowance.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr double burstSeconds = 2;

} // namespace

LinkAllowance::LinkAllowance(double fleetBytesPerSecond, TimePoint now)
    : m_fleetBytesPerSecond(fleetBytesPerSecond)
    , m_bytesPerSecond(fleetBytesPerSecond)
    , m_balanceTime(now)
{
}

void LinkAllowance::setMembers(std::size_t count, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_balance = balanceAt(now);
    m_balanceTime = now;
    m_bytesPerSecond = m_fleetBytesPerSecond / static_cast<double>(std::max<std::size_t>(count, 1));
}

bool LinkAllowance::mayUse(TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return balanceAt(now) > 0;
}

void LinkAllowance::charge(std::size_t bytes, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_balance = balanceAt(now) - static_cast<double>(bytes);
    m_balanceTime = now;
}

double LinkAllowance::balanceAt(TimePoint now) const
{
    const std::chrono::duration<double> passed = std::max(now - m_balanceTime, Duration::zero());
    const double maximumBalance = m_bytesPerSecond * burstSeconds;
    return std::min(maximumBalance, m_balance + passed.count() * m_bytesPerSecond);
}

} // namespace Radishplank
