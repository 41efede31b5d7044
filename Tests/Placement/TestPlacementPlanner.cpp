#include <Placement/Placement.h>

#include <catch2/catch.hpp>
#include <cmath>

using namespace Radishplank;

namespace {

constexpr double slotsPerEngine = 4;
constexpr Milliseconds dwell{60'000};
constexpr Milliseconds interval{5'000};

/// Simulates a fleet whose engines follow each order at once.
class Fleet
{
public:
    explicit Fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            engines.push_back(
                    {UpstreamId("engine" + std::to_string(i)), {"a", "b"}, "", slotsPerEngine});
    }

    /// Advances by one interval with the given demand, and carries out the resulting moves.
    void step(double demandOfA, double demandOfB, bool hasBatchOfB = false)
    {
        now += interval;
        const std::vector<ModelDemand> demands{{"a", demandOfA, false},
                                               {"b", demandOfB, hasBatchOfB}};
        planner.recordDemand(demands, now);
        while (const auto move = planner.nextMove(engines, now)) {
            moves += 1;
            for (auto &engine : engines) {
                if (engine.id == move->engine)
                    engine.loaded = move->model;
            }
        }
    }

    [[nodiscard]] std::size_t count(const std::string &model) const
    {
        return static_cast<std::size_t>(
                std::count_if(engines.begin(), engines.end(),
                              [&](const auto &engine) { return engine.loaded == model; }));
    }

    PlacementPlanner planner{{.dwell = dwell}};
    std::vector<PlaceableEngine> engines;
    TimePoint now = TimePoint() + std::chrono::hours(1);
    std::size_t moves = 0;
};

} // namespace

TEST_CASE("Engines are placed where the demand is")
{
    Fleet fleet(8);
    fleet.step(0, 0);

    SECTION("Every model of the catalogue has an engine, and no engine is idle")
    {
        CHECK(fleet.count("a") >= 1);
        CHECK(fleet.count("b") >= 1);
        CHECK(fleet.count("a") + fleet.count("b") == 8);
    }
    SECTION("Demand for one model moves engines to it, and the other keeps the engines it needs")
    {
        for (int i = 0; i < 60; ++i)
            fleet.step(22, 3);
        CHECK(fleet.count("a") * slotsPerEngine >= 22);
        CHECK(fleet.count("b") * slotsPerEngine > 3);
        SECTION("and engines move back with the demand")
        {
            for (int i = 0; i < 120; ++i)
                fleet.step(3, 22);
            CHECK(fleet.count("b") * slotsPerEngine >= 22);
            CHECK(fleet.count("a") * slotsPerEngine > 3);
        }
    }
    SECTION("Fluctuating demand does not move engines")
    {
        for (int i = 0; i < 60; ++i)
            fleet.step(14, 14);
        const auto before = fleet.moves;
        RandomEngine random(5);
        for (int i = 0; i < 720; ++i) {
            const double swing = 4 * std::sin(i * 0.7);
            const auto noise = static_cast<double>(randomBelow(random, 3));
            fleet.step(12 + swing + noise, 12 - swing + noise);
        }
        CHECK(fleet.moves == before);
    }
    SECTION("With any changes of demand, an engine keeps its model for the dwell time")
    {
        RandomEngine random(6);
        const auto before = fleet.moves;
        constexpr int steps = 720;
        for (int i = 0; i < steps; ++i)
            fleet.step(static_cast<double>(randomBelow(random, 40)),
                       static_cast<double>(randomBelow(random, 40)));
        const auto dwells = static_cast<std::size_t>(steps * interval / dwell);
        CHECK(fleet.moves - before <= dwells * fleet.engines.size());
        CHECK(fleet.count("a") >= 1);
        CHECK(fleet.count("b") >= 1);
    }
}

TEST_CASE("With fewer engines than models, the models with the highest demand are placed")
{
    Fleet fleet(1);
    fleet.step(0, 2);
    CHECK(fleet.count("b") == 1);
    for (int i = 0; i < 100; ++i)
        fleet.step(1, 2);
    CHECK(fleet.count("b") == 1);
}

TEST_CASE("An idle engine is assigned to the model that batch items wait for")
{
    Fleet fleet(3);
    fleet.step(0, 0, true);
    CHECK(fleet.count("a") == 1);
    CHECK(fleet.count("b") == 2);
}

TEST_CASE("A new leaseholder without a record of earlier moves does not undo them")
{
    Fleet fleet(8);
    for (int i = 0; i < 60; ++i)
        fleet.step(22, 3);
    const auto before = fleet.moves;
    fleet.planner = PlacementPlanner({.dwell = dwell});
    for (int i = 0; i < 60; ++i)
        fleet.step(22, 3);
    CHECK(fleet.moves == before);
}

TEST_CASE("An order that an engine does not follow is repeated only after a timeout")
{
    PlacementPlanner planner({.dwell = dwell});
    const std::vector<PlaceableEngine> engines{{UpstreamId("engine"), {"a"}, "", slotsPerEngine}};
    const std::vector<ModelDemand> demands{{"a", 1, false}};
    const auto start = TimePoint() + std::chrono::hours(1);
    planner.recordDemand(demands, start);
    REQUIRE(planner.nextMove(engines, start));
    CHECK_FALSE(planner.nextMove(engines, start + std::chrono::seconds(10)));
    SECTION("but after the timeout")
    {
        CHECK(planner.nextMove(engines, start + std::chrono::seconds(130)));
    }
    SECTION("or at once if the order could not be sent")
    {
        planner.revertMove(UpstreamId("engine"));
        CHECK(planner.nextMove(engines, start + std::chrono::seconds(10)));
    }
}
