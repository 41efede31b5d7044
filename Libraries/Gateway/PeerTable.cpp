#include <Gateway/PeerTable.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Peers report at least twice a second; a working link hardly ever loses this many reports in a
/// row.
constexpr Milliseconds livenessTimeout{2'500};
/// Time in which the first successors have read and taken over the jobs of an unreachable peer.
constexpr Milliseconds takeoverTime{2'000};
/// Shorter than livenessTimeout, because other processes depend on the data of a watcher.
constexpr Milliseconds watcherLivenessTimeout{1'200};
/// Relayed reports of a peer are older than its own ones, and ignored while those arrive.
constexpr Milliseconds ownReportPrecedence{1'000};
/// Within this time a relay hears that a process has left.
constexpr Milliseconds leaveNoticeTolerance{500};
/// Minimum number of watchers in total, so that no process is left without current data when a
/// network link fails.
constexpr std::size_t minWatchers = 3;
/// Processes that ask one process for confirmations of the configuration. With 50 processes in a
/// zone, a confirmation passes three of them.
constexpr std::size_t confirmationFanOut = 4;

} // namespace

PeerTable::PeerTable(NodeId self, ZoneName zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

void PeerTable::noteMember(const NodeId &node, const ZoneName &zone,
                           const Endpoint &datagramEndpoint)
{
    if (node == m_self)
        return;
    auto &peer = m_peers[node];
    m_nodesByHash[nodeHash(node)] = node;
    peer.zone = zone;
    peer.datagramEndpoint = datagramEndpoint;
}

bool PeerTable::noteReport(const PeerReport &report, const Endpoint &sender, TimePoint now)
{
    if (report.node == m_self)
        return false;
    auto &peer = m_peers[report.node];
    m_nodesByHash[nodeHash(report.node)] = report.node;
    const bool becameReachable = !peer.lastReportAt || now - *peer.lastReportAt > livenessTimeout;
    apply(peer, report, sender);
    peer.lastReportAt = now;
    peer.lastOwnReportAt = now;
    if (report.hasJobs)
        peer.lastOwnFullReportAt = now;
    if (report.isLeaving) {
        // It sends no further reports, so it counts as unreachable at once.
        peer.lastReportAt = now - livenessTimeout - Milliseconds(1);
        peer.lastOwnReportAt.reset();
        peer.lastOwnFullReportAt.reset();
        peer.leftAt = now;
    }
    return becameReachable;
}

void PeerTable::apply(Peer &peer, const PeerReport &report, const Endpoint &sender)
{
    peer.zone = report.zone;
    peer.datagramEndpoint = sender;
    peer.control = report.control;
    peer.isUnreachableReported = false;
    peer.reportedOrphans = 0;
    peer.isWatching = report.isWatching && !report.isLeaving;
    peer.isStoreReachable = report.isStoreReachable && !report.isLeaving;
    peer.fleet = report.fleet;
    peer.relaysReports = report.relaysReports;
    if (report.hasJobs)
        peer.jobs = {report.ownedJobs.begin(), report.ownedJobs.end()};
}

std::optional<bool> PeerTable::noteRelayedReport(const PeerReport &report, Milliseconds age,
                                                 const Endpoint &sender, TimePoint now)
{
    if (report.node == m_self)
        return {};
    auto &peer = m_peers[report.node];
    m_nodesByHash[nodeHash(report.node)] = report.node;
    const auto heardAt = now - age;
    const bool isHeardDirectly
            = peer.lastOwnFullReportAt && now - *peer.lastOwnFullReportAt <= ownReportPrecedence;
    // The relay may not have heard yet that the peer has left.
    const bool hasLeft = peer.leftAt && heardAt <= *peer.leftAt + leaveNoticeTolerance;
    if (isHeardDirectly || hasLeft || age > livenessTimeout)
        return {};
    const bool becameReachable = !isReachable(report.node, now);
    apply(peer, report, peer.datagramEndpoint.port == 0 ? sender : peer.datagramEndpoint);
    peer.lastReportAt = std::max(peer.lastReportAt.value_or(heardAt), heardAt);
    return becameReachable;
}

void PeerTable::noteHeard(const HeardPeer &heard, TimePoint now)
{
    const auto node = m_nodesByHash.find(heard.node);
    // A peer that was unreachable counts as reachable again with its next report, which tells its
    // jobs.
    if (node == m_nodesByHash.end() || !isReachable(node->second, now))
        return;
    auto &peer = m_peers.at(node->second);
    peer.lastReportAt = std::max(*peer.lastReportAt, now - heard.age);
}

std::vector<ReportPeer> PeerTable::reportPeers(TimePoint now) const
{
    std::vector<ReportPeer> result;
    result.reserve(m_peers.size());
    for (const auto &[node, peer] : m_peers) {
        result.push_back({nodeHash(node), peer.zone, peer.datagramEndpoint, isReachable(node, now),
                          peer.lastOwnReportAt, peer.relaysReports});
    }
    return result;
}

std::size_t PeerTable::processCount() const
{
    return m_areMembersListed ? m_peers.size() + 1 : 0;
}

std::vector<PeerTable::Destination> PeerTable::destinations() const
{
    std::vector<Destination> result;
    for (const auto &[node, peer] : m_peers)
        result.push_back({peer.datagramEndpoint, peer.zone});
    return result;
}

bool PeerTable::isReachable(const NodeId &node, TimePoint now) const
{
    if (node == m_self)
        return true;
    const auto found = m_peers.find(node);
    return found != m_peers.end() && found->second.lastReportAt
           && now - *found->second.lastReportAt <= livenessTimeout;
}

bool PeerTable::isAnyReachable(TimePoint now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const auto &peer) { return isReachable(peer.first, now); });
}

std::set<NodeId> PeerTable::reachablePeers(TimePoint now) const
{
    std::set<NodeId> nodes;
    for (const auto &[node, peer] : m_peers) {
        if (isReachable(node, now))
            nodes.insert(node);
    }
    return nodes;
}

std::vector<NodeId> PeerTable::takeNewlyUnreachable(TimePoint now)
{
    std::vector<NodeId> unreachable;
    for (auto &[node, peer] : m_peers) {
        if (!peer.lastReportAt || peer.isUnreachableReported || isReachable(node, now))
            continue;
        peer.isUnreachableReported = true;
        unreachable.push_back(node);
    }
    return unreachable;
}

std::optional<Endpoint> PeerTable::ownerOf(const std::string &job, TimePoint now) const
{
    const auto hash = jobHash(job);
    std::optional<Endpoint> owner;
    for (const auto &[node, peer] : m_peers) {
        if (!peer.jobs.contains(hash) || !isReachable(node, now))
            continue;
        if (owner)
            return {};
        owner = peer.control;
    }
    return owner;
}

bool PeerTable::isReportedAsRunning(const std::string &job, TimePoint now) const
{
    const auto hash = jobHash(job);
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return entry.second.jobs.contains(hash) && isReachable(entry.first, now);
    });
}

