#pragma once

#include <Limits/ClaimSet.h>

#include <optional>
#include <set>
#include <variant>

namespace Radishplank {

/// How long a claim may be used, counted from the start of the write that confirmed it.
inline constexpr Milliseconds claimLease{6'000};

/// One process's quota of a limit on queued work, which all processes share through one object in
/// the store.
///
/// Bounds the queued work when jobs arrive at any process, and faster than they complete. A tenth
/// of the limit is divided into fixed shares, so that a few jobs need no call to the store; the
/// rest is claimed with conditional writes of that object, so the sum of all claims never exceeds
/// it. The claiming process uses a claim only for the duration of a lease. Other processes count
/// the claim until its process is unreachable and the claim has been unchanged for longer than the
/// lease: by then, a process that was suspended or partitioned has stopped using it, and its work
/// has been taken over. Work that is taken over is claimed even if that exceeds the limit.
/// Processes that come back after such a takeover use their fixed shares again, so the limit can be
/// exceeded temporarily, by a tenth at most. Pure; all times are those of BootClock.
class ClaimedQuota
{
public:
    explicit ClaimedQuota(NodeId self);

    /// Sets the limit and the number of processes that share it, 0 if that is not known yet.
    void configure(std::int64_t limit, std::size_t processes);
    /// Sets the reachable processes; their work is not taken over, so their claims do not expire.
    void setReachablePeers(std::set<NodeId> nodes) { m_reachablePeers = std::move(nodes); }
    /// Sets how much of the limit the work of this process uses.
    void setUsed(std::int64_t amount) { m_used = amount; }

    /// Returns how much more work may be accepted now without a call to the store.
    [[nodiscard]] std::int64_t headroom(Duration now) const;
    /// Returns whether the claim has to be written again: to extend its lease, to release a part of
    /// it, or to cover work that was taken over.
    [[nodiscard]] bool mustRenew(Duration now) const;

    /// The amount by which the unclaimed quota falls short of a request.
    struct Shortfall
    {
        std::int64_t amount = 0;
    };
    /// Returns the claims to write so that `needed` more may be accepted; 0 renews the claim. Quota
    /// that they release is no longer used from now on. `writeId` must be unique.
    [[nodiscard]] std::variant<ClaimSet, Shortfall>
    plan(const ClaimSet &current, std::int64_t needed, std::string writeId, Duration now);
    /// Notes that the planned claims are in the store, written by a call that started at
    /// `startedAt`.
    void confirm(const ClaimSet &written, Duration startedAt);

private:
    struct ObservedClaim
    {
        std::string writeId;
        Duration unchangedSince{};
        Duration lastCheckedAt{};
    };

    [[nodiscard]] std::int64_t fixedShare() const;
    [[nodiscard]] std::int64_t usableClaim(Duration now) const;
    void capToStoredClaim(const ClaimSet &current);
    [[nodiscard]] bool hasExpired(const NodeId &node, const Claim &claim, Duration now);

    const NodeId m_self;
    std::int64_t m_limit = 0;
    std::size_t m_processes = 0;
    std::int64_t m_used = 0;
    /// Lower bound of this process's claim in the store.
    std::int64_t m_claimed = 0;
    std::optional<Duration> m_confirmedAt;
    /// Nearly all of the limit was claimed when the claims were last read.
    bool m_isScarce = false;
    std::set<NodeId> m_reachablePeers;
    std::map<NodeId, ObservedClaim> m_observedClaims;
};

} // namespace Radishplank
