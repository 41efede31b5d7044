#include "Fleet/Fleet.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr Milliseconds heartbeatTimeout{1'000};
/// Bounds the connections and heartbeats of one entry process; divided among the pools.
constexpr std::size_t maxUpstreams = 64;
/// A single upstream would leave no alternative when it fails or is full.
constexpr std::size_t minUpstreamsPerPool = 2;

bool isSameMember(const AgentMember &left, const AgentMember &right)
{
    return left.data == right.data && left.control == right.control && left.state == right.state
           && left.pools == right.pools && left.slots == right.slots;
}

} // namespace

Fleet::Fleet(FiberThreads &threads, ControlThread &control, Location location, RoutingPolicy policy)
    : m_threads(threads)
    , m_control(control)
    , m_location(std::move(location))
    , m_router(policy)
    , m_members(std::make_unique<const Members>())
{
}

void Fleet::update(std::span<const AgentMember> agents)
{
    const std::scoped_lock lock(m_updateMutex);
    auto next = std::make_unique<Members>();
    std::vector<UpstreamPointer> added;
    for (const auto &agent : selectSubset(agents)) {
        auto upstream = find(agent.id);
        if (!upstream || !isSameMember(upstream->member(), agent)) {
            upstream = std::make_shared<Upstream>(agent, distanceTo(agent));
            added.push_back(upstream);
        }
        next->byId[agent.id] = upstream;
        for (const auto &pool : agent.pools)
            next->byPool[pool].push_back(upstream);
    }
    m_members.publish(std::move(next));
    for (const auto &upstream : added)
        m_threads.spawn([this, upstream] { monitor(upstream); });
}

UpstreamPointer Fleet::choose(const std::string &pool, std::uint64_t prefixKey,
                              std::span<const UpstreamId> tried)
{
    const auto now = SteadyClock().now();
    const auto turn = m_turn.fetch_add(1, std::memory_order_relaxed);
    return m_members.read([&](const Members &members) -> UpstreamPointer {
        const auto found = members.byPool.find(pool);
        if (found == members.byPool.end())
            return {};
        std::vector<Candidate> candidates;
        for (const auto &upstream : found->second) {
            auto candidate = upstream->candidate(now);
            const bool isTried
                    = std::find(tried.begin(), tried.end(), upstream->member().id) != tried.end();
            candidate.isEligible = candidate.isEligible && !isTried;
            candidates.push_back(candidate);
        }
        const auto chosen = m_router.choose(candidates, prefixKey, turn, threadRandomEngine());
        return chosen ? found->second[*chosen] : UpstreamPointer();
    });
}

UpstreamPointer Fleet::acquireBatchPermit(const std::string &pool, BatchReach reach, TimePoint now,
                                          std::span<const UpstreamId> avoided)
{
    auto members = poolMembers(pool);
    const auto start = m_turn.fetch_add(1, std::memory_order_relaxed);
    if (!members.empty())
        std::rotate(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(start % members.size()),
                    members.end());
    std::stable_sort(members.begin(), members.end(), [](const auto &left, const auto &right) {
        return left->distance() < right->distance();
    });
    for (const auto &upstream : members) {
        if (reach == BatchReach::OwnRegion && upstream->distance() == Distance::OtherRegion)
            continue;
        const bool isAvoided
                = std::find(avoided.begin(), avoided.end(), upstream->member().id) != avoided.end();
        if (!isAvoided && upstream->acquireBatchPermit(now))
            return upstream;
    }
    return {};
}

UpstreamPointer Fleet::find(const UpstreamId &id) const
{
    return m_members.read([&](const Members &members) {
        const auto found = members.byId.find(id);
        return found == members.byId.end() ? UpstreamPointer() : found->second;
    });
}

std::size_t Fleet::acceptingCount(const std::string &pool) const
{
    const auto now = SteadyClock().now();
    const auto members = poolMembers(pool);
    return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(),
                          [&](const auto &upstream) { return upstream->isAccepting(now); }));
}

boost::json::array Fleet::state() const
{
    const auto now = SteadyClock().now();
    return m_members.read([&](const Members &members) {
        boost::json::array upstreams;
        for (const auto &[id, upstream] : members.byId)
            upstreams.push_back(upstream->state(now));
        return upstreams;
    });
}

std::vector<UpstreamPointer> Fleet::poolMembers(const std::string &pool) const
{
    return m_members.read([&](const Members &members) {
        const auto found = members.byPool.find(pool);
        return found == members.byPool.end() ? std::vector<UpstreamPointer>() : found->second;
    });
}

Distance Fleet::distanceTo(const AgentMember &agent) const
{
    if (agent.region != m_location.region)
        return Distance::OtherRegion;
    return agent.zone == m_location.zone ? Distance::SameZone : Distance::SameRegion;
}

std::vector<AgentMember> Fleet::selectSubset(std::span<const AgentMember> agents) const
{
    struct Ranked
    {
        Distance distance;
        std::uint64_t score;
        const AgentMember *agent;
    };
    std::map<std::string, std::vector<Ranked>> byPool;
    for (const auto &agent : agents) {
        const auto score = stableHash(m_location.node.text() + "/" + agent.id.text());
        for (const auto &pool : agent.pools)
            byPool[pool].push_back({distanceTo(agent), score, &agent});
    }
    const auto upstreamsPerPool
            = std::max(minUpstreamsPerPool, maxUpstreams / std::max<std::size_t>(byPool.size(), 1));
    std::map<UpstreamId, const AgentMember *> chosen;
    for (auto &[pool, ranked] : byPool) {
        std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
            return std::pair(left.distance, left.score) < std::pair(right.distance, right.score);
        });
        // A quarter of the pool's upstreams are the farthest agents, as a fallback if the near ones
        // fail.
        const std::size_t nearCount = upstreamsPerPool - upstreamsPerPool / 4;
        for (std::size_t i = 0; i < ranked.size() && i < nearCount; ++i)
            chosen[ranked[i].agent->id] = ranked[i].agent;
        for (std::size_t i = nearCount; i < ranked.size() && i < upstreamsPerPool; ++i) {
            const auto &far = ranked[ranked.size() - 1 - (i - nearCount)];
            chosen[far.agent->id] = far.agent;
        }
    }
    std::vector<AgentMember> result;
    for (const auto &[id, agent] : chosen)
        result.push_back(*agent);
    return result;
}

void Fleet::monitor(const UpstreamPointer &upstream)
{
    const auto &member = upstream->member();
    bool wasAccepting = false;
    while (find(member.id) == upstream) {
        upstream->noteHeartbeatAttempt(SteadyClock().now());
        const auto report = m_control.observe(member.control, heartbeatTimeout);
        if (report.isError())
            upstream->noteHeartbeatAttempt(SteadyClock().now());
        else
            upstream->noteReport(report.value(), SteadyClock().now());
        const bool isAccepting = upstream->isAccepting(SteadyClock().now());
        if (isAccepting != wasAccepting)
            logStateChange(isAccepting ? "upstream-accepting" : "upstream-not-accepting",
                           {{"upstream", member.id.text()}});
        wasAccepting = isAccepting;
        boost::this_fiber::sleep_for(upstream->nextHeartbeatDelay(SteadyClock().now()));
    }
}

} // namespace Radishplank
