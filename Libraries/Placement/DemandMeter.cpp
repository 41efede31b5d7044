#include <Placement/DemandMeter.h>

namespace Radishplank {

namespace {

/// Assumed duration of a call until the first call is answered.
constexpr double assumedCallSeconds = 1;

} // namespace

void DemandMeter::noteBegin(const std::string &pool, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    advance(pool, now).inFlight += 1;
}

void DemandMeter::noteAnswered(const std::string &pool, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    auto &counters = advance(pool, now);
    counters.inFlight -= 1;
    counters.answered += 1;
}

void DemandMeter::noteRefused(const std::string &pool, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    auto &counters = advance(pool, now);
    counters.inFlight -= 1;
    counters.refused += 1;
}

std::vector<PoolDemand> DemandMeter::totals(TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<PoolDemand> result;
    for (const auto &[name, pool] : m_pools)
        result.push_back({name, slotSecondsAt(pool, now), pool.refused, pool.answered, false});
    return result;
}

double DemandMeter::slotSecondsAt(const Pool &pool, TimePoint now)
{
    const std::chrono::duration<double> passed = now - pool.updatedAt;
    return pool.slotSeconds + passed.count() * static_cast<double>(pool.inFlight);
}

DemandMeter::Pool &DemandMeter::advance(const std::string &pool, TimePoint now)
{
    auto &counters = m_pools[pool];
    counters.slotSeconds = slotSecondsAt(counters, now);
    counters.updatedAt = now;
    return counters;
}

double slotsBetween(const PoolDemand &before, const PoolDemand &after, Duration passed)
{
    const std::chrono::duration<double> seconds = passed;
    const bool hasRestarted
            = after.slotSeconds < before.slotSeconds || after.refused < before.refused;
    if (hasRestarted || seconds.count() <= 0)
        return 0;
    const double used = after.slotSeconds - before.slotSeconds;
    const auto refused = static_cast<double>(after.refused - before.refused);
    const auto answered = static_cast<double>(after.answered - before.answered);
    const double callSeconds = answered > 0 ? used / answered : assumedCallSeconds;
    return (used + refused * callSeconds) / seconds.count();
}

} // namespace Radishplank
