#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("The streams of an owner are counted over all processes", "[OwnerLoads]")
{
    OwnerLoads loads;
    const TimePoint now{std::chrono::seconds(1'000)};
    const auto streamsOf = [&](std::uint64_t owner) {
        for (const auto &each : loads.all()) {
            if (each.owner == owner)
                return each.online;
        }
        return 0U;
    };
    loads.begin(1);
    loads.begin(1);
    loads.begin(2);
    const std::vector<OwnerStreams> report{{1, 5}, {3, 1}};
    loads.note(NodeId("entry2"), report, now);
    CHECK(streamsOf(1) == 7);
    CHECK(loads.own(1) == std::vector<OwnerStreams>{{1, 2}});

    SECTION("A new report replaces the earlier one, or owners would seem to hold ever more")
    {
        loads.note(NodeId("entry2"), report, now);
        CHECK(streamsOf(1) == 7);
        loads.note(NodeId("entry2"), {}, now);
        CHECK(streamsOf(1) == 2);
        CHECK(loads.all().size() == 2);
    }
    SECTION("A silent peer stops counting, or its owners stay above their shares for ever")
    {
        loads.note(NodeId("entry3"), report, now + Milliseconds(1'000));
        loads.expire(now + Milliseconds(2'000));
        CHECK(streamsOf(1) == 7);
        loads.expire(now + Milliseconds(3'000));
        CHECK(streamsOf(1) == 2);
        CHECK(streamsOf(3) == 0);
    }
    SECTION("Streams that end do not count")
    {
        loads.end(1);
        loads.end(1);
        loads.end(1);
        CHECK(streamsOf(1) == 5);
        CHECK(loads.own(64) == std::vector<OwnerStreams>{{2, 1}});
    }
}
