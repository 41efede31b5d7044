#pragma once

#include <Catalogue/Catalogue.h>
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
    /// Sets of how many processes this one is; each owns an equal part of every limit.
    void setMembers(std::size_t members) { m_members = std::max<std::size_t>(members, 1); }

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
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<std::string, State> states;
    };

    void configure(State &state, TimePoint now) const;
    [[nodiscard]] std::int64_t concurrentPart(const Limits &limits) const;
    Shard &shard(const std::string &key) { return m_shards[stableHash(key) % m_shards.size()]; }

    std::array<Shard, 16> m_shards;
    std::atomic<std::size_t> m_members{1};
    std::atomic<bool> m_ownsParts{false};
};

} // namespace Radishplank