std::optional<Endpoint> PeerTable::controlOf(const NodeId &node, TimePoint now) const
{
    const auto peer = m_peers.find(node);
    if (peer == m_peers.end() || !isReachable(node, now))
        return {};
    return peer->second.control;
}

bool PeerTable::shouldWatch(TimePoint now) const
{
    std::size_t precedingWatchers = 0;
    bool isZoneWatched = false;
    for (const auto &[node, peer] : m_peers) {
        // Relays report less often; what concerns other zones is only the number of watchers.
        const auto timeout
                = isLargeFleet() && peer.zone != m_zone ? livenessTimeout : watcherLivenessTimeout;
        const bool hasRecentReport = peer.lastReportAt && now - *peer.lastReportAt <= timeout;
        if (!hasRecentReport || !peer.isWatching || !(node < m_self))
            continue;
        precedingWatchers += 1;
        isZoneWatched |= peer.zone == m_zone;
    }
    return !isZoneWatched || precedingWatchers + 1 < minWatchers;
}

std::optional<Endpoint> PeerTable::peerWithNewerFleet(const FleetVersion &own, TimePoint now) const
{
    const Peer *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (const auto &[node, peer] : m_peers) {
        if (!isReachable(node, now) || !own.isBehind(peer.fleet))
            continue;
        // Spreads the requests, so that one peer does not have to serve all processes.
        const std::pair rank(peer.zone == m_zone,
                             stableHash(node.text(), stableHash(m_self.text())));
        if (best != nullptr && rank <= bestRank)
            continue;
        best = &peer;
        bestRank = rank;
    }
    return best == nullptr ? std::optional<Endpoint>() : best->control;
}

