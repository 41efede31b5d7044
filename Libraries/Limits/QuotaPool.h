#pragma once

#include <Limits/QuotaMessages.h>
#include <Limits/QuotaRules.h>

#include <deque>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// The token buckets of a home, one for each owner with a limit. Times are of BootClock. Pure.
///
/// The tokens in a bucket and the granted ones that may still be used or returned are bounded
/// together; so a window admits at most that bound and what the rate adds within it.
class QuotaPool
{
public:
    explicit QuotaPool(QuotaRules rules);

    /// Replaces the limits of all owners. A bucket keeps its tokens up to the new limit.
    void setLimits(std::span<const QuotaLimit> limits, Duration now);
    /// Determines again which shares of the limits this home hands out. Must be called soon after
    /// each change, because a bucket is refilled by its last share.
    void updateShares(const std::function<QuotaShare(std::uint64_t owner)> &shareOf, Duration now);
    /// Takes tokens for an ask out of the buckets.
    [[nodiscard]] QuotaGrant answer(const QuotaAsk &ask, Duration now);

    /// How much of an owner's limit was used over about a window; 1 is the whole rate.
    struct Usage
    {
        std::uint64_t owner = 0;
        double ratio = 0;
    };
    /// Returns the usage of the owners of which this home hands out tokens.
    [[nodiscard]] std::vector<Usage> usage(Duration now) const;

private:
    struct Held
    {
        Duration until{};
        double tokens = 0;
    };
    struct Bucket
    {
        QuotaLimit limit;
        double factor = 0;
        /// Whether more than half of the members pledge to this home. No other home can then have
        /// as many, so rounding up to a whole token happens at one home only.
        bool hasMajority = false;
        double tokens = 0;
        Duration refilledAt{};
        /// Granted tokens that may still be used, in the order of their end.
        std::deque<Held> held;
        double heldTokens = 0;
        /// Tokens granted and not returned, per second, averaged over about a window.
        double grantRate = 0;
        Duration grantRateAt{};
    };

    [[nodiscard]] double capacity(const Bucket &bucket) const;
    /// Returns the bound on tokens in the bucket and granted ones.
    [[nodiscard]] double bound(const Bucket &bucket) const;
    void limitTokens(Bucket &bucket) const;
    void refill(Bucket &bucket, Duration until) const;
    /// Refills the bucket up to now, in steps at which granted tokens end.
    void settle(Bucket &bucket, Duration now) const;
    /// Returns the grant rate as it has decayed until now.
    [[nodiscard]] double grantRate(const Bucket &bucket, Duration now) const;
    void noteGranted(Bucket &bucket, double tokens, Duration now) const;
    /// Ends granted tokens, and returns how many there were.
    double release(Bucket &bucket, double tokens) const;
    /// Applies what an ask says about the tokens of earlier grants.
    void takeBack(Bucket &bucket, const QuotaAsk::Entry &entry, Duration now) const;
    [[nodiscard]] QuotaGrant::Entry grant(Bucket &bucket, const QuotaAsk::Entry &entry,
                                          Duration now) const;

    const QuotaRules m_rules;
    std::unordered_map<std::uint64_t, Bucket> m_buckets;
    /// Id of the last ask by the run of the asking process.
    std::unordered_map<std::uint64_t, std::uint64_t> m_lastAsks;
};

} // namespace Radishplank
