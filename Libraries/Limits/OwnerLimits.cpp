#include <Limits/OwnerLimits.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr Milliseconds concurrencyRetry{1'000};

/// A limit without a burst lets in one second's worth at once, and one request at the least.
double burstOf(const Limits &limits)
{
    return limits.burstRequests > 0 ? limits.burstRequests
                                    : std::max(1.0, limits.requestsPerSecond);
}

} // namespace

OwnerLimits::State::State(const Limits &limits, double share, TimePoint now)
    : bucket(limits.requestsPerSecond * share, std::max(1.0, burstOf(limits) * share), now)
    , limit(limits.requestsPerSecond)
    , burst(burstOf(limits))
{
}

void OwnerLimits::setMembers(std::size_t members)
{
    m_members = std::max<std::size_t>(members, 1);
}

void OwnerLimits::setRate(const std::string &key, double requestsPerSecond, TimePoint now)
{
    auto &part = shard(key);
    const std::scoped_lock lock(part.mutex);
    const auto found = part.states.find(key);
    if (found == part.states.end())
        return;
    auto &state = found->second;
    state.rateOverride = requestsPerSecond;
    const double fraction = state.limit > 0 ? requestsPerSecond / state.limit : 0;
    state.bucket.configure(requestsPerSecond, std::max(1.0, state.burst * fraction), now);
}

void OwnerLimits::clearRate(const std::string &key)
{
    auto &part = shard(key);
    const std::scoped_lock lock(part.mutex);
    const auto found = part.states.find(key);
    if (found != part.states.end())
        found->second.rateOverride.reset();
}

std::optional<Duration> OwnerLimits::take(const std::string &key, const Limits &limits,
                                          TimePoint now)
{
    auto &part = shard(key);
    const std::scoped_lock lock(part.mutex);
    auto &state = part.states.try_emplace(key, limits, share(), now).first->second;
    configure(state, limits, now);
    state.demand += 1;
    const auto concurrent = static_cast<double>(limits.concurrentRequests) * share();
    if (limits.concurrentRequests > 0
        && state.inFlight >= std::max<std::int64_t>(1, static_cast<std::int64_t>(concurrent)))
        return concurrencyRetry;
    if (limits.requestsPerSecond > 0 && !state.bucket.take(now))
        return state.bucket.waitTime(now);
    state.inFlight += 1;
    return {};
}

void OwnerLimits::release(const std::string &key)
{
    auto &part = shard(key);
    const std::scoped_lock lock(part.mutex);
    const auto found = part.states.find(key);
    if (found != part.states.end())
        found->second.inFlight -= 1;
}

std::vector<OwnerLimits::Demand> OwnerLimits::takeDemands()
{
    std::vector<Demand> demands;
    for (auto &part : m_shards) {
        const std::scoped_lock lock(part.mutex);
        for (auto &[key, state] : part.states) {
            if (state.limit > 0)
                demands.push_back({key, state.limit, state.demand});
            state.demand = 0;
        }
    }
    return demands;
}

boost::json::array OwnerLimits::state() const
{
    boost::json::array result;
    for (const auto &part : m_shards) {
        const std::scoped_lock lock(part.mutex);
        for (const auto &[key, state] : part.states) {
            result.push_back(boost::json::object{{"key", key},
                                                 {"limitPerSecond", state.limit},
                                                 {"ratePerSecond", state.bucket.perSecond()},
                                                 {"inFlight", state.inFlight}});
        }
    }
    return result;
}

void OwnerLimits::configure(State &state, const Limits &limits, TimePoint now) const
{
    state.limit = limits.requestsPerSecond;
    state.burst = burstOf(limits);
    if (state.rateOverride)
        return;
    state.bucket.configure(limits.requestsPerSecond * share(), std::max(1.0, state.burst * share()),
                           now);
}

double OwnerLimits::share() const
{
    return 1.0 / static_cast<double>(m_members.load());
}

OwnerLimits::Shard &OwnerLimits::shard(const std::string &key)
{
    return m_shards[stableHash(key) % m_shards.size()];
}

} // namespace Radishplank
