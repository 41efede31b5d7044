#include "Fleet/PlacementController.h"

#include "Common/FiberGroup.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr Milliseconds demandTimeout{1'000};
constexpr Milliseconds orderTimeout{3'000};
/// An agent that did not accept an order is excluded for this long.
constexpr Milliseconds failureBackoff{30'000};
/// More candidates would only add reads of the lease.
constexpr std::size_t maxCandidates = 3;
constexpr std::string_view electionKey = "placement";

} // namespace

/// The answers of the entry processes to one demand query. Shared with the querying fibers, because
/// an answer may arrive after the query has timed out.
struct PlacementController::DemandAnswers
{
    std::mutex mutex;
    std::map<NodeId, std::vector<PoolDemand>> byNode;
};

PlacementController::PlacementController(EntryContext &context, PlacementSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_observer(m_settings.lease)
    , m_lease(context.store, context.node.text(), m_settings.lease)
    , m_planner({.dwell = m_settings.dwell})
{
}

void PlacementController::start()
{
    m_context.threads.spawn([this] { run(); });
}

void PlacementController::beginDrain()
{
    m_isDraining = true;
}

void PlacementController::run()
{
    while (!m_isDraining) {
        runRound();
        m_isHeld = m_lease.isHeld(SteadyClock().now());
        m_fencing = m_lease.fencing();
        boost::this_fiber::sleep_for(m_settings.interval);
    }
    m_lease.release();
}

void PlacementController::runRound()
{
    const auto managed = engines(SteadyClock().now());
    if (managed.empty() || !isCandidate() || !renewOrClaimLease(managed))
        return;
    collectDemand();
    placeNextModel(managed);
}

std::vector<PlacementController::Engine> PlacementController::engines(TimePoint now)
{
    std::erase_if(m_failedAt, [&](const auto &item) { return now - item.second > failureBackoff; });
    return m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        std::vector<Engine> result;
        for (const auto &agent : catalogue.agents()) {
            const bool isExcluded = agent.models.empty() || agent.state != MemberState::Live
                                    || m_failedAt.contains(agent.id);
            if (isExcluded)
                continue;
            const auto loaded = agent.pools.empty() ? std::string() : agent.pools.front();
            result.push_back({{agent.id, agent.models, loaded, static_cast<double>(agent.slots)},
                              agent.data});
        }
        return result;
    });
}

bool PlacementController::isCandidate() const
{
    return m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        return catalogue.nodeRank(m_context.node, electionKey) < maxCandidates;
    });
}

bool PlacementController::renewOrClaimLease(const std::vector<Engine> &engines)
{
    const auto now = SteadyClock().now();
    if (m_lease.isHeld(now)) {
        (void)m_lease.renew(now);
        return m_lease.isHeld(SteadyClock().now());
    }
    const auto claimed = m_lease.claim(now, [&](Version version) {
        return m_observer.hasExpired(std::string(placementLeaseKey), version, now);
    });
    if (claimed.isError())
        return false;
    logStateChange("placement-held", {{"fencing", std::to_string(m_lease.fencing())}});
    {
        const std::scoped_lock lock(m_mutex);
        m_planner = PlacementPlanner({.dwell = m_settings.dwell});
        m_samples.clear();
    }
    announceFencing(engines);
    return true;
}

void PlacementController::announceFencing(const std::vector<Engine> &engines)
{
    // From now on agents refuse orders from an earlier lease holder.
    FiberGroup group(m_context.threads);
    for (const auto &each : engines) {
        group.spawn([this, agent = each.data, fencing = m_lease.fencing()] {
            (void)sendOrder(agent, {{"fencing", fencing}});
        });
    }
    group.waitFor(orderTimeout);
}

void PlacementController::collectDemand()
{
    std::vector<NodeMember> nodes;
    m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        nodes.assign(catalogue.nodes().begin(), catalogue.nodes().end());
    });
    const auto answers = std::make_shared<DemandAnswers>();
    FiberGroup group(m_context.threads);
    for (const auto &node : nodes) {
        group.spawn([this, node, answers] {
            auto demand = m_context.control.demand(node.control, demandTimeout);
            if (demand.isError())
                return;
            const std::scoped_lock lock(answers->mutex);
            answers->byNode[node.id] = demand.takeValue();
        });
    }
    group.waitFor(demandTimeout);
    const auto now = SteadyClock().now();
    const std::scoped_lock lock(m_mutex);
    // Keep the last sample of a process that does not answer, until it is no longer a member.
    std::erase_if(m_samples, [&](const auto &item) {
        return std::none_of(nodes.begin(), nodes.end(),
                            [&](const NodeMember &node) { return node.id == item.first; });
    });
    const std::scoped_lock answersLock(answers->mutex);
    for (const auto &[node, demand] : answers->byNode)
        addSample(node, demand, now);
    const auto demands = fleetDemand();
    m_planner.recordDemand(demands, now);
}

