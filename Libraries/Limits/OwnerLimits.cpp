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

void OwnerLimits::setMembers(std::vector<NodeId> members, NodeId own)
{
    m_members.publish(std::make_unique<const Members>(Members{std::move(members), std::move(own)}));
}

std::optional<Duration> OwnerLimits::take(const std::string &key, const Limits &limits,
                                          TimePoint now)
{
    auto &part = shard(key);
    const std::scoped_lock lock(part.mutex);
    auto [position, isNew] = part.states.try_emplace(key);
    auto &state = position->second;
    state.limits = limits;
    state.asked += 1;
    configure(state, now);
    if (isNew) {
        // A limit that nobody has used yet has its whole burst left.
        state.bucket = TokenBucket(state.ledger.rate(now), std::max(1.0, burstOf(limits) * share()),
                                   now);
    }
    if (limits.concurrentRequests > 0 && state.inFlight >= concurrentPart(key, limits))
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

std::vector<RateShare> OwnerLimits::wantedAfterPeriod(Duration period, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(period).count();
    std::vector<RateShare> wanted;
    for (auto &part : m_shards) {
        const std::scoped_lock lock(part.mutex);
        for (auto &[key, state] : part.states) {
            if (state.limits.requestsPerSecond <= 0)
                continue;
            state.ledger.noteDemand(static_cast<double>(state.asked) / seconds);
            state.asked = 0;
            const double rate = state.ledger.wanted(now);
            if (rate > 0)
                wanted.push_back({key, rate});
        }
    }
    return wanted;
}

std::vector<RateShare> OwnerLimits::lend(const NodeId &borrower,
                                         const std::vector<RateShare> &wanted, TimePoint now)
{
    std::vector<RateShare> lent;
    for (const auto &share : wanted) {
        auto &part = shard(share.key);
        const std::scoped_lock lock(part.mutex);
        const auto found = part.states.find(share.key);
        if (found == part.states.end())
            continue;
        auto &state = found->second;
        configure(state, now);
        const double rate = state.ledger.lend(borrower, share.requestsPerSecond, now);
        if (rate <= 0)
            continue;
        // The lower rate is in force before the answer leaves.
        configure(state, now);
        lent.push_back({share.key, rate});
    }
    return lent;
}

void OwnerLimits::borrow(const NodeId &lender, const std::vector<RateShare> &lent,
                         TimePoint askedAt)
{
    for (const auto &share : lent) {
        auto &part = shard(share.key);
        const std::scoped_lock lock(part.mutex);
        const auto found = part.states.find(share.key);
        if (found != part.states.end())
            found->second.ledger.borrow(lender, share.requestsPerSecond, askedAt);
    }
}

boost::json::array OwnerLimits::state(TimePoint now)
{
    boost::json::array result;
    for (auto &part : m_shards) {
        const std::scoped_lock lock(part.mutex);
        for (auto &[key, state] : part.states) {
            result.push_back(boost::json::object{{"key", key},
                                                 {"limitPerSecond", state.limits.requestsPerSecond},
                                                 {"ownedPerSecond", state.ledger.owned()},
                                                 {"ratePerSecond", state.ledger.rate(now)},
                                                 {"inFlight", state.inFlight}});
        }
    }
    return result;
}

void OwnerLimits::configure(State &state, TimePoint now) const
{
    const double limit = state.limits.requestsPerSecond;
    state.ledger.setOwned(m_ownsParts ? limit * share() : 0);
    const double rate = state.ledger.rate(now);
    // The burst goes with the rate, so that the bursts of all processes add up to the limit's.
    const double burst = limit > 0 ? burstOf(state.limits) * rate / limit : 0;
    state.bucket.configure(rate, rate > 0 ? std::max(1.0, burst) : 0, now);
}

std::int64_t OwnerLimits::concurrentPart(const std::string &key, const Limits &limits) const
{
    // FIXME: Parts of concurrency are not lent as rates are.
    return m_members.read([&](const Members &members) {
        return concurrencyPart(limits.concurrentRequests, key, members.all, members.own);
    });
}

double OwnerLimits::share() const
{
    return m_members.read([](const Members &members) {
        return 1.0 / static_cast<double>(std::max<std::size_t>(members.all.size(), 1));
    });
}

} // namespace Radishplank
