#pragma once

#include <Core/Core.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Radishplank {

/// An engine that loads models on order.
struct PlaceableEngine
{
    UpstreamId id;
    std::vector<std::string> models;
    /// Empty if it has none.
    std::string loaded;
    double slots = 1;
};

/// What is asked of one model in the whole fleet.
struct ModelDemand
{
    std::string model;
    /// Slots that online calls use, or would use if they were not refused.
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
    /// An engine keeps its model for at least so long.
    Milliseconds dwell{60'000};
    /// Weight of what was before, after this time, is one half.
    Milliseconds halfLife{5'000};
};

/// Decides which engine loads which model, one move at a time. Pure.
///
/// A model gets an engine when its demand comes near its slots, from the least loaded model that is
/// still clearly better off afterwards. An engine that has moved stays for a while. So demand that
/// goes up and down does not move engines with it.
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementPolicy policy)
        : m_policy(policy)
    {
    }

    /// Takes the demand since the last call; a model that is not named has none.
    void note(std::span<const ModelDemand> demands, TimePoint now);
    /// Returns the move to make now, if any; it counts as made until the engine shows it or a while
    /// has passed.
    std::optional<PlacementMove> next(std::span<const PlaceableEngine> engines, TimePoint now);
    /// Takes back a move that could not be ordered.
    void forget(const UpstreamId &engine);
    [[nodiscard]] double demandFor(const std::string &model) const;

private:
    struct Smoothed
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
    struct Placed
    {
        std::string model;
        TimePoint since;
        bool isPending = false;
    };
    using Supplies = std::map<std::string, Supply>;

    void follow(std::span<const PlaceableEngine> engines, TimePoint now);
    [[nodiscard]] Supplies supplies(std::span<const PlaceableEngine> engines) const;
    [[nodiscard]] std::vector<std::string> modelsInNeed(const Supplies &supplies) const;
    [[nodiscard]] std::optional<UpstreamId> donorFor(const std::string &model,
                                                     std::span<const PlaceableEngine> engines,
                                                     const Supplies &supplies, TimePoint now) const;
    [[nodiscard]] bool maySpare(const std::string &donor, double slots, const std::string &receiver,
                                const Supplies &supplies) const;
    [[nodiscard]] std::optional<PlacementMove> useIdle(std::span<const PlaceableEngine> engines,
                                                       const Supplies &supplies) const;
    [[nodiscard]] double load(const std::string &model, const Supplies &supplies) const;
    [[nodiscard]] Smoothed smoothed(const std::string &model) const;

    PlacementPolicy m_policy;
    std::map<std::string, Smoothed> m_demand;
    TimePoint m_notedAt{};
    std::map<UpstreamId, Placed> m_placed;
};

} // namespace Radishplank
