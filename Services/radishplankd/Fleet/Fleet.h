#pragma once

#include "Fleet/Upstream.h"

#include <Net/Net.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Radishplank {

/// How far from its entry process a batch item may run.
enum class BatchReach { OwnRegion, AnyRegion };

/// The agents that this entry process works with, each watched by a heartbeat of its own.
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

    /// Takes over the members that the configuration lists.
    void update(std::span<const AgentMember> agents);

    /// Chooses where an online attempt goes, leaving out upstreams already tried; null if nowhere.
    [[nodiscard]] UpstreamPointer choose(const std::string &pool, std::uint64_t prefixKey,
                                         std::span<const UpstreamId> tried);
    /// Takes a place for a batch item at the nearest upstream that has one; null if none has.
    [[nodiscard]] UpstreamPointer takeBatchPlace(const std::string &pool, BatchReach reach,
                                                 TimePoint now,
                                                 std::span<const UpstreamId> avoided);
    [[nodiscard]] UpstreamPointer find(const UpstreamId &id) const;
    /// Returns how many upstreams of the pool take new work now.
    [[nodiscard]] std::size_t acceptingCount(const std::string &pool) const;
    [[nodiscard]] boost::json::array state() const;

private:
    /// Immutable, replaced whole when the members change.
    struct Members
    {
        std::map<UpstreamId, UpstreamPointer> byId;
        std::map<std::string, std::vector<UpstreamPointer>> byPool;
    };

    [[nodiscard]] std::vector<UpstreamPointer> poolMembers(const std::string &pool) const;
    [[nodiscard]] Distance distanceTo(const AgentMember &agent) const;
    [[nodiscard]] std::vector<AgentMember> subset(std::span<const AgentMember> agents) const;
    void watch(const UpstreamPointer &upstream);

    FiberThreads &m_threads;
    ControlThread &m_control;
    Location m_location;
    Router m_router;
    std::atomic<std::uint64_t> m_turn{0};
    std::mutex m_updateMutex;
    RcuPointer<Members> m_members;
};

} // namespace Radishplank
