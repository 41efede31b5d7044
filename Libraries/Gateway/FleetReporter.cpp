#include <Gateway/FleetReporter.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// A relay that has not been heard for longer is replaced; two reports can be lost.
constexpr Milliseconds relayTimeout{1'200};
/// A report for another reason, such as a change of the fleet, replaces a periodic one that follows
/// so soon.
constexpr Milliseconds minFullReportInterval{250};
/// Reports are sent every 20 ms at the earliest, so a datagram may be due shortly before its time.
constexpr Milliseconds timerTolerance{50};

/// A recipient that a relay has not served for longer was unreachable, and needs all reports.
constexpr Milliseconds maxRelayGap{2'500};

std::uint64_t loadDigestOf(const PeerReport &report)
{
    std::uint64_t digest = 1;
    const auto add = [&](std::uint64_t value) {
        constexpr std::uint64_t multiplier = 0x9e37'79b9'7f4a'7c15;
        digest = (digest ^ value) * multiplier;
        digest ^= digest >> 32U;
    };
    for (const auto &load : report.loads) {
        add(load.upstream);
        add((std::uint64_t{load.online} << 32U) + load.batch);
    }
    for (const auto &demand : report.waiting) {
        add(demand.service);
        add((std::uint64_t{demand.items} << 32U) + demand.lateItems);
        add(demand.hasLimitedCalls ? 1 : 0);
    }
    for (const auto &grant : report.requestGrants)
        add(grant.id);
    for (const auto &leaving : report.leaving) {
        add(leaving.upstream);
        add(static_cast<std::uint64_t>(leaving.startedAt));
    }
    return digest;
}

/// Time between two datagrams of one of the two relays. Bytes between regions are expensive; there
/// the two relays together still give a sign of life twice a second.
Milliseconds relayInterval(Distance distance)
{
    return distance == Distance::OtherRegion ? 2 * fullReportInterval : fullReportInterval;
}

/// Returns a report without the fields of a full one.
PeerReport loadsOnly(const PeerReport &report)
{
    auto result = report;
    result.hasJobs = false;
    result.ownedJobs.clear();
    result.endedJobs.clear();
    result.crashUpdates = {};
    result.partUpdates = {};
    result.upstreamLimits.clear();
    result.quotaHomes.clear();
    result.previousQuotaHomes.clear();
    return result;
}

} // namespace

FleetReporter::FleetReporter(const NodeId &self, Locality locality)
    : m_self(nodeHash(self))
    , m_locality(std::move(locality))
{
}

void FleetReporter::note(const PeerReport &report, TimePoint now)
{
    if (report.zone == m_locality.zone && (report.hasJobs || report.isLeaving))
        m_relay.note(report, now);
}

void FleetReporter::updatePositions(std::span<const ReportPeer> peers)
{
    std::uint64_t digest = peers.size();
    for (const auto &peer : peers)
        digest = stableHash(peer.zone.text(), digest ^ peer.node);
    if (digest == m_peersDigest)
        return;
    m_peersDigest = digest;
    std::vector<CellEntry> entries;
    for (const auto &peer : peers)
        entries.push_back({peer.node, stableHash(peer.zone.text())});
    entries.push_back({m_self, stableHash(m_locality.zone.text())});
    m_peerPositions = FleetPartition::positions(entries);
    m_position = m_peerPositions.back();
    m_peerPositions.pop_back();
    m_cells = FleetPartition::cellCount(entries.size());
}

FleetReporter::CellReport FleetReporter::reportForCell(const PeerReport &report,
                                                       CellPosition recipient,
                                                       const UpstreamSubset *subset) const
{
    CellReport result;
    result.report = report;
    if (subset != nullptr) {
        std::erase_if(result.report.loads, [&](const UpstreamStreams &load) {
            return !subset->isUsedBy(recipient, load.upstream);
        });
        std::erase_if(result.report.waiting, [&](const ServiceDemand &demand) {
            return !subset->isServiceShared(m_position, recipient, demand.service);
        });
    }
    // Only the processes of a cell divide the rates of limited upstreams among them.
    if (FleetPartition::cellOf(recipient, m_cells) != FleetPartition::cellOf(m_position, m_cells))
        result.report.requestGrants.clear();
    result.hasLoads = !result.report.loads.empty() || !result.report.waiting.empty();
    result.loadDigest = loadDigestOf(result.report);
    return result;
}

FleetReporter::CellMembers FleetReporter::cellMembers(std::span<const ReportPeer> peers) const
{
    CellMembers members;
    const auto ownCell = FleetPartition::cellOf(m_position, m_cells);
    for (std::size_t i = 0; i < peers.size(); ++i) {
        if (FleetPartition::cellOf(m_peerPositions[i], m_cells) != ownCell)
            continue;
        members.size += 1;
        if (peers[i].isReachable)
            members.reachable.push_back({peers[i].node, peers[i].zone});
    }
    return members;
}

bool FleetReporter::needsOwnReport(const ReportPeer &peer, CellPosition position) const
{
    return peer.zone == m_locality.zone || m_quotaHomes.contains(peer.node) || !peer.isReachable
           || !peer.relaysReports
           || FleetPartition::cellOf(position, m_cells)
                      == FleetPartition::cellOf(m_position, m_cells);
}

std::vector<FleetReporter::Datagram> FleetReporter::datagrams(const PeerReport &report,
                                                              ReportOccasion occasion,
                                                              const UpstreamSubset *subset,
                                                              std::span<const ReportPeer> peers,
                                                              TimePoint now)
{
    updatePositions(peers);
    if (report.hasJobs) {
        m_quotaHomes = {report.quotaHomes.begin(), report.quotaHomes.end()};
        for (const auto &homes : report.previousQuotaHomes)
            m_quotaHomes.insert(homes.begin(), homes.end());
    }
    const auto ownCell = FleetPartition::cellOf(m_position, m_cells);
    std::map<unsigned, CellReport> cellReports;
    // Loads that a cell has no more are reported once.
    std::set<unsigned> loadCells{ownCell};
    std::set<unsigned> sharingCells;
    PeerCounts counts;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const auto cell = FleetPartition::cellOf(m_peerPositions[i], m_cells);
        const auto [entry, isNew] = cellReports.try_emplace(cell);
        if (isNew) {
            entry->second = reportForCell(report, m_peerPositions[i], subset);
            if (entry->second.hasLoads)
                sharingCells.insert(cell);
            if (entry->second.hasLoads || m_sharingCells.contains(cell))
                loadCells.insert(cell);
        }
        if (loadCells.contains(cell))
            counts.at(m_locality.distanceTo(peers[i].zone)) += 1;
    }
    m_sharingCells = std::move(sharingCells);
    m_loadPropagationTime = reportInterval(Distance::SameRegion, counts);
    m_hasUnsentLoads = false;

    std::vector<Datagram> result;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const auto &peer = peers[i];
        auto &state = m_states[peer.node];
        const auto cell = FleetPartition::cellOf(m_peerPositions[i], m_cells);
        auto &cellReport = cellReports.at(cell);
        const bool isHome = m_quotaHomes.contains(peer.node);
        const bool isFullDue
                = occasion == ReportOccasion::Urgent
                  || (occasion == ReportOccasion::FleetChange && peer.zone == m_locality.zone)
                  || (occasion == ReportOccasion::Periodic
                      && needsOwnReport(peer, m_peerPositions[i])
                      && (isHome || now - state.fullSentAt >= minFullReportInterval));
        if (isFullDue) {
            if (cellReport.fullBytes.empty())
                cellReport.fullBytes = encodePeerReport(cellReport.report);
            state.fullSentAt = now;
            state.loadSentAt = now;
            state.sentLoadDigest = cellReport.loadDigest;
            result.push_back({peer.datagramEndpoint, cellReport.fullBytes, ReportKind::Full});
            continue;
        }
        // A periodic report renews the loads, which expire at the peer.
        const bool isLoadKnown = state.sentLoadDigest == cellReport.loadDigest
                                 && occasion != ReportOccasion::Periodic;
        if (!loadCells.contains(cell) || isLoadKnown)
            continue;
        if (now - state.loadSentAt < reportInterval(m_locality.distanceTo(peer.zone), counts)) {
            m_hasUnsentLoads = true;
            continue;
        }
        if (cellReport.loadBytes.empty())
            cellReport.loadBytes = encodePeerReport(loadsOnly(cellReport.report));
        state.loadSentAt = now;
        state.sentLoadDigest = cellReport.loadDigest;
        result.push_back({peer.datagramEndpoint, cellReport.loadBytes, ReportKind::Load});
    }
    if (occasion == ReportOccasion::Periodic)
        addRelays(result, peers, cellReports, now);
    return result;
}

