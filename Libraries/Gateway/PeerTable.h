#pragma once

#include <Gateway/FleetSourceTree.h>
#include <Gateway/PeerReport.h>
#include <Gateway/ReportPeer.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// Membership and liveness of the entry processes, and the jobs that they run. Pure; used on one
/// thread.
class PeerTable
{
public:
    PeerTable(NodeId self, ZoneName zone);

    /// Notes the datagram address of a peer from the store's list of members.
    void noteMember(const NodeId &node, const ZoneName &zone, const Endpoint &datagramEndpoint);
    /// Notes a report; returns whether the peer was unknown or unreachable before.
    bool noteReport(const PeerReport &report, const Endpoint &sender, TimePoint now);

    /// Notes that the store's list of members has been read completely.
    void noteMembersListed() { m_areMembersListed = true; }
    /// Returns the number of entry processes, including this one; 0 if it is not known yet.
    [[nodiscard]] std::size_t processCount() const;

    /// Returns whether there are too many processes for each to deal with every other.
    [[nodiscard]] bool isLargeFleet() const { return m_peers.size() + 1 > maxSmallFleet; }

    struct Destination
    {
        Endpoint datagramEndpoint;
        ZoneName zone;
    };
    /// Returns the peers that this process sends its reports to.
    [[nodiscard]] std::vector<Destination> destinations() const;
    /// Returns all peers, as far as the choice of reports for them depends on them.
    [[nodiscard]] std::vector<ReportPeer> reportPeers(TimePoint now) const;
    /// Notes a report that a process of the peer's zone has passed on, and how old it is. Ignores
    /// it while reports from the peer itself arrive; otherwise returns whether the peer was unknown
    /// or unreachable before.
    std::optional<bool> noteRelayedReport(const PeerReport &report, Milliseconds age,
                                          const Endpoint &sender, TimePoint now);
    /// Notes that a process of the peer's zone has heard a reachable peer.
    void noteHeard(const HeardPeer &heard, TimePoint now);
    [[nodiscard]] bool isReachable(const NodeId &node, TimePoint now) const;
    [[nodiscard]] bool isAnyReachable(TimePoint now) const;
    [[nodiscard]] std::set<NodeId> reachablePeers(TimePoint now) const;
    /// Returns peers that were reachable and no longer are, each once until it is reachable again.
    std::vector<NodeId> takeNewlyUnreachable(TimePoint now);
    /// Returns where the owner of a job accepts calls, if exactly one reachable peer reports the
    /// job as its own. If two peers do, one of them has not learnt yet that the job was taken over.
    [[nodiscard]] std::optional<Endpoint> ownerOf(const std::string &job, TimePoint now) const;
    /// Returns whether a reachable peer reports a job as its own.
    [[nodiscard]] bool isReportedAsRunning(const std::string &job, TimePoint now) const;
    /// Returns where a reachable peer accepts calls.
    [[nodiscard]] std::optional<Endpoint> controlOf(const NodeId &node, TimePoint now) const;
    /// Returns whether this process should watch the store itself. One process in each zone does,
    /// and at least three in total; the others learn of changes from them.
    [[nodiscard]] bool shouldWatch(TimePoint now) const;
    /// Returns where a peer with a newer version of the fleet accepts calls; prefers peers in the
    /// same zone.
    [[nodiscard]] std::optional<Endpoint> peerWithNewerFleet(const FleetVersion &own,
                                                             TimePoint now) const;
    /// Returns where the peer accepts calls that this process should ask for a newer version of the
    /// fleet now. In a large fleet the requests pass through a tree; see FleetSourceTree.
    /// `isWatching` tells whether this process watches the store itself.
    std::optional<Endpoint> nextFleetSource(const FleetVersion &own, bool isWatching,
                                            TimePoint now);
    /// Returns where peers accept calls that may know a more recent confirmation of the
    /// configuration; none if this process must ask the store.
    ///
    /// The reachable processes of a zone form a tree, so that each asks one other and answers a
    /// few, and only one in each zone asks the store. The first entry is the parent in that tree;
    /// the others replace a parent that does not answer or lags behind.
    [[nodiscard]] std::vector<Endpoint> confirmationSources(bool isStoreReachable,
                                                            TimePoint now) const;
    /// Returns where a peer that can proxy calls to the store accepts calls; prefers peers that
    /// watch the store, then peers in the same zone.
    [[nodiscard]] std::optional<Endpoint> storeProxy(TimePoint now) const;
    /// Returns whether this process must take over a job of an unreachable peer. One reachable
    /// process, chosen by the job, takes it over at once. Some time later a fallback process, the
    /// same for all jobs of that peer, takes over the remaining ones, because the first successor
    /// may not know of the job.
    [[nodiscard]] bool isSuccessor(const NodeId &owner, const std::string &job,
                                   TimePoint now) const;
    /// Returns the unreachable peers of which this process may have to take over more jobs than at
    /// the previous call.
    std::vector<NodeId> takeFailoverPeers(TimePoint now);

private:
    struct Peer
    {
        ZoneName zone;
        Endpoint datagramEndpoint;
        Endpoint control;
        /// Also set by what other processes have heard.
        std::optional<TimePoint> lastReportAt;
        std::optional<TimePoint> lastOwnReportAt;
        std::optional<TimePoint> lastOwnFullReportAt;
        std::optional<TimePoint> leftAt;
        bool relaysReports = false;
        bool isUnreachableReported = false;
        /// Number of the peer's jobs that this process had to take over at the last call of
        /// takeFailoverPeers(); the jobs that the fallback process takes over count as one.
        std::size_t reportedOrphans = 0;
        bool isWatching = false;
        bool isStoreReachable = false;
        FleetVersion fleet;
        std::set<std::uint64_t> jobs;
    };

    /// Returns whether this process must take over the remaining jobs of an unreachable peer.
    [[nodiscard]] bool isFallbackSuccessor(const NodeId &owner, TimePoint now) const;
    /// Returns whether rendezvous hashing over the reachable processes maps a hash to this process.
    [[nodiscard]] bool winsRendezvous(std::uint64_t hash, TimePoint now) const;

    /// Takes over what a report tells about its sender.
    static void apply(Peer &peer, const PeerReport &report, const Endpoint &sender);

    const NodeId m_self;
    const ZoneName m_zone;
    std::unordered_map<std::uint64_t, NodeId> m_nodesByHash;
    std::map<NodeId, Peer> m_peers;
    bool m_areMembersListed = false;
    /// The version that this process had when it last learnt that a peer has a newer one, and when
    /// it learnt that.
    FleetVersion m_outdatedFleet;
    std::optional<TimePoint> m_outdatedSince;
};

} // namespace Radishplank
