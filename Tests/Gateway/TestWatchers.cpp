#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

const TimePoint start{std::chrono::seconds(1'000)};

PeerReport reportOf(const std::string &node, const std::string &zone, bool isWatching)
{
    PeerReport report;
    report.node = NodeId(node);
    report.zone = ZoneName(zone);
    report.control = {"10.0.0.1", 1};
    report.isWatching = isWatching;
    return report;
}

const Endpoint sender{"10.0.0.1", 2};

} // namespace

TEST_CASE("A few processes watch the store on behalf of all", "[Peers]")
{
    PeerTable peers(NodeId("e5"), ZoneName("zone2"));

    SECTION("A process without reachable peers watches")
    {
        CHECK(peers.shouldWatch(start));
    }
    SECTION("The first process of a zone watches, regardless of watchers in other zones")
    {
        for (const auto *node : {"e1", "e2", "e3"})
            peers.noteReport(reportOf(node, "zone1", true), sender, start);
        CHECK(peers.shouldWatch(start));
    }
    SECTION("Another process of the zone does not watch if there are enough watchers")
    {
        peers.noteReport(reportOf("e1", "zone1", true), sender, start);
        peers.noteReport(reportOf("e4", "zone2", true), sender, start);
        CHECK_FALSE(peers.shouldWatch(start));

        SECTION("The process watches when the watcher of its zone cannot reach the store and stops "
                "watching")
        {
            peers.noteReport(reportOf("e4", "zone2", false), sender, start);
            CHECK(peers.shouldWatch(start));
        }
        SECTION("The process watches when the watcher of its zone becomes unreachable")
        {
            const auto later = start + Milliseconds(1'300);
            peers.noteReport(reportOf("e1", "zone1", true), sender, later);
            CHECK(peers.shouldWatch(later));
        }
        SECTION("The process watches when the watcher of its zone leaves")
        {
            auto leaving = reportOf("e4", "zone2", true);
            leaving.isLeaving = true;
            peers.noteReport(leaving, sender, start);
            CHECK(peers.shouldWatch(start));
        }
    }
    SECTION("In a single zone, three processes watch")
    {
        peers.noteReport(reportOf("e1", "zone2", true), sender, start);
        CHECK(peers.shouldWatch(start));
        peers.noteReport(reportOf("e2", "zone2", true), sender, start);
        CHECK_FALSE(peers.shouldWatch(start));
    }
}

TEST_CASE("A peer with a newer version of the fleet is found", "[Peers]")
{
    PeerTable peers(NodeId("e1"), ZoneName("zone1"));
    FleetVersion own{7, 100, 55};
    auto far = reportOf("e2", "zone2", true);
    far.control.port = 22;
    far.fleet = own;
    peers.noteReport(far, sender, start);
    CHECK_FALSE(peers.peerWithNewerFleet(own, start));

    SECTION("A peer with a newer configuration is found")
    {
        far.fleet.configuration = 8;
        peers.noteReport(far, sender, start);
        REQUIRE(peers.peerWithNewerFleet(own, start));
        CHECK(peers.peerWithNewerFleet(own, start)->port == 22);

        SECTION("A peer in the same zone is preferred")
        {
            auto near = reportOf("e3", "zone1", true);
            near.control.port = 33;
            near.fleet = far.fleet;
            peers.noteReport(near, sender, start);
            CHECK(peers.peerWithNewerFleet(own, start)->port == 33);
        }
        SECTION("An unreachable peer is not found")
        {
            CHECK_FALSE(peers.peerWithNewerFleet(own, start + std::chrono::seconds(4)));
        }
    }
    SECTION("A peer with a different list of upstreams is found unless its list is older")
    {
        far.fleet.upstreamDigest = 56;
        far.fleet.upstreamRevision = 99;
        peers.noteReport(far, sender, start);
        CHECK_FALSE(peers.peerWithNewerFleet(own, start));
        far.fleet.upstreamRevision = 101;
        peers.noteReport(far, sender, start);
        CHECK(peers.peerWithNewerFleet(own, start));
    }
    SECTION("A peer with the same upstreams at a later revision is not found")
    {
        far.fleet.upstreamRevision = 101;
        peers.noteReport(far, sender, start);
        CHECK_FALSE(peers.peerWithNewerFleet(own, start));
    }
}

TEST_CASE("Confirmations of the configuration pass through a tree of processes", "[Peers]")
{
    constexpr std::size_t processes = 50;
    const auto nameOf = [](std::size_t index) { return "e" + std::to_string(100 + index); };
    const auto sourcesOf = [&](std::size_t self, const std::set<std::size_t> &withoutStore = {},
                               const std::set<std::size_t> &silent = {}) {
        PeerTable peers(NodeId(nameOf(self)), ZoneName("zone1"));
        for (std::size_t i = 0; i < processes; ++i) {
            if (i == self || silent.contains(i))
                continue;
            auto report = reportOf(nameOf(i), "zone1", false);
            report.control.port = static_cast<std::uint16_t>(i);
            report.isStoreReachable = !withoutStore.contains(i);
            peers.noteReport(report, sender, start);
        }
        peers.noteReport(reportOf("e000", "zone2", true), sender, start);
        return peers.confirmationSources(!withoutStore.contains(self), start);
    };

    SECTION("One process in the zone asks the store, and each process answers only a few")
    {
        std::map<std::size_t, std::size_t> asked;
        std::size_t roots = 0;
        for (std::size_t i = 0; i < processes; ++i) {
            const auto sources = sourcesOf(i);
            if (sources.empty())
                roots += 1;
            else
                asked[sources.front().port] += 1;
        }
        CHECK(roots == 1);
        for (const auto &[process, count] : asked)
            CHECK(count <= 4);
    }
    SECTION("A process that the store does not answer is not the root")
    {
        CHECK_FALSE(sourcesOf(0, {0}).empty());
        CHECK(sourcesOf(1, {0}).empty());
    }
    SECTION("A silent process is asked by nobody")
    {
        CHECK(sourcesOf(1, {}, {0}).empty());
        CHECK(sourcesOf(5, {}, {0}).front().port == 1);
    }
    SECTION("A process whose parent may fail also knows the root")
    {
        const auto sources = sourcesOf(20);
        REQUIRE(sources.size() == 2);
        CHECK(sources.back().port == 0);
    }
}
