#include <Placement/PlacementPlanner.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>

namespace Radishplank {

namespace {

/// A model whose demand passes this share of its slots asks for another engine.
constexpr double askingLoad = 0.8;
/// A model gives an engine away only if its load is then lower by this factor than the receiver's
/// was before. So the two never want to change back, and small differences change nothing.
constexpr double leastGain = 1.25;
/// An order that an engine has not followed by then is made again.
constexpr Milliseconds followTime{120'000};

bool canLoad(const PlaceableEngine &engine, const std::string &model)
{
    return std::find(engine.models.begin(), engine.models.end(), model) != engine.models.end();
}

} // namespace

void PlacementPlanner::note(std::span<const ModelDemand> demands, TimePoint now)
{
    const bool isFirst = m_notedAt == TimePoint();
    const std::chrono::duration<double> passed = now - m_notedAt;
    const std::chrono::duration<double> halfLife = m_policy.halfLife;
    const double kept = isFirst ? 0 : std::exp2(-passed.count() / halfLife.count());
    for (auto &[model, demand] : m_demand) {
        demand.onlineSlots *= kept;
        demand.hasBatch = false;
        demand.isWanted = false;
    }
    for (const auto &each : demands) {
        auto &demand = m_demand[each.model];
        demand.onlineSlots += (1 - kept) * each.onlineSlots;
        demand.hasBatch = each.hasBatch;
        demand.isWanted = true;
    }
    m_notedAt = now;
}

std::optional<PlacementMove> PlacementPlanner::next(std::span<const PlaceableEngine> engines,
                                                    TimePoint now)
{
    follow(engines, now);
    const auto current = supplies(engines);
    std::optional<PlacementMove> move;
    for (const auto &model : modelsInNeed(current)) {
        if (const auto donor = donorFor(model, engines, current, now)) {
            move = PlacementMove{*donor, model};
            break;
        }
    }
    if (!move)
        move = useIdle(engines, current);
    if (move)
        m_placed[move->engine] = {move->model, now, true};
    return move;
}

void PlacementPlanner::forget(const UpstreamId &engine)
{
    m_placed.erase(engine);
}

double PlacementPlanner::demandFor(const std::string &model) const
{
    return smoothed(model).onlineSlots;
}

PlacementPlanner::Smoothed PlacementPlanner::smoothed(const std::string &model) const
{
    const auto found = m_demand.find(model);
    return found == m_demand.end() ? Smoothed() : found->second;
}

void PlacementPlanner::follow(std::span<const PlaceableEngine> engines, TimePoint now)
{
    std::set<UpstreamId> known;
    for (const auto &engine : engines) {
        known.insert(engine.id);
        auto &placed = m_placed[engine.id];
        const bool hasFollowed = placed.isPending && engine.loaded == placed.model;
        const bool isOverdue = placed.isPending && now - placed.since > followTime;
        if (hasFollowed)
            placed.isPending = false;
        if (placed.isPending && !isOverdue)
            continue;
        if (placed.model != engine.loaded || isOverdue)
            placed = {engine.loaded, now, false};
    }
    std::erase_if(m_placed, [&](const auto &item) { return !known.contains(item.first); });
}

PlacementPlanner::Supplies
PlacementPlanner::supplies(std::span<const PlaceableEngine> engines) const
{
    Supplies result;
    for (const auto &engine : engines) {
        const auto &model = m_placed.at(engine.id).model;
        if (model.empty())
            continue;
        result[model].slots += engine.slots;
        result[model].engines += 1;
    }
    return result;
}

double PlacementPlanner::load(const std::string &model, const Supplies &supplies) const
{
    const auto demand = smoothed(model).onlineSlots;
    const auto found = supplies.find(model);
    if (found == supplies.end())
        return std::numeric_limits<double>::infinity();
    return demand / found->second.slots;
}

std::vector<std::string> PlacementPlanner::modelsInNeed(const Supplies &supplies) const
{
    std::vector<std::string> needy;
    for (const auto &[model, demand] : m_demand) {
        if (demand.isWanted && load(model, supplies) > askingLoad)
            needy.push_back(model);
    }
    // Those without any engine first, among them those that are asked for most.
    std::stable_sort(needy.begin(), needy.end(), [&](const auto &left, const auto &right) {
        return std::pair(load(left, supplies), demandFor(left))
               > std::pair(load(right, supplies), demandFor(right));
    });
    return needy;
}

std::optional<UpstreamId> PlacementPlanner::donorFor(const std::string &model,
                                                     std::span<const PlaceableEngine> engines,
                                                     const Supplies &supplies, TimePoint now) const
{
    const PlaceableEngine *best = nullptr;
    double bestLoad = 0;
    for (const auto &engine : engines) {
        const auto &placed = m_placed.at(engine.id);
        if (!canLoad(engine, model) || placed.isPending || placed.model == model)
            continue;
        if (placed.model.empty())
            return engine.id;
        const bool isSettled = now - placed.since >= m_policy.dwell;
        if (!isSettled || !maySpare(placed.model, engine.slots, model, supplies))
            continue;
        const double donorLoad = load(placed.model, supplies);
        if (best == nullptr || donorLoad < bestLoad) {
            best = &engine;
            bestLoad = donorLoad;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

bool PlacementPlanner::maySpare(const std::string &donor, double slots, const std::string &receiver,
                                const Supplies &supplies) const
{
    const auto demand = smoothed(donor);
    if (!demand.isWanted)
        return true;
    const auto &supply = supplies.at(donor);
    // A model without any engine goes before the second engine of another.
    if (supply.engines < 2)
        return false;
    const double loadAfter = demand.onlineSlots / (supply.slots - slots);
    return load(receiver, supplies) > leastGain * loadAfter;
}

std::optional<PlacementMove> PlacementPlanner::useIdle(std::span<const PlaceableEngine> engines,
                                                       const Supplies &supplies) const
{
    for (const auto &engine : engines) {
        const auto &placed = m_placed.at(engine.id);
        if (!placed.model.empty() || placed.isPending)
            continue;
        const std::string *best = nullptr;
        for (const auto &model : engine.models) {
            if (!smoothed(model).isWanted)
                continue;
            const auto rank = [&](const std::string &each) {
                const auto supply = supplies.find(each);
                const double slots = supply == supplies.end() ? 0 : supply->second.slots;
                return std::tuple(smoothed(each).hasBatch, load(each, supplies), -slots);
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
