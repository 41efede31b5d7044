#pragma once

#include <Gateway/PeerReport.h>
#include <Gateway/ReportInterval.h>
#include <Gateway/ReportPeer.h>
#include <Gateway/ReportRelay.h>
#include <Gateway/UpstreamTable.h>
#include <Serving/UpstreamSubset.h>

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Radishplank {

/// What a report contains.
enum class ReportKind {
    Load,  ///< Loads of upstreams.
    Full,  ///< Also jobs, crashes and quotas.
    Relay, ///< A full report with those of other processes of the sender's zone.
};

/// Why reports are sent.
enum class ReportOccasion {
    LoadChange,
    /// This process has a newer version of the fleet, which the processes of its zone ask for.
    FleetChange,
    Periodic,
    /// Something that every process must know soon, such as a new job.
    Urgent,
};

/// Decides which process of a large fleet gets which report, and how often.
///
/// Sending every full report to every process would be 600 datagrams a second at 300 processes, in
/// each direction. Loads go to the processes that use the same upstreams; see UpstreamSubset. Full
/// reports go to the processes of the own zone and of the own cell, and to those that manage
/// quotas; the others learn of them from relays; see ReportRelay. Pure; used on one thread.
class FleetReporter
{
public:
    struct Datagram
    {
        Endpoint to;
        std::string bytes;
        ReportKind kind = ReportKind::Load;
    };

    FleetReporter(const NodeId &self, Locality locality);

    /// Notes a report that a peer has sent to this process.
    void note(const PeerReport &report, TimePoint now);
    /// Returns the reports to send now. `report` is a full one unless only loads have changed.
    /// `subset` may be null; then every upstream is used by every process.
    std::vector<Datagram> datagrams(const PeerReport &report, ReportOccasion occasion,
                                    const UpstreamSubset *subset, std::span<const ReportPeer> peers,
                                    TimePoint now);

    /// The other processes of this process's cell, which use the same upstreams.
    struct CellMembers
    {
        std::vector<LimitMember> reachable;
        /// Number of processes of the cell, with this one.
        std::size_t size = 1;
    };
    /// `peers` are those of the last call of datagrams().
    /// FIXME: Several cells share the upstreams of a service that has few; each of them divides the
    ///        whole rate of a limited upstream.
    [[nodiscard]] CellMembers cellMembers(std::span<const ReportPeer> peers) const;

    /// Returns the position of this process, as of the last call of datagrams().
    [[nodiscard]] CellPosition position() const { return m_position; }
    [[nodiscard]] unsigned cells() const { return m_cells; }
    /// Returns whether some peer has not yet got the latest change of loads.
    [[nodiscard]] bool hasUnsentLoads() const { return m_hasUnsentLoads; }
    /// Returns how long a change of loads takes to reach the peers in this region.
    [[nodiscard]] Milliseconds loadPropagationTime() const { return m_loadPropagationTime; }

private:
    /// The loads that concern the processes of a cell.
    struct CellReport
    {
        PeerReport report;
        bool hasLoads = false;
        /// Digest of the loads, without the estimates, which change all the time.
        std::uint64_t loadDigest = 0;
        /// Encoded on first use, with and without the fields of a full report.
        std::string loadBytes;
        std::string fullBytes;
    };

    struct PeerState
    {
        TimePoint loadSentAt{};
        std::uint64_t sentLoadDigest = 0;
        TimePoint fullSentAt{};
        TimePoint relayedAt{};
        unsigned relayTurn = 0;
    };

    void updatePositions(std::span<const ReportPeer> peers);
    [[nodiscard]] CellReport reportForCell(const PeerReport &report, CellPosition recipient,
                                           const UpstreamSubset *subset) const;
    [[nodiscard]] bool needsOwnReport(const ReportPeer &peer, CellPosition position) const;
    void addRelays(std::vector<Datagram> &datagrams, std::span<const ReportPeer> peers,
                   std::map<unsigned, CellReport> &cellReports, TimePoint now);

    const std::uint64_t m_self;
    const Locality m_locality;
    ReportRelay m_relay;
    std::map<std::uint64_t, PeerState> m_states;
    /// Positions of the peers, in their order, for the set of peers with this digest.
    std::vector<CellPosition> m_peerPositions;
    std::uint64_t m_peersDigest = 0;
    CellPosition m_position = 0;
    unsigned m_cells = 1;
    /// Cells other than the own one to which loads were last reported.
    std::set<unsigned> m_sharingCells;
    /// Processes that manage quotas of which this process has a share.
    std::set<std::uint64_t> m_quotaHomes;
    bool m_hasUnsentLoads = false;
    Milliseconds m_loadPropagationTime{};
};

} // namespace Radishplank
