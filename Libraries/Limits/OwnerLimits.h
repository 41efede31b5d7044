#pragma once

#include <Catalogue/Catalogue.h>
#include <Limits/ConcurrencyQuota.h>
#include <Limits/ConcurrencyShare.h>
#include <Limits/RateQuota.h>
#include <Serving/Serving.h>

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace Radishplank {

/// Enforces this entry process's quota of each limit that the fleet shares. Thread-safe.
class OwnerLimits
{
public:
    /// Sets the processes that share every limit equally, and the id of this process.
    void setMembers(std::vector<NodeId> members, NodeId own);

    /// Lets this process use its own share of each limit. Until then it uses only borrowed quota,
    /// because other processes may not know yet that the limit is divided among one more.
    void useOwnShare() { m_usesOwnShare = true; }

    /// Halves the own shares while this process cannot know how many processes share the limit;
    /// this keeps the limit as long as their number does not more than double.
    void setIsolated(bool isIsolated) { m_isIsolated = isIsolated; }

    /// Admits one request, or returns how long to wait before the next try.
    std::optional<Duration> admit(const std::string &key, const Limits &limits, TimePoint now);
    /// Releases the concurrency slot of an admitted request.
    void release(const std::string &key, TimePoint now);
    /// Registers a limit that has not been used at this process, so that its share can be lent.
    void registerLimit(const std::string &key, const Limits &limits, Milliseconds longestCall);

    /// Ends a demand measurement period and returns the quota to borrow.
    std::vector<LimitShare> endDemandPeriod(Duration period, TimePoint now);
    /// Creates the loan request to one lender for the quota to borrow.
    std::vector<LimitShare> requestLoan(const NodeId &lender,
                                        const std::vector<LimitShare> &wanted);
    /// Lends as much of the requested quota as this process does not need.
    std::vector<LimitShare> lend(const NodeId &borrower, const std::vector<LimitShare> &wanted,
                                 TimePoint now);
    void borrow(const NodeId &lender, const std::vector<LimitShare> &lent, TimePoint requestedAt);

    [[nodiscard]] boost::json::array state(TimePoint now);

private:
    struct State
    {
        TokenBucket bucket{0, 0, TimePoint{}};
        RateQuota rateQuota;
        ConcurrencyQuota slots{static_cast<std::uint64_t>(unixMilliseconds())};
        Limits limits;
        std::int64_t inFlight = 0;
        std::uint64_t requestCount = 0;
    };
    struct Members
    {
        std::vector<NodeId> all;
        NodeId own;
    };
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<std::string, State> states;
    };

    void configure(const std::string &key, State &state, TimePoint now) const;
    static void applyLoan(State &state, const NodeId &lender, const LimitShare &loan,
                          TimePoint requestedAt);
    [[nodiscard]] std::int64_t ownedConcurrency(const std::string &key, const Limits &limits) const;
    [[nodiscard]] double share() const;
    Shard &shard(const std::string &key) { return m_shards[stableHash(key) % m_shards.size()]; }

    std::array<Shard, 16> m_shards;
    RcuPointer<Members> m_members{std::make_unique<const Members>()};
    std::atomic<bool> m_usesOwnShare{false};
    std::atomic<bool> m_isIsolated{false};
};

} // namespace Radishplank
