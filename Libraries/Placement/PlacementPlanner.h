#pragma once

#include <Core/Core.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Radishplank {

/// An engine that loads the model it is ordered to.
struct PlaceableEngine
{
    UpstreamId id;
    std::vector<std::string> models;
    /// Empty if no model is loaded.
    std::string loaded;
    double slots = 1;
};

/// The demand for one model in the whole fleet.
struct ModelDemand
{
    std::string model;
    /// Slots that online calls use, including those that refused calls would use.
    double onlineSlots = 0;
    /// Whether batch items wait for the model.
    bool hasBatch = false;
};

struct PlacementMove
{
    UpstreamId engine;
    std::string model;

    auto operator<=>(const PlacementMove &) const = default;
};

struct PlacementPolicy
{
    /// Minimum time for which an engine keeps its model.
    Milliseconds dwell{60'000};
    /// Half-life of earlier demand in the smoothed demand.
    Milliseconds halfLife{5'000};
};

/// Decides which engine loads which model, one move at a time. Pure.
///
/// A model whose demand approaches its slots gets an engine from the least loaded model whose load
/// is still clearly lower after the move. After a move, an engine keeps its model for the dwell
/// time. So fluctuating demand does not cause repeated moves.
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementPolicy policy)
        : m_policy(policy)
    {
    }

    /// Records the demand since the last call; a model that is not listed has none.
    void recordDemand(std::span<const ModelDemand> demands, TimePoint now);
    /// Returns the next move, if any. The move counts as done until the engine reports the model or
    /// the order times out.
    std::optional<PlacementMove> nextMove(std::span<const PlaceableEngine> engines, TimePoint now);
    /// Reverts a move whose order could not be sent.
    void revertMove(const UpstreamId &engine);
    [[nodiscard]] double demandFor(const std::string &model) const;

private:
    struct SmoothedDemand
    {
        double onlineSlots = 0;
        bool hasBatch = false;
        bool isWanted = false;
    };
    struct Supply
    {
        double slots = 0;
        std::size_t engines = 0;
    };
    struct Assignment
    {
        std::string model;
        TimePoint since;
        bool isPending = false;
    };
    using Supplies = std::map<std::string, Supply>;

    void reconcile(std::span<const PlaceableEngine> engines, TimePoint now);
    [[nodiscard]] Supplies supplies(std::span<const PlaceableEngine> engines) const;
    [[nodiscard]] std::vector<std::string> overloadedModels(const Supplies &supplies) const;
    [[nodiscard]] std::optional<UpstreamId> findDonor(const std::string &model,
                                                      std::span<const PlaceableEngine> engines,
                                                      const Supplies &supplies,
                                                      TimePoint now) const;
    [[nodiscard]] bool canRelease(const std::string &donor, double slots,
                                  const std::string &receiver, const Supplies &supplies) const;
    [[nodiscard]] std::optional<PlacementMove>
    placeIdleEngine(std::span<const PlaceableEngine> engines, const Supplies &supplies) const;
    [[nodiscard]] double load(const std::string &model, const Supplies &supplies) const;
    [[nodiscard]] SmoothedDemand smoothedDemand(const std::string &model) const;

    PlacementPolicy m_policy;
    std::map<std::string, SmoothedDemand> m_demand;
    TimePoint m_updatedAt{};
    std::map<UpstreamId, Assignment> m_assignments;
};

} // namespace Radishplank
