#pragma once

#include <Core/Core.h>
#include <Gateway/CrashTracker.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Streams of one entry process at one upstream.
struct UpstreamStreams
{
    /// Hash of the upstream's name, as upstreamHash() gives it.
    std::uint64_t upstream = 0;
    unsigned online = 0;
    unsigned batch = 0;
};

/// Batch items that wait for a slot of a service at one entry process.
struct ServiceDemand
{
    /// Hash of the service's name, as serviceHash() gives it.
    std::uint64_t service = 0;
    /// Those that can be done in time.
    std::uint32_t items = 0;
    std::uint32_t lateItems = 0;
};

/// An upstream whose answers say that it is about to leave.
struct LeavingUpstream
{
    /// Hash of the upstream's name, as upstreamHash() gives it.
    std::uint64_t upstream = 0;
    /// The start that leaves.
    std::int64_t startedAt = 0;

    bool operator==(const LeavingUpstream &) const = default;
};

/// Which configuration and which upstreams a process knows.
struct FleetVersion
{
    std::uint64_t configuration = 0;
    /// Revision of the store at which the list of upstreams was last seen to change.
    std::uint64_t upstreamRevision = 0;
    /// Hash of the list of upstreams.
    std::uint64_t upstreamDigest = 0;

    /// Tells whether the other has something that this lacks.
    [[nodiscard]] bool isBehind(const FleetVersion &other) const
    {
        return other.configuration > configuration
               || (other.upstreamRevision > upstreamRevision
                   && other.upstreamDigest != upstreamDigest);
    }
};

/// What an entry process tells its peers.
struct PeerReport
{
    NodeId node;
    ZoneName zone;
    /// Where the sender takes calls that other entry processes pass on.
    Endpoint control;
    std::vector<UpstreamStreams> loads;
    std::vector<ServiceDemand> waiting;
    std::vector<LeavingUpstream> leaving;
    CrashReport crashNews;
    /// The jobs that the sender runs, as hashes of their names; nothing is said if `hasJobs` is
    /// false.
    bool hasJobs = false;
    std::vector<std::uint64_t> ownedJobs;
    std::vector<std::string> endedJobs;
    bool isLeaving = false;
    /// Whether the sender keeps up with the store by itself.
    bool isWatching = false;
    /// Whether the store answered when the sender last called it.
    bool isStoreReachable = true;
    FleetVersion fleet;
};

/// Encodes a report for one datagram.
[[nodiscard]] std::string encodePeerReport(const PeerReport &report);
/// InvalidInput if the bytes are no report.
[[nodiscard]] Result<PeerReport> decodePeerReport(std::string_view bytes);

[[nodiscard]] inline std::uint64_t upstreamHash(const UpstreamId &id)
{
    return stableHash(id.text());
}
[[nodiscard]] inline std::uint64_t serviceHash(const std::string &service)
{
    return stableHash(service);
}
[[nodiscard]] inline std::uint64_t jobHash(const std::string &job)
{
    return stableHash(job);
}

} // namespace Radishplank
