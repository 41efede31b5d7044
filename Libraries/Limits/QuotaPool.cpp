#include <Limits/QuotaPool.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

/// A bucket of an owner without burst holds what accrues between the asks of two processes.
constexpr double minBurstSeconds = 0.15;
/// Tokens beyond the bound of a small bucket, as a share of the slack, so that a single granted
/// token does not stop the refill until it is used.
constexpr double heldShareOfSlack = 0.05;
/// Tokens for expected calls are granted only while more than this share of the bucket remains for
/// calls that wait at other processes.
constexpr double reservedShare = 0.25;
/// A small bucket keeps its tokens for calls that wait: a token held ahead at one process would
/// cause a refusal at another.
constexpr double minReserved = 3;
constexpr Milliseconds minRetryAfter{20};
constexpr Milliseconds maxRetryAfter{10'000};
/// Absorbs rounding errors of the refill.
constexpr double epsilon = 1e-9;
/// Runs of asking processes that are remembered; more than the largest fleet restarted twice.
constexpr std::size_t maxRuns = 2'000;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

QuotaPool::QuotaPool(QuotaRules rules)
    : m_rules(rules)
{
}

void QuotaPool::setLimits(std::span<const QuotaLimit> limits, Duration now)
{
    std::unordered_map<std::uint64_t, Bucket> buckets;
    for (const auto &limit : limits) {
        if (limit.rate <= 0)
            continue;
        auto &bucket = buckets[limit.owner];
        const auto known = m_buckets.find(limit.owner);
        if (known != m_buckets.end()) {
            settle(known->second, now);
            bucket = std::move(known->second);
        } else {
            bucket.refilledAt = now;
        }
        bucket.limit = limit;
        limitTokens(bucket);
    }
    m_buckets = std::move(buckets);
}

void QuotaPool::updateShares(const std::function<QuotaShare(std::uint64_t owner)> &shareOf,
                             Duration now)
{
    for (auto &[owner, bucket] : m_buckets) {
        settle(bucket, now);
        const auto share = shareOf(owner);
        bucket.factor = m_rules.factor(share);
        bucket.hasMajority = share.pledged * 2 > share.members;
        limitTokens(bucket);
    }
}

QuotaGrant QuotaPool::answer(const QuotaAsk &ask, Duration now)
{
    if (m_lastAsks.size() >= maxRuns)
        m_lastAsks.clear();
    auto &lastAsk = m_lastAsks[ask.run];
    // The tokens that an ask returns count once, even if the network delivers it twice.
    const bool isNew = ask.id > lastAsk;
    lastAsk = std::max(lastAsk, ask.id);
    QuotaGrant result{ask.id, {}};
    for (const auto &entry : ask.entries) {
        const auto found = m_buckets.find(entry.owner);
        if (found == m_buckets.end()) {
            result.entries.push_back({entry.owner, 0, maxRetryAfter, Milliseconds(0), true});
            continue;
        }
        settle(found->second, now);
        if (isNew)
            takeBack(found->second, entry, now);
        result.entries.push_back(grant(found->second, entry, now));
    }
    return result;
}

std::vector<QuotaPool::Usage> QuotaPool::usage(Duration now) const
{
    std::vector<Usage> result;
    for (const auto &[owner, bucket] : m_buckets) {
        if (bucket.factor > 0)
            result.push_back({owner, grantRate(bucket, now) / bucket.limit.rate});
    }
    return result;
}

double QuotaPool::grantRate(const Bucket &bucket, Duration now) const
{
    return bucket.grantRate
           * std::exp(-seconds(now - bucket.grantRateAt) / seconds(m_rules.window));
}

void QuotaPool::noteGranted(Bucket &bucket, double tokens, Duration now) const
{
    const double decayed = grantRate(bucket, now);
    bucket.grantRate = std::max(0.0, decayed + tokens / seconds(m_rules.window));
    bucket.grantRateAt = now;
}

double QuotaPool::capacity(const Bucket &bucket) const
{
    const double size
            = bucket.factor * std::max(bucket.limit.burst, minBurstSeconds * bucket.limit.rate);
    return bucket.hasMajority ? std::max(size, 1 + heldShareOfSlack * m_rules.slack) : size;
}

double QuotaPool::bound(const Bucket &bucket) const
{
    const double size = bucket.factor * bucket.limit.burst;
    const double held = bucket.factor * m_rules.heldTokens(bucket.limit);
    if (!bucket.hasMajority)
        return size + held;
    return std::max(size, 1.0) + std::max(held, heldShareOfSlack * m_rules.slack);
}

void QuotaPool::limitTokens(Bucket &bucket) const
{
    const double room = std::max(0.0, bound(bucket) - bucket.heldTokens);
    bucket.tokens = std::min({bucket.tokens, capacity(bucket), room});
}

void QuotaPool::refill(Bucket &bucket, Duration until) const
{
    if (until <= bucket.refilledAt)
        return;
    bucket.tokens += bucket.factor * bucket.limit.rate * seconds(until - bucket.refilledAt);
    bucket.refilledAt = until;
    limitTokens(bucket);
}

void QuotaPool::settle(Bucket &bucket, Duration now) const
{
    while (!bucket.held.empty() && bucket.held.front().until <= now) {
        refill(bucket, bucket.held.front().until);
        bucket.heldTokens = std::max(0.0, bucket.heldTokens - bucket.held.front().tokens);
        bucket.held.pop_front();
    }
    refill(bucket, now);
}

double QuotaPool::release(Bucket &bucket, double tokens) const
{
    // Which of the tokens these are is not known. If they are taken for the oldest ones, the rest
    // counts for longer than it may be used, never for less.
    double released = 0;
    while (released < tokens && !bucket.held.empty()) {
        auto &oldest = bucket.held.front();
        const double part = std::min(tokens - released, oldest.tokens);
        released += part;
        oldest.tokens -= part;
        if (oldest.tokens <= 0)
            bucket.held.pop_front();
    }
    bucket.heldTokens = std::max(0.0, bucket.heldTokens - released);
    return released;
}

void QuotaPool::takeBack(Bucket &bucket, const QuotaAsk::Entry &entry, Duration now) const
{
    (void)release(bucket, entry.used);
    const double returned = release(bucket, entry.returned);
    if (returned <= 0)
        return;
    bucket.tokens += returned;
    limitTokens(bucket);
    noteGranted(bucket, -returned, now);
}

QuotaGrant::Entry QuotaPool::grant(Bucket &bucket, const QuotaAsk::Entry &entry, Duration now) const
{
    QuotaGrant::Entry result{entry.owner, 0, Milliseconds(0), Milliseconds(0), false};
    if (std::min(capacity(bucket), bound(bucket)) < 1) {
        result.hasNoShare = true;
        result.retryAfter = maxRetryAfter;
        return result;
    }
    const auto take = [&](double wanted, double reserve) {
        const double taken = std::clamp(std::floor(bucket.tokens - reserve + epsilon), 0.0, wanted);
        bucket.tokens = std::max(0.0, bucket.tokens - taken);
        result.granted += static_cast<std::uint32_t>(taken);
    };
    take(entry.waiting, 0);
    if (result.granted < entry.waiting) {
        const double wait = (1 - bucket.tokens) / (bucket.factor * bucket.limit.rate);
        const auto limited
                = std::min(wait, seconds(maxRetryAfter)); // Also if the rate is almost 0.
        result.retryAfter = std::max(
                minRetryAfter, Milliseconds(static_cast<long long>(std::ceil(1'000 * limited))));
    } else {
        take(entry.ahead, std::max(minReserved, reservedShare * capacity(bucket)));
    }
    if (result.granted == 0)
        return result;
    noteGranted(bucket, result.granted, now);
    result.lifetime = m_rules.tokenLifetime(bucket.limit);
    const auto until = now + result.lifetime;
    bucket.heldTokens += result.granted;
    if (!bucket.held.empty() && bucket.held.back().until >= until) {
        // A raised limit may shorten the lifetime; the order of the ends is kept.
        bucket.held.back().tokens += result.granted;
    } else {
        bucket.held.push_back({until, static_cast<double>(result.granted)});
    }
    return result;
}

} // namespace Radishplank
