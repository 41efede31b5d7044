#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr Milliseconds round{50};

/// A large fleet in six zones, of which some processes have a newer version of the fleet.
struct Model
{
    struct Process
    {
        std::string name;
        unsigned zone = 0;
        bool isWatching = false;
        bool isSilent = false;
        bool hasNewer = false;
        unsigned served = 0;
        unsigned asked = 0;
    };

    explicit Model(std::size_t count, unsigned seed)
        : processes(count)
    {
        RandomEngine random(seed);
        for (std::size_t i = 0; i < count; ++i) {
            processes[i].name = "entry" + std::to_string(random());
            processes[i].zone = static_cast<unsigned>(i % zones);
            // One process in each zone watches the store.
            processes[i].isWatching = i < zones;
        }
    }

    [[nodiscard]] std::optional<std::size_t> sourceOf(std::size_t self, Milliseconds waited) const
    {
        std::vector<FleetSourceCandidate> peers;
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < processes.size(); ++i) {
            if (i == self)
                continue;
            const auto &peer = processes[i];
            peers.push_back(
                    {peer.name, peer.zone == processes[self].zone, peer.isWatching, peer.hasNewer});
            indices.push_back(i);
        }
        const auto index = FleetSourceTree::choose(processes[self].name, processes[self].isWatching,
                                                   peers, waited);
        return index ? std::optional(indices[*index]) : std::nullopt;
    }

    /// Lets all processes ask until every one has the newer version; returns how long it takes.
    Milliseconds spread()
    {
        Milliseconds elapsed{0};
        for (; elapsed < std::chrono::seconds(10); elapsed += round) {
            std::vector<std::size_t> answered;
            for (std::size_t i = 0; i < processes.size(); ++i) {
                if (processes[i].hasNewer || processes[i].isSilent)
                    continue;
                const auto source = sourceOf(i, elapsed);
                if (!source)
                    continue;
                processes[i].asked += 1;
                if (processes[*source].isSilent)
                    continue;
                processes[*source].served += 1;
                answered.push_back(i);
            }
            for (const auto i : answered)
                processes[i].hasNewer = true;
            if (std::all_of(processes.begin(), processes.end(),
                            [](const auto &each) { return each.hasNewer || each.isSilent; }))
                return elapsed;
        }
        return elapsed;
    }

    [[nodiscard]] unsigned mostServed() const
    {
        return std::max_element(processes.begin(), processes.end(),
                                [](const auto &left, const auto &right) {
                                    return left.served < right.served;
                                })
                ->served;
    }

    static constexpr std::size_t zones = 6;
    std::vector<Process> processes;
};

} // namespace

TEST_CASE("A newer version of the fleet passes through a tree", "[Peers]")
{
    // Without the tree, the watcher of a zone served every process of the zone at once, which was
    // 4.9 MB/s at 300 processes.
    for (const std::size_t count : {100, 300, 1'000}) {
        CAPTURE(count);
        Model model(count, 7);

        SECTION("from the watcher of each zone; no process serves more than a few "
                + std::to_string(count))
        {
            for (std::size_t i = 0; i < Model::zones; ++i)
                model.processes[i].hasNewer = true;
            CHECK(model.spread() <= Milliseconds(300));
            CHECK(model.mostServed() <= FleetSourceTree::fanOut);
        }
        SECTION("also if only one zone reaches the store " + std::to_string(count))
        {
            for (std::size_t i = 1; i < Model::zones; ++i)
                model.processes[i].isWatching = false;
            model.processes[0].hasNewer = true;
            CHECK(model.spread() <= Milliseconds(350));
            CHECK(model.mostServed() <= FleetSourceTree::fanOut + Model::zones - 1);
        }
        SECTION("A process that does not answer delays the others of its zone only briefly "
                + std::to_string(count))
        {
            for (std::size_t i = 0; i < Model::zones; ++i)
                model.processes[i].hasNewer = true;
            model.processes[0].isSilent = true;
            CHECK(model.spread() <= FleetSourceTree::treeTimeout + FleetSourceTree::parentTimeout);
            CHECK(model.mostServed() <= 2 * FleetSourceTree::fanOut);
        }
    }
}

TEST_CASE("Only processes of a large fleet wait for their place in the tree", "[Peers]")
{
    const TimePoint start{std::chrono::seconds(1'000)};
    PeerTable peers(NodeId("e999"), ZoneName("zone1"));
    const FleetVersion own{7, 100, 55};
    const auto hear = [&](std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            PeerReport report;
            report.node = NodeId("e" + std::to_string(100 + i));
            report.zone = ZoneName("zone1");
            report.control = {"10.0.0.1", static_cast<std::uint16_t>(i)};
            // All have the newer version except the parent.
            report.fleet = own;
            report.fleet.configuration = i == 15 ? 7 : 8;
            peers.noteReport(report, {"10.0.0.1", 2}, start);
        }
    };

    SECTION("A process of a small fleet asks immediately")
    {
        hear(maxSmallFleet - 1);
        CHECK_FALSE(peers.isLargeFleet());
        CHECK(peers.nextFleetSource(own, false, start)->port
              == peers.peerWithNewerFleet(own, start)->port);
    }
    SECTION("A process of a large fleet waits for its parent")
    {
        hear(maxSmallFleet);
        CHECK(peers.isLargeFleet());
        CHECK_FALSE(peers.nextFleetSource(own, false, start));

        SECTION("but asks the parent's parent when the time is over")
        {
            const auto later = start + FleetSourceTree::parentTimeout;
            REQUIRE(peers.nextFleetSource(own, false, later));
            CHECK(peers.nextFleetSource(own, false, later)->port == 3);
        }
        SECTION("and asks at once if it watches the store and so is the root")
        {
            CHECK(peers.nextFleetSource(own, true, start));
        }
        SECTION("The time begins again with each version that it gets")
        {
            const FleetVersion newer{7, 101, 56};
            const auto later = start + FleetSourceTree::parentTimeout;
            CHECK_FALSE(peers.nextFleetSource(newer, false, later));
        }
    }
}
