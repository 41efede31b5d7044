#include <Placement/PlacementPlanner.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>

namespace Radishplank {

namespace {

/// A model needs another engine if its demand exceeds this fraction of its slots.
constexpr double overloadThreshold = 0.8;
/// A model releases an engine only if the receiver's load before the move exceeds the load of the
/// releasing model after it by this factor. This hysteresis prevents moves back and forth, and
/// moves for small differences.
constexpr double minimumLoadRatio = 1.25;
/// An order that an engine has not followed within this time is repeated.
constexpr Milliseconds orderTimeout{120'000};

bool canLoad(const PlaceableEngine &engine, const std::string &model)
{
    return std::find(engine.models.begin(), engine.models.end(), model) != engine.models.end();
}

} // namespace

void PlacementPlanner::recordDemand(std::span<const ModelDemand> demands, TimePoint now)
{
    const bool isFirst = m_updatedAt == TimePoint();
    const std::chrono::duration<double> passed = now - m_updatedAt;
    const std::chrono::duration<double> halfLife = m_policy.halfLife;
    const double decay = isFirst ? 0 : std::exp2(-passed.count() / halfLife.count());
    for (auto &[model, demand] : m_demand) {
        demand.onlineSlots *= decay;
        demand.hasBatch = false;
        demand.isWanted = false;
    }
    for (const auto &each : demands) {
        auto &demand = m_demand[each.model];
        demand.onlineSlots += (1 - decay) * each.onlineSlots;
        demand.hasBatch = each.hasBatch;
        demand.isWanted = true;
    }
    m_updatedAt = now;
}

std::optional<PlacementMove> PlacementPlanner::nextMove(std::span<const PlaceableEngine> engines,
                                                        TimePoint now)
{
    reconcile(engines, now);
    const auto current = supplies(engines);
    std::optional<PlacementMove> move;
    for (const auto &model : overloadedModels(current)) {
        if (const auto donor = findDonor(model, engines, current, now)) {
            move = PlacementMove{*donor, model};
            break;
        }
    }
    if (!move)
        move = placeIdleEngine(engines, current);
    if (move)
        m_assignments[move->engine] = {move->model, now, true};
    return move;
}

void PlacementPlanner::revertMove(const UpstreamId &engine)
{
    m_assignments.erase(engine);
}

double PlacementPlanner::demandFor(const std::string &model) const
{
    return smoothedDemand(model).onlineSlots;
}

PlacementPlanner::SmoothedDemand PlacementPlanner::smoothedDemand(const std::string &model) const
{
    const auto found = m_demand.find(model);
    return found == m_demand.end() ? SmoothedDemand() : found->second;
}

void PlacementPlanner::reconcile(std::span<const PlaceableEngine> engines, TimePoint now)
{
    std::set<UpstreamId> known;
    for (const auto &engine : engines) {
        known.insert(engine.id);
        auto &assignment = m_assignments[engine.id];
        const bool isCompleted = assignment.isPending && engine.loaded == assignment.model;
        const bool isOverdue = assignment.isPending && now - assignment.since > orderTimeout;
        if (isCompleted)
            assignment.isPending = false;
        if (assignment.isPending && !isOverdue)
            continue;
        if (assignment.model != engine.loaded || isOverdue)
            assignment = {engine.loaded, now, false};
    }
    std::erase_if(m_assignments, [&](const auto &item) { return !known.contains(item.first); });
}

PlacementPlanner::Supplies
PlacementPlanner::supplies(std::span<const PlaceableEngine> engines) const
{
    Supplies result;
    for (const auto &engine : engines) {
        const auto &model = m_assignments.at(engine.id).model;
        if (model.empty())
            continue;
        result[model].slots += engine.slots;
        result[model].engines += 1;
    }
    return result;
}

double PlacementPlanner::load(const std::string &model, const Supplies &supplies) const
{
    const auto demand = smoothedDemand(model).onlineSlots;
    const auto found = supplies.find(model);
    if (found == supplies.end())
        return std::numeric_limits<double>::infinity();
    return demand / found->second.slots;
}

std::vector<std::string> PlacementPlanner::overloadedModels(const Supplies &supplies) const
{
    std::vector<std::string> overloaded;
    for (const auto &[model, demand] : m_demand) {
        if (demand.isWanted && load(model, supplies) > overloadThreshold)
            overloaded.push_back(model);
    }
    // Models without any engine come first, and among these the models with the highest demand.
    std::stable_sort(overloaded.begin(), overloaded.end(),
                     [&](const auto &left, const auto &right) {
                         return std::pair(load(left, supplies), demandFor(left))
                                > std::pair(load(right, supplies), demandFor(right));
                     });
    return overloaded;
}

std::optional<UpstreamId> PlacementPlanner::findDonor(const std::string &model,
                                                      std::span<const PlaceableEngine> engines,
                                                      const Supplies &supplies, TimePoint now) const
{
    const PlaceableEngine *best = nullptr;
    double bestLoad = 0;
    for (const auto &engine : engines) {
        const auto &assignment = m_assignments.at(engine.id);
        if (!canLoad(engine, model) || assignment.isPending || assignment.model == model)
            continue;
        if (assignment.model.empty())
            return engine.id;
        const bool isSettled = now - assignment.since >= m_policy.dwell;
        if (!isSettled || !canRelease(assignment.model, engine.slots, model, supplies))
            continue;
        const double donorLoad = load(assignment.model, supplies);
        if (best == nullptr || donorLoad < bestLoad) {
            best = &engine;
            bestLoad = donorLoad;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

bool PlacementPlanner::canRelease(const std::string &donor, double slots,
                                  const std::string &receiver, const Supplies &supplies) const
{
    const auto demand = smoothedDemand(donor);
    if (!demand.isWanted)
        return true;
    const auto &supply = supplies.at(donor);
    // A model keeps its last engine, but releases a second one to a model without any.
    if (supply.engines < 2)
        return false;
    const double loadAfter = demand.onlineSlots / (supply.slots - slots);
    return load(receiver, supplies) > minimumLoadRatio * loadAfter;
}

std::optional<PlacementMove>
PlacementPlanner::placeIdleEngine(std::span<const PlaceableEngine> engines,
                                  const Supplies &supplies) const
{
    for (const auto &engine : engines) {
        const auto &assignment = m_assignments.at(engine.id);
        if (!assignment.model.empty() || assignment.isPending)
            continue;
        const std::string *best = nullptr;
        for (const auto &model : engine.models) {
            if (!smoothedDemand(model).isWanted)
                continue;
            const auto rank = [&](const std::string &each) {
                const auto supply = supplies.find(each);
                const double slots = supply == supplies.end() ? 0 : supply->second.slots;
                return std::tuple(smoothedDemand(each).hasBatch, load(each, supplies), -slots);
            };
            if (best == nullptr || rank(model) > rank(*best))
                best = &model;
        }
        if (best != nullptr)
            return PlacementMove{engine.id, *best};
    }
    return {};
}

} // namespace Radishplank
