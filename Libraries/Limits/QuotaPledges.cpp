#include <Limits/QuotaPledges.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// More homes spread the work; fewer ones let a process ask for more owners in one datagram.
constexpr std::size_t maxHomes = 16;
/// Members report every 500 ms; one lost report does not void a pledge.
constexpr Milliseconds pledgeLifetime{1'200};
/// Time between a change of the candidates and the first pledge by the new ones. Longer than
/// pledgeLifetime by the time for which a report may be delayed.
constexpr Milliseconds changeTime{2'000};
/// As PeerTable: a working link hardly ever loses this many reports in a row.
constexpr Milliseconds silenceTimeout{2'500};
constexpr std::size_t maxPreviousHomes = 4;
/// Bounds the number of sets that are announced within changeTime.
constexpr Milliseconds minChoiceInterval{450};
/// Time between two checks whether pledges have ended.
constexpr Milliseconds groupInterval{100};
/// A process that did not run for this long may hold pledges that no longer count elsewhere.
constexpr Milliseconds suspensionTime{500};
/// Time to read the reports that arrived during a suspension.
constexpr Milliseconds staleReportTime{200};
/// After a suspension every peer seems silent until its next report.
constexpr Milliseconds rediscoveryTime{1'500};

} // namespace

QuotaPledges::QuotaPledges(std::uint64_t self, Duration startedAt)
    : m_self(self)
    , m_startedAt(startedAt)
    , m_homes{self}
    , m_chosenAt(startedAt - minChoiceInterval)
{
}

bool QuotaPledges::noteReport(std::uint64_t node, QuotaPledge pledge, Duration now)
{
    checkSuspension(now);
    if (node == m_self || now < m_ignoreReportsUntil)
        return false;
    auto &member = m_members[node];
    // The network may deliver reports in another order. After a restart the age is much lower.
    if (pledge.age < member.age && member.age - pledge.age < changeTime)
        return false;
    const auto age = pledge.age;
    const bool needsReceipt = std::any_of(
            pledge.previousHomes.begin(), pledge.previousHomes.end(), [&](const auto &homes) {
                return std::find(homes.begin(), homes.end(), m_self) != homes.end();
            });
    auto sets = setsOf(std::move(pledge));
    const bool isPledging = !sets.empty();
    m_hasPledgeChanged |= member.isPledging != isPledging || member.sets != sets
                          || now - member.heardAt > pledgeLifetime;
    member = {now, isPledging, age, std::move(sets)};
    return needsReceipt;
}

bool QuotaPledges::noteReceipt(std::uint64_t home, Milliseconds age)
{
    for (auto &each : m_replaced) {
        if (std::chrono::duration_cast<Milliseconds>(each.at - m_startedAt) <= age)
            each.unconfirmed.erase(home);
    }
    const auto confirmed
            = std::erase_if(m_replaced, [](const auto &each) { return each.unconfirmed.empty(); });
    m_hasPledgeChanged |= confirmed > 0;
    return confirmed > 0;
}

void QuotaPledges::noteLeft(std::uint64_t node)
{
    m_members.erase(node);
    m_hasPledgeChanged = true;
}

void QuotaPledges::setMemberCount(std::size_t count)
{
    m_hasMemberCountChanged |= m_memberCount != count;
    m_memberCount = count;
}

bool QuotaPledges::chooseHomes(const std::set<std::uint64_t> &suspects, Duration now)
{
    checkSuspension(now);
    if (now - m_chosenAt < minChoiceInterval || now < m_keepHomesUntil)
        return false;
    m_chosenAt = now;
    const bool wasNew = now - m_startedAt < changeTime;
    QuotaHomes chosen{m_self};
    for (const auto &[node, member] : m_members) {
        if (now - member.heardAt <= silenceTimeout && !suspects.contains(node))
            chosen.push_back(node);
    }
    // Before a restart this process may have pledged to others. If it hears every member, it
    // chooses the same homes as then, unless one was silent just before the restart; its single
    // share could then count twice until the earlier pledge lapses. Waiting would leave all owners
    // without a home for two seconds when all processes restart at once.
    if (wasNew && m_memberCount > 0 && chosen.size() >= m_memberCount)
        m_startedAt = now - changeTime;
    std::sort(chosen.begin(), chosen.end());
    if (chosen.size() > maxHomes)
        chosen.resize(maxHomes);
    if (chosen == m_homes)
        return false;
    // A process pledges nothing at first, so the sets that it had until then count nowhere.
    if (!wasNew) {
        std::set<std::uint64_t> unconfirmed(m_homes.begin(), m_homes.end());
        // This process applies its own changes before it answers the next ask.
        unconfirmed.erase(m_self);
        if (!unconfirmed.empty())
            m_replaced.push_back({std::move(m_homes), now, std::move(unconfirmed)});
    }
    m_homes = std::move(chosen);
    m_hasPledgeChanged = true;
    return true;
}

bool QuotaPledges::update(Duration now)
{
    checkSuspension(now);
    m_updatedAt = now;
    if (!m_hasPledgeChanged && !m_hasMemberCountChanged && now - m_groupedAt < groupInterval)
        return false;
    m_hasPledgeChanged = false;
    m_groupedAt = now;
    std::erase_if(m_replaced, [&](const auto &each) { return now - each.at > changeTime; });
    auto groups = currentGroups(now);
    if (groups == m_groups && !m_hasMemberCountChanged)
        return false;
    m_groups = std::move(groups);
    m_hasMemberCountChanged = false;
    return true;
}

QuotaPledge QuotaPledges::ownPledge(Duration now) const
{
    QuotaPledge pledge{m_homes, {}, now - m_startedAt};
    for (const auto &each : m_replaced) {
        if (now - each.at <= changeTime)
            pledge.previousHomes.push_back(each.homes);
    }
    if (pledge.previousHomes.size() > maxPreviousHomes)
        return {{}, {}, pledge.age};
    return pledge;
}

QuotaShare QuotaPledges::shareOf(std::uint64_t owner) const
{
    QuotaShare share{0, m_memberCount};
    for (const auto &[sets, count] : m_groups) {
        const bool isHome = std::all_of(sets.begin(), sets.end(), [&](const auto &homes) {
            return quotaHomeOf(owner, homes) == m_self;
        });
        share.pledged += isHome ? count : 0;
    }
    // The list of members may be known only in part.
    share.pledged = std::min(share.pledged, share.members);
    return share;
}

void QuotaPledges::checkSuspension(Duration now)
{
    // Before the first update, nothing counts that could have become invalid.
    if (!m_updatedAt || now - *m_updatedAt < suspensionTime)
        return;
    m_suspensions += 1;
    m_updatedAt = now;
    m_ignoreReportsUntil = now + staleReportTime;
    m_keepHomesUntil = now + rediscoveryTime;
    for (auto &[node, member] : m_members)
        member.isPledging = false;
    m_groups.clear();
    // The next update() must report a change even if nothing counts then.
    m_hasMemberCountChanged = true;
}

QuotaPledges::Groups QuotaPledges::currentGroups(Duration now) const
{
    Groups groups;
    const auto own = setsOf(ownPledge(now));
    if (!own.empty())
        groups[own] += 1;
    for (const auto &[node, member] : m_members) {
        if (member.isPledging && now - member.heardAt <= pledgeLifetime)
            groups[member.sets] += 1;
    }
    return groups;
}

std::vector<QuotaHomes> QuotaPledges::setsOf(QuotaPledge pledge)
{
    if (pledge.homes.empty() || pledge.age < changeTime)
        return {};
    auto sets = std::move(pledge.previousHomes);
    sets.push_back(std::move(pledge.homes));
    std::sort(sets.begin(), sets.end());
    sets.erase(std::unique(sets.begin(), sets.end()), sets.end());
    return sets;
}

} // namespace Radishplank
