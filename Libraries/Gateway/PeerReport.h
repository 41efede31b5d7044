#pragma once

#include <Core/Core.h>
#include <Gateway/CrashTracker.h>
#include <Gateway/CrashingPartDetector.h>
#include <Limits/QuotaRules.h>

#include <cstdint>
#include <optional>
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
    /// Expected remaining slot time of these streams; 0 if the sender does not estimate it.
    Milliseconds onlineRemaining{0};
    Milliseconds batchRemaining{0};
    /// Slowness of the upstream as the sender observes it, 1 being usual; 0 if it is not known.
    double pace = 0;
};

/// Online streams of one owner at one entry process.
struct OwnerStreams
{
    /// Hash of the owner's name, as ownerHash() gives it.
    std::uint64_t owner = 0;
    unsigned online = 0;

    bool operator==(const OwnerStreams &) const = default;
};

/// Batch items that wait for a slot of a service at one entry process.
struct ServiceDemand
{
    /// Hash of the service's name, as serviceHash() gives it.
    std::uint64_t service = 0;
    /// Items that can be completed before they are due.
    std::uint32_t items = 0;
    /// Items that cannot be completed before they are due.
    std::uint32_t lateItems = 0;
    /// Whether online calls need the requests that limited upstreams of the service take.
    bool hasLimitedCalls = false;
};

/// An upstream whose responses announced that it is about to leave.
struct LeavingUpstream
{
    /// Hash of the upstream's name, as upstreamHash() gives it.
    std::uint64_t upstream = 0;
    /// Start time of the instance that leaves.
    std::int64_t startedAt = 0;

    bool operator==(const LeavingUpstream &) const = default;
};

/// A limit on the requests of all processes that an upstream has named in an answer.
struct UpstreamLimitReport
{
    /// Hash of the upstream's name, as upstreamHash() gives it.
    std::uint64_t upstream = 0;
    /// Start time of the instance.
    std::int64_t startedAt = 0;
    /// Requests per second; empty if the upstream names no limit any more.
    std::optional<double> perSecond;
    /// Time since the sender received the answer.
    Milliseconds age{0};

    bool operator==(const UpstreamLimitReport &) const = default;
};

/// A request to a limited upstream that the sender leaves to another process.
struct RequestGrant
{
    /// Hash of the upstream's name, as upstreamHash() gives it.
    std::uint64_t upstream = 0;
    /// Start time of the instance.
    std::int64_t startedAt = 0;
    /// Hash of the name of the process that may send it, as nodeHash() gives it.
    std::uint64_t node = 0;
    /// Tells repetitions of a grant from another one.
    std::uint64_t id = 0;
    Milliseconds age{0};

    bool operator==(const RequestGrant &) const = default;
};

/// Versions of the configuration and of the list of upstreams that a process has.
struct FleetVersion
{
    std::uint64_t configuration = 0;
    /// Revision of the store at which the list of upstreams was last seen to change.
    std::uint64_t upstreamRevision = 0;
    /// Hash of the list of upstreams.
    std::uint64_t upstreamDigest = 0;

    bool operator==(const FleetVersion &) const = default;
    /// Returns whether `other` has a newer configuration or list of upstreams.
    [[nodiscard]] bool isBehind(const FleetVersion &other) const
    {
        return other.configuration > configuration
               || (other.upstreamRevision > upstreamRevision
                   && other.upstreamDigest != upstreamDigest);
    }
};

/// A process of its own zone that the sender of a report has heard.
struct HeardPeer
{
    /// Hash of the process's name, as nodeHash() gives it.
    std::uint64_t node = 0;
    /// Time since its last full report.
    Milliseconds age{0};
};

struct RelayedReport;

/// Report that an entry process sends to its peers.
struct PeerReport
{
    NodeId node;
    ZoneName zone;
    /// Where the sender accepts calls that other entry processes forward.
    Endpoint control;
    std::vector<UpstreamStreams> loads;
    std::vector<ServiceDemand> waiting;
    std::vector<LeavingUpstream> leaving;
    /// Only in full reports.
    std::vector<UpstreamLimitReport> upstreamLimits;
    std::vector<RequestGrant> requestGrants;
    CrashReport crashUpdates;
    CrashingPartReport partUpdates;
    /// Whether the lists of jobs are part of this report.
    bool hasJobs = false;
    /// Hashes of the names of the jobs that the sender runs.
    std::vector<std::uint64_t> ownedJobs;
    std::vector<std::string> endedJobs;
    bool isLeaving = false;
    /// Whether the sender watches the store itself.
    bool isWatching = false;
    /// Whether the store answered when the sender last called it.
    bool isStoreReachable = true;
    FleetVersion fleet;
    /// The owners with the most streams at the sender.
    std::vector<OwnerStreams> ownerLoads;
    /// The processes to which the sender pledges its share of each quota.
    QuotaHomes quotaHomes;
    /// Earlier values of quotaHomes; processes in these may still count the sender's share.
    std::vector<QuotaHomes> previousQuotaHomes;
    /// Time since the sender's process started.
    Milliseconds bootAge{0};
    /// Whether the sender understands relayed reports. Others get all reports directly.
    bool relaysReports = false;
    std::vector<HeardPeer> heard;
    std::vector<RelayedReport> relayed;
};

/// A report of another process, which the sender of a report passes on.
struct RelayedReport
{
    /// Time since the sender received it.
    Milliseconds age{0};
    PeerReport report;
};

/// Encodes a report for one datagram.
[[nodiscard]] std::string encodePeerReport(const PeerReport &report);
/// Fails with InvalidInput if the bytes are not a valid report.
[[nodiscard]] Result<PeerReport> decodePeerReport(std::string_view bytes);

[[nodiscard]] inline std::uint64_t upstreamHash(const UpstreamId &id)
{
    return stableHash(id.text());
}
[[nodiscard]] inline std::uint64_t serviceHash(const std::string &service)
{
    return stableHash(service);
}
[[nodiscard]] inline std::uint64_t ownerHash(const std::string &owner)
{
    return stableHash(owner);
}
[[nodiscard]] inline std::uint64_t nodeHash(const NodeId &node)
{
    return stableHash(node.text());
}
[[nodiscard]] inline std::uint64_t jobHash(const std::string &job)
{
    return stableHash(job);
}

} // namespace Radishplank
