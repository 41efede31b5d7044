#pragma once

#include <Core/Core.h>
#include <Gateway/PeerReport.h>

#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// Streams of one process at one upstream.
struct UpstreamLoad
{
    unsigned online = 0;
    unsigned batch = 0;

    bool operator==(const UpstreamLoad &) const = default;
};

/// Batch items that wait for a slot; fractional if a route splits its calls by weights.
struct WaitingItems
{
    /// Items that can be completed before they are due.
    double inTime = 0;
    /// Items that cannot be completed before they are due.
    double late = 0;

    [[nodiscard]] double sum() const { return inTime + late; }
    WaitingItems &operator+=(const WaitingItems &other)
    {
        inTime += other.inTime;
        late += other.late;
        return *this;
    }
};

/// Loads of the peers at the upstreams and the batch items that wait at the peers.
///
/// Many peers report several times a second, and upstreams are chosen often. The sums are updated
/// when a report arrives, so the cost of a choice does not depend on the number of peers. Pure.
class PeerLoads
{
public:
    /// Replaces a peer's previous report.
    void note(const NodeId &peer, std::span<const UpstreamStreams> loads,
              std::span<const ServiceDemand> waiting, TimePoint now);
    /// Drops reports that are too old.
    void expire(TimePoint now);

    /// Returns the sum of the peers' streams at an upstream, given the hash of its name.
    [[nodiscard]] UpstreamLoad at(std::uint64_t upstream) const;
    /// Returns the sum of the items that wait at the peers for a service, given the hash of its
    /// name.
    [[nodiscard]] WaitingItems waiting(std::uint64_t service) const;
    /// Returns whether some peer must preempt batch items at an upstream before this process does,
    /// because it has more batch items there, or as many and a greater node id.
    [[nodiscard]] bool mustPeerPreemptFirst(std::uint64_t upstream, unsigned ownBatch,
                                            const NodeId &self) const;

private:
    struct Report
    {
        TimePoint at;
        /// Sorted by upstream.
        std::vector<UpstreamStreams> loads;
        std::vector<ServiceDemand> waiting;
    };

    void remove(const Report &report);

    std::map<NodeId, Report> m_reports;
    std::unordered_map<std::uint64_t, UpstreamLoad> m_loads;
    std::unordered_map<std::uint64_t, WaitingItems> m_waiting;
    /// Lower bound for the times of all reports.
    TimePoint m_oldestAt = TimePoint::max();
};

} // namespace Radishplank
