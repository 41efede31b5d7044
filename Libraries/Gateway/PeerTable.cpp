#include <Gateway/PeerTable.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Reports come twice a second at least; so many in a row are hardly lost on a sound link.
constexpr Milliseconds silenceLimit{2'500};
/// Those that inherit a silent peer's jobs have read and taken them by then.
constexpr Milliseconds inheritanceTime{2'000};
/// Others depend on what a watching process knows, so its silence counts sooner.
constexpr Milliseconds watcherSilenceLimit{1'200};
/// Processes that watch besides one for each zone, so that a cut link blinds nobody.
constexpr std::size_t leastWatchers = 3;

} // namespace

PeerTable::PeerTable(NodeId self, ZoneName zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

void PeerTable::noteMember(const NodeId &node, const ZoneName &zone, const Endpoint &datagrams)
{
    if (node == m_self)
        return;
    auto &peer = m_peers[node];
    peer.zone = zone;
    peer.datagrams = datagrams;
}

bool PeerTable::noteReport(const PeerReport &report, const Endpoint &sender, TimePoint now)
{
    if (report.node == m_self)
        return false;
    auto &peer = m_peers[report.node];
    const bool isNews = !peer.heardAt || now - *peer.heardAt > silenceLimit;
    peer.zone = report.zone;
    peer.datagrams = sender;
    peer.control = report.control;
    peer.heardAt = now;
    peer.isSilenceTold = false;
    peer.bequestsTold = 0;
    peer.isWatching = report.isWatching && !report.isLeaving;
    peer.isStoreReachable = report.isStoreReachable && !report.isLeaving;
    peer.fleet = report.fleet;
    if (report.hasJobs)
        peer.jobs = {report.ownedJobs.begin(), report.ownedJobs.end()};
    if (report.isLeaving) {
        // It is silent from now on, which need not be waited for.
        peer.heardAt = now - silenceLimit - Milliseconds(1);
    }
    return isNews;
}

std::size_t PeerTable::processCount() const
{
    return m_areMembersListed ? m_peers.size() + 1 : 0;
}

std::vector<PeerTable::Destination> PeerTable::destinations() const
{
    std::vector<Destination> result;
    for (const auto &[node, peer] : m_peers)
        result.push_back({peer.datagrams, peer.zone});
    return result;
}

bool PeerTable::isHeard(const NodeId &node, TimePoint now) const
{
    if (node == m_self)
        return true;
    const auto found = m_peers.find(node);
    return found != m_peers.end() && found->second.heardAt
           && now - *found->second.heardAt <= silenceLimit;
}

bool PeerTable::isAnyHeard(TimePoint now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const auto &peer) { return isHeard(peer.first, now); });
}

std::set<NodeId> PeerTable::heard(TimePoint now) const
{
    std::set<NodeId> nodes;
    for (const auto &[node, peer] : m_peers) {
        if (isHeard(node, now))
            nodes.insert(node);
    }
    return nodes;
}

std::vector<NodeId> PeerTable::takeSilent(TimePoint now)
{
    std::vector<NodeId> silent;
    for (auto &[node, peer] : m_peers) {
        if (!peer.heardAt || peer.isSilenceTold || isHeard(node, now))
            continue;
        peer.isSilenceTold = true;
        silent.push_back(node);
    }
    return silent;
}

std::optional<Endpoint> PeerTable::ownerOf(const std::string &job, TimePoint now) const
{
    const auto hash = jobHash(job);
    std::optional<Endpoint> owner;
    for (const auto &[node, peer] : m_peers) {
        if (!peer.jobs.contains(hash) || !isHeard(node, now))
            continue;
        if (owner)
            return {};
        owner = peer.control;
    }
    return owner;
}

bool PeerTable::shouldWatch(TimePoint now) const
{
    std::size_t watchersBefore = 0;
    bool isZoneWatched = false;
    for (const auto &[node, peer] : m_peers) {
        const bool isHeardLately = peer.heardAt && now - *peer.heardAt <= watcherSilenceLimit;
        if (!isHeardLately || !peer.isWatching || !(node < m_self))
            continue;
        watchersBefore += 1;
        isZoneWatched |= peer.zone == m_zone;
    }
    return !isZoneWatched || watchersBefore + 1 < leastWatchers;
}

std::optional<Endpoint> PeerTable::betterInformed(const FleetVersion &own, TimePoint now) const
{
    const Peer *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (const auto &[node, peer] : m_peers) {
        if (!isHeard(node, now) || !own.isBehind(peer.fleet))
            continue;
        // Each asks another one, so that none has to answer all.
        const std::pair rank(peer.zone == m_zone,
                             stableHash(node.text(), stableHash(m_self.text())));
        if (best != nullptr && rank <= bestRank)
            continue;
        best = &peer;
        bestRank = rank;
    }
    return best == nullptr ? std::optional<Endpoint>() : best->control;
}

std::optional<Endpoint> PeerTable::storeProxy(TimePoint now) const
{
    const auto worth = [&](const Peer &peer) {
        return (peer.isWatching ? 2 : 0) + (peer.zone == m_zone ? 1 : 0);
    };
    const Peer *best = nullptr;
    for (const auto &[node, peer] : m_peers) {
        if (!isHeard(node, now) || !peer.isStoreReachable)
            continue;
        if (best == nullptr || worth(peer) > worth(*best))
            best = &peer;
    }
    return best == nullptr ? std::optional<Endpoint>() : best->control;
}

bool PeerTable::isChosen(std::uint64_t hash, TimePoint now) const
{
    const auto weight = [&](const NodeId &node) { return stableHash(node.text(), hash); };
    const auto own = weight(m_self);
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return isHeard(entry.first, now) && weight(entry.first) > own;
    });
}

bool PeerTable::isHeir(const NodeId &owner, const std::string &job, TimePoint now) const
{
    return !isHeard(owner, now) && (isChosen(jobHash(job), now) || isExecutor(owner, now));
}

bool PeerTable::isExecutor(const NodeId &owner, TimePoint now) const
{
    const auto peer = m_peers.find(owner);
    const bool wasHeard = peer != m_peers.end() && peer->second.heardAt;
    const bool haveHeirsHadTime
            = !wasHeard || now - *peer->second.heardAt > silenceLimit + inheritanceTime;
    return haveHeirsHadTime && !isHeard(owner, now) && isChosen(stableHash(owner.text()), now);
}

std::vector<NodeId> PeerTable::takeBequests(TimePoint now)
{
    std::vector<NodeId> owners;
    for (auto &[node, peer] : m_peers) {
        if (isHeard(node, now))
            continue;
        auto bequests = static_cast<std::size_t>(
                std::count_if(peer.jobs.begin(), peer.jobs.end(),
                              [&](auto hash) { return isChosen(hash, now); }));
        bequests += isExecutor(node, now) ? 1 : 0;
        if (bequests > peer.bequestsTold)
            owners.push_back(node);
        peer.bequestsTold = bequests;
    }
    return owners;
}

} // namespace Radishplank
