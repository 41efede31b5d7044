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

/// Batch items that wait for a slot, in parts where a route divides its calls by weights.
struct WaitingItems
{
    double inTime = 0;
    /// They cannot be done by the time at which they are due.
    double late = 0;

    [[nodiscard]] double sum() const { return inTime + late; }
    WaitingItems &operator+=(const WaitingItems &other)
    {
        inTime += other.inTime;
        late += other.late;
        return *this;
    }
};

/// What the peers have at the upstreams and what waits there.
///
/// Answers the load of many peers that report several times a second, and of many choices of a
/// place: sums are kept as reports come, so that a choice costs the same however many peers there
/// are. Pure.
class PeerLoads
{
public:
    /// Takes a peer's report in place of the one before.
    void note(const NodeId &peer, std::span<const UpstreamStreams> loads,
              std::span<const ServiceDemand> waiting, TimePoint now);
    /// Stops counting reports that have grown old.
    void expire(TimePoint now);

    /// Returns the sum of the peers' streams, by the hash of the upstream's name.
    [[nodiscard]] UpstreamLoad at(std::uint64_t upstream) const;
    /// Returns the sum of the items that wait at the peers, by the hash of the service's name.
    [[nodiscard]] WaitingItems waiting(std::uint64_t service) const;
    /// Tells whether a peer has to give way at an upstream before this process does: it has more
    /// batch items there, or as many and the later name.
    [[nodiscard]] bool isOutweighed(std::uint64_t upstream, unsigned ownBatch,
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
    /// No report is older than this.
    TimePoint m_oldestAt = TimePoint::max();
};

} // namespace Radishplank
