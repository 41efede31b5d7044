#pragma once

#include <Limits/QuotaRules.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// What a member's report says about the homes to which it pledges its shares.
struct QuotaPledge
{
    QuotaHomes homes;
    /// Sets that were announced within the last two seconds before the current one.
    std::vector<QuotaHomes> previousHomes;
    /// Time since the member's process started.
    Duration age{};
};

/// Determines to which homes this process pledges its share of each quota, and which members pledge
/// theirs to this process. Processes are named by the hashes of their names; times are of
/// BootClock. Pure.
///
/// A home counts a member for an owner only if all sets that the member has announced recently map
/// the owner to this home; so no member counts at two homes, even while the sets differ. A replaced
/// set is announced until all homes in it have confirmed a report with the new one, or for two
/// seconds, after which pledges by it have lapsed.
class QuotaPledges
{
public:
    QuotaPledges(std::uint64_t self, Duration startedAt);

    /// Notes the full report of another member. Returns whether the member must get a receipt,
    /// because this process may have counted it by a set that it has replaced.
    [[nodiscard]] bool noteReport(std::uint64_t node, QuotaPledge pledge, Duration now);
    /// Notes the receipt of a home for a report of this process. Returns whether a report should be
    /// sent soon, because no home counts this process by a replaced set any more.
    [[nodiscard]] bool noteReceipt(std::uint64_t home, Milliseconds age);
    void noteLeft(std::uint64_t node);
    void setMemberCount(std::size_t count);
    /// Chooses this process's candidates anew, without the suspected ones; returns whether they
    /// have changed. Has no effect shortly after the last choice.
    bool chooseHomes(const std::set<std::uint64_t> &suspects, Duration now);
    /// Must be called at short intervals. Returns whether the shares that count have changed.
    bool update(Duration now);

    /// Returns how often this process was found to have been suspended.
    [[nodiscard]] std::size_t suspensions() const { return m_suspensions; }
    /// Returns the candidates of this process.
    [[nodiscard]] const QuotaHomes &homes() const { return m_homes; }
    /// Returns what this process's reports must announce.
    [[nodiscard]] QuotaPledge ownPledge(Duration now) const;
    /// Returns which part of the members pledges its share of an owner's quota to this process.
    [[nodiscard]] QuotaShare shareOf(std::uint64_t owner) const;
    [[nodiscard]] std::size_t memberCount() const { return m_memberCount; }

private:
    struct Member
    {
        /// The last time at which a report arrived.
        Duration heardAt{};
        /// Whether the last report counts as a pledge.
        bool isPledging = false;
        /// Age of its process in the last report.
        Duration age{};
        std::vector<QuotaHomes> sets;
    };
    struct Replaced
    {
        QuotaHomes homes;
        Duration at{};
        /// Homes in the set that may still count this process by it.
        std::set<std::uint64_t> unconfirmed;
    };
    using Groups = std::map<std::vector<QuotaHomes>, std::size_t>;

    void checkSuspension(Duration now);
    [[nodiscard]] Groups currentGroups(Duration now) const;
    /// Returns the sets by which a member pledges; empty if it pledges nothing.
    [[nodiscard]] static std::vector<QuotaHomes> setsOf(QuotaPledge pledge);

    const std::uint64_t m_self;
    /// From changeTime after this on, the process pledges its shares.
    Duration m_startedAt;
    std::size_t m_memberCount = 0;
    QuotaHomes m_homes;
    std::vector<Replaced> m_replaced;
    Duration m_chosenAt;
    std::unordered_map<std::uint64_t, Member> m_members;
    /// Number of members for each combination of announced sets.
    Groups m_groups;
    bool m_hasMemberCountChanged = false;
    /// Whether a pledge has changed since the groups were determined.
    bool m_hasPledgeChanged = true;
    Duration m_groupedAt{};
    std::optional<Duration> m_updatedAt;
    Duration m_ignoreReportsUntil{};
    Duration m_keepHomesUntil{};
    std::size_t m_suspensions = 0;
};

} // namespace Radishplank
