#pragma once

#include <Core/Core.h>
#include <Gateway/PeerReport.h>
#include <Gateway/UpstreamLimits.h>

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

/// Expected slot time in milliseconds that remains of the streams at one upstream.
struct UpstreamRemaining
{
    double online = 0;
    double batch = 0;
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
    /// Returns what remains of these streams now. `progress` is the part of the streams that
    /// advances, divided by the slowness of the upstream: 1 if all run at their usual speed.
    [[nodiscard]] UpstreamRemaining remainingAt(std::uint64_t upstream, double progress,
                                                TimePoint now) const;
    /// Returns the sum of the items that wait at the peers for a service, given the hash of its
    /// name.
    [[nodiscard]] WaitingItems waiting(std::uint64_t service) const;
    /// Returns the peers that have something to send to a service, given the hash of its name.
    [[nodiscard]] std::vector<PeerNeed> needsOf(std::uint64_t service) const;
    /// Returns whether some peer must preempt batch items at an upstream before this process does,
    /// because it has more batch items there, or as many and a greater node id.
    [[nodiscard]] bool mustPeerPreemptFirst(std::uint64_t upstream, unsigned ownBatch,
                                            const NodeId &self) const;

private:
    struct Report
    {
        TimePoint at;
        std::uint64_t node = 0;
        /// Sorted by upstream.
        std::vector<UpstreamStreams> loads;
        std::vector<ServiceDemand> waiting;
    };

    /// Remaining time of one class of streams as the sum of linear functions of time, in integers
    /// so that a report can be taken out exactly as it was added.
    struct RemainingSum
    {
        std::int64_t reported = 0;
        /// Streams times the time of their report.
        std::int64_t reportTimes = 0;

        void add(unsigned streams, std::int64_t remaining, TimePoint at, std::int64_t sign);
        [[nodiscard]] double at(unsigned streams, double progress, double minPerStream,
                                TimePoint now) const;
    };
    struct Sum
    {
        UpstreamLoad load;
        RemainingSum online;
        RemainingSum batch;
    };

    void remove(const Report &report);
    static void apply(Sum &sum, const UpstreamStreams &load, TimePoint at, int sign);

    std::map<NodeId, Report> m_reports;
    std::unordered_map<std::uint64_t, Sum> m_loads;
    std::unordered_map<std::uint64_t, WaitingItems> m_waiting;
    /// Lower bound for the times of all reports.
    TimePoint m_oldestAt = TimePoint::max();
};

} // namespace Radishplank
