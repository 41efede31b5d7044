#pragma once

#include "Fleet/Upstream.h"

#include <Net/Net.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Radishplank {

/// Which regions a batch item may run in, relative to its entry process.
enum class BatchReach { OwnRegion, AnyRegion };

/// The agents that this entry process sends work to, each monitored by its own heartbeat.
class Fleet
{
public:
    struct Location
    {
        NodeId node;
        ZoneName zone;
        RegionName region;
    };

    Fleet(FiberThreads &threads, ControlThread &control, Location location, RoutingPolicy policy);

    /// Replaces the members with those that the configuration lists.
    void update(std::span<const AgentMember> agents);

    /// Chooses the upstream for an online attempt, excluding those already tried; null if there is
    /// none.
    [[nodiscard]] UpstreamPointer choose(const std::string &pool, std::uint64_t prefixKey,
                                         std::span<const UpstreamId> tried);
    /// Acquires a batch permit from the nearest upstream that has one; null if none has.
    [[nodiscard]] UpstreamPointer acquireBatchPermit(const std::string &pool, BatchReach reach,
                                                     TimePoint now,
                                                     std::span<const UpstreamId> avoided);
    [[nodiscard]] UpstreamPointer find(const UpstreamId &id) const;
    /// Returns how many upstreams of the pool accept new work now.
    [[nodiscard]] std::size_t acceptingCount(const std::string &pool) const;
    [[nodiscard]] boost::json::array state() const;

private:
    /// Immutable; replaced as a whole when the members change.
    struct Members
    {
        std::map<UpstreamId, UpstreamPointer> byId;
        std::map<std::string, std::vector<UpstreamPointer>> byPool;
    };

    [[nodiscard]] std::vector<UpstreamPointer> poolMembers(const std::string &pool) const;
    [[nodiscard]] Distance distanceTo(const AgentMember &agent) const;
    [[nodiscard]] std::vector<AgentMember> selectSubset(std::span<const AgentMember> agents) const;
    void monitor(const UpstreamPointer &upstream);

    FiberThreads &m_threads;
    ControlThread &m_control;
    Location m_location;
    Router m_router;
    std::atomic<std::uint64_t> m_turn{0};
    std::mutex m_updateMutex;
    RcuPointer<Members> m_members;
};

} // namespace Radishplank
