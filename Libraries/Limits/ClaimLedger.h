#pragma once

#include <Limits/ClaimSheet.h>

#include <optional>
#include <set>
#include <variant>

namespace Radishplank {

/// How long a claim may be used after the write that confirmed it was begun.
inline constexpr Milliseconds claimLease{6'000};

/// One process's part of a limit on work that waits, shared by all processes through one object of
/// the store.
///
/// Answers the load of jobs that arrive anywhere and faster than they are done. A tenth of the
/// limit is divided into fixed parts, so that a few jobs cost no call; the rest is claimed in the
/// sheet, by conditional writes, so that all claims never add up to more. A claim counts at its
/// owner only for the time of a lease, and at others until its owner is silent and it has stayed
/// unchanged for longer than that: a process that was suspended or cut off has stopped using it by
/// then, and its work has been taken over. Work that is taken over is claimed whether or not there
/// is room; so the limit can be passed for a while by the fixed parts of processes that are back
/// after their work was taken over, a tenth of it at most. Pure; times are those of BootClock.
class ClaimLedger
{
public:
    explicit ClaimLedger(NodeId self);

    /// Sets the limit, and how many processes share it; 0 if that is not known yet.
    void configure(std::int64_t limit, std::size_t processes);
    /// Sets which other processes are heard: their work stays theirs, and their claims hold.
    void setHeard(std::set<NodeId> nodes) { m_heard = std::move(nodes); }
    /// Sets how much of the limit this process's work takes up.
    void setUsed(std::int64_t amount) { m_used = amount; }

    /// Returns how much more may be accepted now without a call.
    [[nodiscard]] std::int64_t room(Duration now) const;
    /// Tells whether the claim should be written again: to keep it, to give some of it back, or to
    /// cover work that was taken over.
    [[nodiscard]] bool mustRenew(Duration now) const;

    /// What is missing for the amount that was asked for.
    struct Shortage
    {
        std::int64_t amount = 0;
    };
    /// Returns the sheet to write so that so much more may be accepted; 0 renews the claim. What
    /// the sheet gives up is not used from now on. `mark` must be unique.
    [[nodiscard]] std::variant<ClaimSheet, Shortage>
    plan(const ClaimSheet &current, std::int64_t needed, std::string mark, Duration now);
    /// Notes that a planned sheet is in the store, by a write begun at that time.
    void confirm(const ClaimSheet &written, Duration begunAt);

private:
    struct Seen
    {
        std::string mark;
        Duration since{};
        Duration lastLookAt{};
    };

    [[nodiscard]] std::int64_t fixedPart() const;
    [[nodiscard]] std::int64_t usableClaim(Duration now) const;
    void noteOwn(const ClaimSheet &current);
    [[nodiscard]] bool hasLapsed(const NodeId &node, const Claim &claim, Duration now);

    const NodeId m_self;
    std::int64_t m_limit = 0;
    std::size_t m_processes = 0;
    std::int64_t m_used = 0;
    /// What the store has of this process at least.
    std::int64_t m_claimed = 0;
    std::optional<Duration> m_confirmedAt;
    /// The limit was nearly claimed when the sheet was last seen.
    bool m_isScarce = false;
    std::set<NodeId> m_heard;
    std::map<NodeId, Seen> m_seen;
};

} // namespace Radishplank
