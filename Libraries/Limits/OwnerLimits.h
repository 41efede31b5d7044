#pragma once

#include <Catalogue/Catalogue.h>
#include <Limits/ConcurrencyLedger.h>
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

    /// Halves the own parts while this process cannot know how many share the limit, which holds
    /// the limit until they are twice as many.
    void setIsolated(bool isIsolated) { m_isIsolated = isIsolated; }

    /// Takes one request from the limit; otherwise returns how long to wait.
    std::optional<Duration> take(const std::string &key, const Limits &limits, TimePoint now);
    /// Gives back the concurrency that take() took.
    void release(const std::string &key, TimePoint now);
    /// Makes a limit known that nobody has used here yet, so that its part can be lent.
    void learn(const std::string &key, const Limits &limits, Milliseconds longestCall);

    /// Ends a period of demand and returns what should be borrowed.
    std::vector<LimitShare> wantedAfterPeriod(Duration period, TimePoint now);
    /// Makes of what should be borrowed the ask to one lender.
    std::vector<LimitShare> ask(const NodeId &lender, const std::vector<LimitShare> &wanted);
    /// Lends what can be spared of what is asked for.
    std::vector<LimitShare> lend(const NodeId &borrower, const std::vector<LimitShare> &wanted,
                                 TimePoint now);
    void borrow(const NodeId &lender, const std::vector<LimitShare> &lent, TimePoint askedAt);

    [[nodiscard]] boost::json::array state(TimePoint now);

private:
    struct State
    {
        TokenBucket bucket{0, 0, TimePoint{}};
        RateLedger ledger;
        ConcurrencyLedger slots{static_cast<std::uint64_t>(unixMilliseconds())};
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

    void configure(const std::string &key, State &state, TimePoint now) const;
    static void takeLoan(State &state, const NodeId &lender, const LimitShare &loan,
                         TimePoint askedAt);
    [[nodiscard]] std::int64_t concurrentPart(const std::string &key, const Limits &limits) const;
    [[nodiscard]] double share() const;
    Shard &shard(const std::string &key) { return m_shards[stableHash(key) % m_shards.size()]; }

    std::array<Shard, 16> m_shards;
    RcuPointer<Members> m_members{std::make_unique<const Members>()};
    std::atomic<bool> m_ownsParts{false};
    std::atomic<bool> m_isIsolated{false};
};

} // namespace Radishplank