void PlacementController::addSample(const NodeId &node, const std::vector<PoolDemand> &demand,
                                    TimePoint now)
{
    auto &sample = m_samples[node];
    DemandSample next;
    next.at = now;
    for (const auto &each : demand) {
        const auto before = sample.pools.find(each.pool);
        // The first sample of a process has no predecessor to compare with.
        if (before != sample.pools.end())
            next.slots[each.pool] = slotsBetween(before->second, each, now - sample.at);
        next.pools[each.pool] = each;
    }
    sample = std::move(next);
}

std::vector<ModelDemand> PlacementController::fleetDemand() const
{
    std::vector<ModelDemand> demands;
    for (const auto &model : catalogueModels()) {
        ModelDemand demand{model, 0, false};
        for (const auto &[node, sample] : m_samples) {
            const auto slots = sample.slots.find(model);
            demand.onlineSlots += slots == sample.slots.end() ? 0 : slots->second;
            const auto pool = sample.pools.find(model);
            demand.hasBatch
                    = demand.hasBatch || (pool != sample.pools.end() && pool->second.hasBatch);
        }
        demands.push_back(demand);
    }
    return demands;
}

std::set<std::string> PlacementController::catalogueModels() const
{
    return m_context.configuration.read([](const CatalogueSnapshot &catalogue) {
        std::set<std::string> models;
        for (const auto &owner : catalogue.owners()) {
            for (const auto &entry : catalogue.entriesOf(owner->id)) {
                if (entry->kind == EntryKind::Model)
                    models.insert(entry->pool);
            }
        }
        return models;
    });
}

void PlacementController::placeNextModel(const std::vector<Engine> &engines)
{
    const auto now = SteadyClock().now();
    if (now - m_movedAt < m_settings.loadInterval || !m_lease.isHeld(now))
        return;
    std::vector<PlaceableEngine> placeable;
    for (const auto &each : engines)
        placeable.push_back(each.engine);
    std::optional<PlacementMove> move;
    {
        const std::scoped_lock lock(m_mutex);
        move = m_planner.nextMove(placeable, now);
    }
    if (!move)
        return;
    const auto agent = std::find_if(engines.begin(), engines.end(), [&](const Engine &each) {
        return each.engine.id == move->engine;
    });
    const auto result
            = sendOrder(agent->data, {{"fencing", m_lease.fencing()}, {"load", move->model}});
    if (result == OrderResult::Accepted) {
        m_movedAt = now;
        m_moves.increase();
        logStateChange("model-placed", {{"upstream", move->engine.text()}, {"model", move->model}});
        return;
    }
    if (result == OrderResult::Fenced) {
        logStateChange("placement-lost");
        m_lease.drop();
        return;
    }
    m_failedAt[move->engine] = now;
    const std::scoped_lock lock(m_mutex);
    m_planner.revertMove(move->engine);
}

PlacementController::OrderResult
PlacementController::sendOrder(const Endpoint &agent, const boost::json::object &order) const
{
    HttpRequest request{"POST", "/orders", {}, boost::json::serialize(order)};
    request.headers.add(std::string(AttemptHeader::secret), m_settings.secret);
    HttpCallOptions options;
    options.readTimeout = orderTimeout;
    const auto answer = HttpClient::fetch(agent, request, options);
    constexpr unsigned conflict = 409;
    constexpr unsigned accepted = 202;
    if (answer.isError())
        return OrderResult::Failed;
    if (answer.value().status == conflict)
        return OrderResult::Fenced;
    const bool isAccepted = answer.value().status == 200 || answer.value().status == accepted;
    return isAccepted ? OrderResult::Accepted : OrderResult::Failed;
}

boost::json::object PlacementController::state()
{
    const std::scoped_lock lock(m_mutex);
    boost::json::object demand;
    for (const auto &model : catalogueModels())
        demand[model] = m_planner.demandFor(model);
    return {{"held", m_isHeld.load()},
            {"fencing", m_fencing.load()},
            {"moves", m_moves.value()},
            {"demandSlots", std::move(demand)}};
}

} // namespace Radishplank
