#include <Limits/OwnerLimits.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr Milliseconds concurrencyRetry{1'000};
constexpr int isolationDivisor = 2;

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
    configure(key, state, now);
    if (isNew) {
        // A limit that nobody has used yet has its whole burst left.
        state.bucket = TokenBucket(state.ledger.rate(now), std::max(1.0, burstOf(limits) * share()),
                                   now);
    }
    if (limits.concurrentRequests > 0 && !state.slots.start(now))
        return concurrencyRetry;
    if (limits.requestsPerSecond > 0 && !state.bucket.take(now)) {
        if (limits.concurrentRequests > 0)
            state.slots.end(now);
        return state.bucket.waitTime(now);
    }
    state.inFlight += 1;
    return {};
}

void OwnerLimits::learn(const std::string &key, const Limits &limits, Milliseconds longestCall)
{
    auto &part = shard(key);
    const std::scoped_lock lock(part.mutex);
    auto &state = part.states[key];
    state.limits = limits;
    state.slots.setCallTime(longestCall);
}

void OwnerLimits::release(const std::string &key, TimePoint now)
{
    auto &part = shard(key);
    const std::scoped_lock lock(part.mutex);
    const auto found = part.states.find(key);
    if (found == part.states.end())
        return;
    found->second.inFlight -= 1;
    if (found->second.limits.concurrentRequests > 0)
        found->second.slots.end(now);
}

std::vector<LimitShare> OwnerLimits::wantedAfterPeriod(Duration period, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(period).count();
    std::vector<LimitShare> wanted;
    for (auto &part : m_shards) {
        const std::scoped_lock lock(part.mutex);
        for (auto &[key, state] : part.states) {
            LimitShare share;
            share.key = key;
            if (state.limits.requestsPerSecond > 0) {
                state.ledger.noteDemand(static_cast<double>(state.asked) / seconds);
                share.requestsPerSecond = state.ledger.wanted(now);
            }
            state.asked = 0;
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

std::vector<LimitShare> OwnerLimits::ask(const NodeId &lender,
                                         const std::vector<LimitShare> &wanted)
{
    auto asks = wanted;
    for (auto &share : asks) {
        auto &part = shard(share.key);
        const std::scoped_lock lock(part.mutex);
        const auto found = part.states.find(share.key);
        if (found == part.states.end() || found->second.limits.concurrentRequests <= 0)
            continue;
        const auto slots = found->second.slots.ask(lender, share.slots);
        if (!slots)
            continue;
        share.slotsHeld = slots->held;
        share.sequence = slots->sequence;
    }
    return asks;
}

std::vector<LimitShare> OwnerLimits::lend(const NodeId &borrower,
                                          const std::vector<LimitShare> &wanted, TimePoint now)
{
    std::vector<LimitShare> lent;
    for (const auto &share : wanted) {
        auto &part = shard(share.key);
        const std::scoped_lock lock(part.mutex);
        const auto found = part.states.find(share.key);
        if (found == part.states.end())
            continue;
        auto &state = found->second;
        configure(share.key, state, now);
        LimitShare loan;
        loan.key = share.key;
        loan.requestsPerSecond = state.ledger.lend(borrower, share.requestsPerSecond, now);
        loan.sequence = share.sequence;
        if (share.sequence > 0)
            loan.slots = state.slots.lend(borrower, {share.sequence, share.slotsHeld, share.slots},
                                          now);
        // The lower rate is in force before the answer leaves.
        configure(share.key, state, now);
        if (loan.requestsPerSecond > 0 || loan.sequence > 0)
            lent.push_back(std::move(loan));
    }
    return lent;
}

void OwnerLimits::borrow(const NodeId &lender, const std::vector<LimitShare> &lent,
                         TimePoint askedAt)
{
    for (const auto &share : lent) {
        auto &part = shard(share.key);
        const std::scoped_lock lock(part.mutex);
        const auto found = part.states.find(share.key);
        if (found != part.states.end())
            takeLoan(found->second, lender, share, askedAt);
    }
}

void OwnerLimits::takeLoan(State &state, const NodeId &lender, const LimitShare &loan,
                           TimePoint askedAt)
{
    if (loan.requestsPerSecond > 0)
        state.ledger.borrow(lender, loan.requestsPerSecond, askedAt);
    if (loan.sequence > 0)
        state.slots.borrow(lender, loan.sequence, loan.slots, askedAt);
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
                                                 {"inFlight", state.inFlight},
                                                 {"slotsLimit", state.limits.concurrentRequests},
                                                 {"slotsUsable", state.slots.usable(now)}});
        }
    }
    return result;
}

void OwnerLimits::configure(const std::string &key, State &state, TimePoint now) const
{
    // Each part is found by hashing with every member, so it is not looked for without need.
    if (state.limits.concurrentRequests > 0)
        state.slots.setOwned(m_ownsParts ? concurrentPart(key, state.limits) : 0);
    const double limit = state.limits.requestsPerSecond;
    state.ledger.setOwned(m_ownsParts ? limit * share() : 0);
    const double rate = state.ledger.rate(now);
    // The burst goes with the rate, so that the bursts of all processes add up to the limit's.
    const double burst = limit > 0 ? burstOf(state.limits) * rate / limit : 0;
    state.bucket.configure(rate, rate > 0 ? std::max(1.0, burst) : 0, now);
}

std::int64_t OwnerLimits::concurrentPart(const std::string &key, const Limits &limits) const
{
    const auto whole = m_members.read([&](const Members &members) {
        return concurrencyPart(limits.concurrentRequests, key, members.all, members.own);
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
