#pragma once

#include <Catalogue/Catalogue.h>
#include <Limits/ConcurrencyPart.h>
#include <Limits/RateLedger.h>
#include <Serving/Serving.h>

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace Radishplank {

/// What one entry process may let in of each limit of the fleet. Thread-safe.
class OwnerLimits
{
public:
    /// Sets the processes that share every limit in equal parts, and which of them this one is.
    void setMembers(std::vector<NodeId> members, NodeId own);

    /// Lets this process use the parts that it owns. Until then it uses only what it borrows,
    /// because the others may not know yet that the limit has one more part.
    void ownParts() { m_ownsParts = true; }

    /// Takes one request from the limit; otherwise returns how long to wait.
    std::optional<Duration> take(const std::string &key, const Limits &limits, TimePoint now);
    /// Gives back the concurrency that take() took.
    void release(const std::string &key);

    /// Ends a period of demand and returns the rates that should be borrowed.
    std::vector<RateShare> wantedAfterPeriod(Duration period, TimePoint now);
    /// Lends what can be spared of the wanted rates.
    std::vector<RateShare> lend(const NodeId &borrower, const std::vector<RateShare> &wanted,
                                TimePoint now);
    void borrow(const NodeId &lender, const std::vector<RateShare> &lent, TimePoint askedAt);

    [[nodiscard]] boost::json::array state(TimePoint now);

private:
    struct State
    {
        TokenBucket bucket{0, 0, TimePoint{}};
        RateLedger ledger;
        Limits limits;
        std::int64_t inFlight = 0;
        std::uint64_t asked = 0;
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

    void configure(State &state, TimePoint now) const;
    [[nodiscard]] std::int64_t concurrentPart(const std::string &key, const Limits &limits) const;
    [[nodiscard]] double share() const;
    Shard &shard(const std::string &key) { return m_shards[stableHash(key) % m_shards.size()]; }

    std::array<Shard, 16> m_shards;
    RcuPointer<Members> m_members{std::make_unique<const Members>()};
    std::atomic<bool> m_ownsParts{false};
};

} // namespace Radishplank