std::optional<Endpoint> PeerTable::nextFleetSource(const FleetVersion &own, bool isWatching,
                                                   TimePoint now)
{
    if (!isLargeFleet())
        return peerWithNewerFleet(own, now);
    std::vector<FleetSourceCandidate> candidates;
    std::vector<const Endpoint *> controls;
    bool isAnyNewer = false;
    for (const auto &[node, peer] : m_peers) {
        if (!isReachable(node, now))
            continue;
        const bool isNewer = own.isBehind(peer.fleet);
        isAnyNewer |= isNewer;
        candidates.push_back({node.text(), peer.zone == m_zone, peer.isWatching, isNewer});
        controls.push_back(&peer.control);
    }
    if (!isAnyNewer) {
        m_outdatedSince.reset();
        return {};
    }
    if (!m_outdatedSince || own != m_outdatedFleet) {
        m_outdatedFleet = own;
        m_outdatedSince = now;
    }
    const auto waited = std::chrono::duration_cast<Milliseconds>(now - *m_outdatedSince);
    const auto index = FleetSourceTree::choose(m_self.text(), isWatching, candidates, waited);
    return index ? *controls[*index] : std::optional<Endpoint>();
}

std::vector<Endpoint> PeerTable::confirmationSources(bool isStoreReachable, TimePoint now) const
{
    struct Candidate
    {
        /// Processes that reach the store come first, so that one of them becomes the root.
        std::pair<bool, NodeId> rank;
        const Endpoint *control = nullptr;
    };
    std::vector<Candidate> zone{{{!isStoreReachable, m_self}, nullptr}};
    for (const auto &[node, peer] : m_peers) {
        if (peer.zone == m_zone && isReachable(node, now))
            zone.push_back({{!peer.isStoreReachable, node}, &peer.control});
    }
    std::sort(zone.begin(), zone.end(),
              [](const auto &left, const auto &right) { return left.rank < right.rank; });
    const auto self = static_cast<std::size_t>(
            std::find_if(zone.begin(), zone.end(),
                         [](const auto &each) { return each.control == nullptr; })
            - zone.begin());
    if (self == 0)
        return {};
    const auto parent = (self - 1) / confirmationFanOut;
    std::vector<Endpoint> sources{*zone[parent].control};
    if (parent != 0)
        sources.push_back(*zone.front().control);
    return sources;
}

std::optional<Endpoint> PeerTable::storeProxy(TimePoint now) const
{
    const auto preference = [&](const Peer &peer) {
        return (peer.isWatching ? 2 : 0) + (peer.zone == m_zone ? 1 : 0);
    };
    const Peer *best = nullptr;
    for (const auto &[node, peer] : m_peers) {
        if (!isReachable(node, now) || !peer.isStoreReachable)
            continue;
        if (best == nullptr || preference(peer) > preference(*best))
            best = &peer;
    }
    return best == nullptr ? std::optional<Endpoint>() : best->control;
}

bool PeerTable::winsRendezvous(std::uint64_t hash, TimePoint now) const
{
    const auto weight = [&](const NodeId &node) { return stableHash(node.text(), hash); };
    const auto own = weight(m_self);
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return isReachable(entry.first, now) && weight(entry.first) > own;
    });
}

bool PeerTable::isSuccessor(const NodeId &owner, const std::string &job, TimePoint now) const
{
    return !isReachable(owner, now)
           && (winsRendezvous(jobHash(job), now) || isFallbackSuccessor(owner, now));
}

bool PeerTable::isFallbackSuccessor(const NodeId &owner, TimePoint now) const
{
    const auto peer = m_peers.find(owner);
    const bool wasReachable = peer != m_peers.end() && peer->second.lastReportAt;
    const bool isTakeoverTimeOver
            = !wasReachable || now - *peer->second.lastReportAt > livenessTimeout + takeoverTime;
    return isTakeoverTimeOver && !isReachable(owner, now)
           && winsRendezvous(stableHash(owner.text()), now);
}

std::vector<NodeId> PeerTable::takeFailoverPeers(TimePoint now)
{
    std::vector<NodeId> owners;
    for (auto &[node, peer] : m_peers) {
        if (isReachable(node, now))
            continue;
        auto orphans = static_cast<std::size_t>(
                std::count_if(peer.jobs.begin(), peer.jobs.end(),
                              [&](auto hash) { return winsRendezvous(hash, now); }));
        orphans += isFallbackSuccessor(node, now) ? 1 : 0;
        if (orphans > peer.reportedOrphans)
            owners.push_back(node);
        peer.reportedOrphans = orphans;
    }
    return owners;
}

} // namespace Radishplank