void FleetReporter::addRelays(std::vector<Datagram> &datagrams, std::span<const ReportPeer> peers,
                              std::map<unsigned, CellReport> &cellReports, TimePoint now)
{
    std::vector<RelayCandidate> zone{{m_self, true}};
    std::vector<std::pair<std::uint64_t, std::size_t>> recipients;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const auto &peer = peers[i];
        if (peer.zone != m_locality.zone)
            recipients.emplace_back(peer.node, i);
        else
            zone.push_back({peer.node, peer.heardAt && now - *peer.heardAt <= relayTimeout});
    }
    std::sort(zone.begin(), zone.end(),
              [](const auto &left, const auto &right) { return left.node < right.node; });
    std::sort(recipients.begin(), recipients.end());
    for (std::size_t place = 0; place < recipients.size(); ++place) {
        const auto index = recipients[place].second;
        const auto &peer = peers[index];
        auto &state = m_states[peer.node];
        const auto interval = relayInterval(m_locality.distanceTo(peer.zone));
        if (!peer.isReachable) {
            // When it is reachable again, it needs all reports at once.
            state.relayedAt = {};
            continue;
        }
        if (!peer.relaysReports || now - state.relayedAt < interval - timerTolerance
            || !ReportRelay::isRelayFor(place, m_self, zone))
            continue;
        const bool isFirst = now - state.relayedAt > maxRelayGap;
        const auto turn = state.relayTurn++;
        state.relayedAt = now;
        auto report
                = cellReports.at(FleetPartition::cellOf(m_peerPositions[index], m_cells)).report;
        m_relay.describe(report, isFirst ? std::optional<unsigned>() : turn, now);
        datagrams.push_back({peer.datagramEndpoint, encodePeerReport(report), ReportKind::Relay});
    }
}

} // namespace Radishplank
