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

TEST_CASE("A few processes watch the store for all", "[Peers]")
{
    PeerTable peers(NodeId("e5"), ZoneName("zone2"));

    SECTION("A process that hears nobody watches")
    {
        CHECK(peers.shouldWatch(start));
    }
    SECTION("The first of a zone watches, whoever watches elsewhere")
    {
        for (const auto *node : {"e1", "e2", "e3"})
            peers.noteReport(reportOf(node, "zone1", true), sender, start);
        CHECK(peers.shouldWatch(start));
    }
    SECTION("Another of the zone does not, once there are enough")
    {
        peers.noteReport(reportOf("e1", "zone1", true), sender, start);
        peers.noteReport(reportOf("e4", "zone2", true), sender, start);
        CHECK_FALSE(peers.shouldWatch(start));

        SECTION("until the one that does cannot reach the store")
        {
            peers.noteReport(reportOf("e4", "zone2", false), sender, start);
            CHECK(peers.shouldWatch(start));
        }
        SECTION("until it falls silent")
        {
            const auto later = start + Milliseconds(1'300);
            peers.noteReport(reportOf("e1", "zone1", true), sender, later);
            CHECK(peers.shouldWatch(later));
        }
        SECTION("until it leaves")
        {
            auto leaving = reportOf("e4", "zone2", true);
            leaving.isLeaving = true;
            peers.noteReport(leaving, sender, start);
            CHECK(peers.shouldWatch(start));
        }
    }
    SECTION("In a single zone, three watch")
    {
        peers.noteReport(reportOf("e1", "zone2", true), sender, start);
        CHECK(peers.shouldWatch(start));
        peers.noteReport(reportOf("e2", "zone2", true), sender, start);
        CHECK_FALSE(peers.shouldWatch(start));
    }
}

TEST_CASE("What a peer knows better is learnt from it", "[Peers]")
{
    PeerTable peers(NodeId("e1"), ZoneName("zone1"));
    FleetVersion own{7, 100, 55};
    auto far = reportOf("e2", "zone2", true);
    far.control.port = 22;
    far.fleet = own;
    peers.noteReport(far, sender, start);
    CHECK_FALSE(peers.betterInformed(own, start));

    SECTION("a newer configuration")
    {
        far.fleet.configuration = 8;
        peers.noteReport(far, sender, start);
        REQUIRE(peers.betterInformed(own, start));
        CHECK(peers.betterInformed(own, start)->port == 22);

        SECTION("from a peer of the same zone, if one has it")
        {
            auto near = reportOf("e3", "zone1", true);
            near.control.port = 33;
            near.fleet = far.fleet;
            peers.noteReport(near, sender, start);
            CHECK(peers.betterInformed(own, start)->port == 33);
        }
        SECTION("but not from one that is not heard any more")
        {
            CHECK_FALSE(peers.betterInformed(own, start + std::chrono::seconds(4)));
        }
    }
    SECTION("other upstreams, unless they are older")
    {
        far.fleet.upstreamDigest = 56;
        far.fleet.upstreamRevision = 99;
        peers.noteReport(far, sender, start);
        CHECK_FALSE(peers.betterInformed(own, start));
        far.fleet.upstreamRevision = 101;
        peers.noteReport(far, sender, start);
        CHECK(peers.betterInformed(own, start));
    }
    SECTION("but not the same upstreams at a later revision")
    {
        far.fleet.upstreamRevision = 101;
        peers.noteReport(far, sender, start);
        CHECK_FALSE(peers.betterInformed(own, start));
    }
}
