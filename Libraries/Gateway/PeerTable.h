#pragma once

#include <Gateway/PeerReport.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Radishplank {

/// Which entry processes there are, which of them are heard, and which jobs they run. Pure; used
/// on one thread.
class PeerTable
{
public:
    PeerTable(NodeId self, ZoneName zone);

    /// Notes where a peer's datagrams go, as the store's list of members has it.
    void noteMember(const NodeId &node, const ZoneName &zone, const Endpoint &datagrams);
    /// Takes in a report; returns whether the peer was not heard before, or not for a while.
    bool noteReport(const PeerReport &report, const Endpoint &sender, TimePoint now);

    /// Notes that all members of the store's list have been noted.
    void noteMembersListed() { m_areMembersListed = true; }
    /// Returns how many entry processes there are, this one included; 0 if that is not known yet.
    [[nodiscard]] std::size_t processCount() const;

    struct Destination
    {
        Endpoint datagrams;
        ZoneName zone;
    };
    /// Where reports of this process go.
    [[nodiscard]] std::vector<Destination> destinations() const;
    [[nodiscard]] bool isHeard(const NodeId &node, TimePoint now) const;
    [[nodiscard]] bool isAnyHeard(TimePoint now) const;
    [[nodiscard]] std::set<NodeId> heard(TimePoint now) const;
    /// Returns peers that were heard once and are not any more, each once for each silence.
    std::vector<NodeId> takeSilent(TimePoint now);
    /// Returns where the owner of a job takes calls, if one peer that is heard says that it is
    /// that. If two say so, one of them has not heard yet that the job was taken over.
    [[nodiscard]] std::optional<Endpoint> ownerOf(const std::string &job, TimePoint now) const;
    /// Tells whether this process is to keep up with the store by itself. One in each zone does,
    /// and three in all at least; the others learn from them.
    [[nodiscard]] bool shouldWatch(TimePoint now) const;
    /// Returns where a peer takes calls that knows more of the fleet; peers in the same zone first.
    [[nodiscard]] std::optional<Endpoint> betterInformed(const FleetVersion &own,
                                                         TimePoint now) const;
    /// Returns where a peer takes calls that can make calls to the store for this process; one that
    /// watches the store first, then one in the same zone.
    [[nodiscard]] std::optional<Endpoint> storeProxy(TimePoint now) const;
    /// Tells whether a job of a peer that is not heard falls to this process. It does to one of all
    /// that are heard, at once; and some time later to another one, the same for all jobs of the
    /// peer, which takes what is left: who inherits a job may not have been told of it.
    [[nodiscard]] bool isHeir(const NodeId &owner, const std::string &job, TimePoint now) const;
    /// Returns the peers that are not heard and of whose jobs more may fall to this process than
    /// when they were last returned.
    std::vector<NodeId> takeBequests(TimePoint now);

private:
    struct Peer
    {
        ZoneName zone;
        Endpoint datagrams;
        Endpoint control;
        std::optional<TimePoint> heardAt;
        bool isSilenceTold = false;
        /// How many of its jobs, and what is left as one, fell to this process when that was told.
        std::size_t bequestsTold = 0;
        bool isWatching = false;
        bool isStoreReachable = false;
        FleetVersion fleet;
        std::set<std::uint64_t> jobs;
    };

    /// Tells whether what is left of a silent peer's jobs falls to this process by now.
    [[nodiscard]] bool isExecutor(const NodeId &owner, TimePoint now) const;
    /// Tells whether this process is the one, of all that are heard, that a hash falls to.
    [[nodiscard]] bool isChosen(std::uint64_t hash, TimePoint now) const;

    const NodeId m_self;
    const ZoneName m_zone;
    std::map<NodeId, Peer> m_peers;
    bool m_areMembersListed = false;
};

} // namespace Radishplank
