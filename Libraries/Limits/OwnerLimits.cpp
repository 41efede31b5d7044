#include <Limits/OwnerLimits.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr Milliseconds concurrencyRetryDelay{1'000};
constexpr int isolationDivisor = 2;

/// Without a configured burst, the burst is one second of the rate, but at least one request.
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

std::optional<Duration> OwnerLimits::admit(const std::string &key, const Limits &limits,
                                           TimePoint now)
{
    auto &stateShard = shard(key);
    const std::scoped_lock lock(stateShard.mutex);
    auto [position, isNew] = stateShard.states.try_emplace(key);
    auto &state = position->second;
    state.limits = limits;
    state.requestCount += 1;
    configure(key, state, now);
    if (isNew) {
        // A limit that has not been used yet has its full burst available.
        state.bucket = TokenBucket(state.rateQuota.rate(now),
                                   std::max(1.0, burstOf(limits) * share()), now);
    }
    if (limits.concurrentRequests > 0 && !state.slots.start(now))
        return concurrencyRetryDelay;
    if (limits.requestsPerSecond > 0 && !state.bucket.take(now)) {
        if (limits.concurrentRequests > 0)
            state.slots.end(now);
        return state.bucket.waitTime(now);
    }
    state.inFlight += 1;
    return {};
}

void OwnerLimits::registerLimit(const std::string &key, const Limits &limits,
                                Milliseconds longestCall)
{
    auto &stateShard = shard(key);
    const std::scoped_lock lock(stateShard.mutex);
    auto &state = stateShard.states[key];
    state.limits = limits;
    state.slots.setCallTime(longestCall);
}

void OwnerLimits::release(const std::string &key, TimePoint now)
{
    auto &stateShard = shard(key);
    const std::scoped_lock lock(stateShard.mutex);
    const auto found = stateShard.states.find(key);
    if (found == stateShard.states.end())
        return;
    found->second.inFlight -= 1;
    if (found->second.limits.concurrentRequests > 0)
        found->second.slots.end(now);
}

std::vector<LimitShare> OwnerLimits::endDemandPeriod(Duration period, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(period).count();
    std::vector<LimitShare> wanted;
    for (auto &stateShard : m_shards) {
        const std::scoped_lock lock(stateShard.mutex);
        for (auto &[key, state] : stateShard.states) {
            LimitShare share;
            share.key = key;
            if (state.limits.requestsPerSecond > 0) {
                state.rateQuota.noteDemand(static_cast<double>(state.requestCount) / seconds);
                share.requestsPerSecond = state.rateQuota.wanted(now);
            }
            state.requestCount = 0;
            if (state.limits.concurrentRequests > 0) {
                state.slots.endPeriod();
                share.slots = state.slots.wanted(now);
            }
            if (share.requestsPerSecond > 0 || share.slots > 0 || state.slots.isBorrowing())
                wanted.push_back(std::move(share));
        }
    }
    return wanted;
}

std::vector<LimitShare> OwnerLimits::requestLoan(const NodeId &lender,
                                                 const std::vector<LimitShare> &wanted)
{
    auto requests = wanted;
    for (auto &share : requests) {
        auto &stateShard = shard(share.key);
        const std::scoped_lock lock(stateShard.mutex);
        const auto found = stateShard.states.find(share.key);
        if (found == stateShard.states.end() || found->second.limits.concurrentRequests <= 0)
            continue;
        const auto slots = found->second.slots.requestLoan(lender, share.slots);
        if (!slots)
            continue;
        share.slotsHeld = slots->held;
        share.sequence = slots->sequence;
    }
    return requests;
}

std::vector<LimitShare> OwnerLimits::lend(const NodeId &borrower,
                                          const std::vector<LimitShare> &wanted, TimePoint now)
{
    std::vector<LimitShare> lent;
    for (const auto &share : wanted) {
        auto &stateShard = shard(share.key);
        const std::scoped_lock lock(stateShard.mutex);
        const auto found = stateShard.states.find(share.key);
        if (found == stateShard.states.end())
            continue;
        auto &state = found->second;
        configure(share.key, state, now);
        LimitShare loan;
        loan.key = share.key;
        loan.requestsPerSecond = state.rateQuota.lend(borrower, share.requestsPerSecond, now);
        loan.sequence = share.sequence;
        if (share.sequence > 0)
            loan.slots = state.slots.lend(borrower, {share.sequence, share.slotsHeld, share.slots},
                                          now);
        // The reduced rate takes effect before the response is sent.
        configure(share.key, state, now);
        if (loan.requestsPerSecond > 0 || loan.sequence > 0)
            lent.push_back(std::move(loan));
    }
    return lent;
}

void OwnerLimits::borrow(const NodeId &lender, const std::vector<LimitShare> &lent,
                         TimePoint requestedAt)
{
    for (const auto &share : lent) {
        auto &stateShard = shard(share.key);
        const std::scoped_lock lock(stateShard.mutex);
        const auto found = stateShard.states.find(share.key);
        if (found != stateShard.states.end())
            applyLoan(found->second, lender, share, requestedAt);
    }
}

void OwnerLimits::applyLoan(State &state, const NodeId &lender, const LimitShare &loan,
                            TimePoint requestedAt)
{
    if (loan.requestsPerSecond > 0)
        state.rateQuota.borrow(lender, loan.requestsPerSecond, requestedAt);
    if (loan.sequence > 0)
        state.slots.borrow(lender, loan.sequence, loan.slots, requestedAt);
}

boost::json::array OwnerLimits::state(TimePoint now)
{
    boost::json::array result;
    for (auto &stateShard : m_shards) {
        const std::scoped_lock lock(stateShard.mutex);
        for (auto &[key, state] : stateShard.states) {
            result.push_back(boost::json::object{{"key", key},
                                                 {"limitPerSecond", state.limits.requestsPerSecond},
                                                 {"ownedPerSecond", state.rateQuota.owned()},
                                                 {"ratePerSecond", state.rateQuota.rate(now)},
                                                 {"inFlight", state.inFlight},
                                                 {"slotsLimit", state.limits.concurrentRequests},
                                                 {"slotsUsable", state.slots.usable(now)}});
        }
    }
    return result;
}

void OwnerLimits::configure(const std::string &key, State &state, TimePoint now) const
{
    // Computing the share hashes every member, so it is skipped if there is no concurrency limit.
    if (state.limits.concurrentRequests > 0)
        state.slots.setOwned(m_usesOwnShare ? ownedConcurrency(key, state.limits) : 0);
    const double limit = state.limits.requestsPerSecond;
    state.rateQuota.setOwned(m_usesOwnShare ? limit * share() : 0);
    const double rate = state.rateQuota.rate(now);
    // The burst is scaled with the rate, so that the bursts of all processes add up to the limit's.
    const double burst = limit > 0 ? burstOf(state.limits) * rate / limit : 0;
    state.bucket.configure(rate, rate > 0 ? std::max(1.0, burst) : 0, now);
}

std::int64_t OwnerLimits::ownedConcurrency(const std::string &key, const Limits &limits) const
{
    const auto whole = m_members.read([&](const Members &members) {
        return concurrencyShare(limits.concurrentRequests, key, members.all, members.own);
    });
    return m_isIsolated ? whole / isolationDivisor : whole;
}

double OwnerLimits::share() const
{
    const double whole = m_members.read([](const Members &members) {
        return 1.0 / static_cast<double>(std::max<std::size_t>(members.all.size(), 1));
    });
    return m_isIsolated ? whole / isolationDivisor : whole;
}

} // namespace Radishplank
