#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

PlaceView placeWith(unsigned online, unsigned batch = 0, unsigned ownBatch = 0,
                    Distance distance = Distance::SameZone)
{
    PlaceView place;
    place.distance = distance;
    place.slots = 8;
    place.online = online;
    place.batch = batch;
    place.ownBatch = ownBatch;
    return place;
}

} // namespace

TEST_CASE("An online call goes where it is served soonest", "[PlaceChooser]")
{
    RandomEngine random(1);

    SECTION("to the upstream with free slots, not to the full one")
    {
        const std::vector<PlaceView> places{placeWith(8), placeWith(5)};
        const auto choice = chooseOnlinePlace(places, random);
        REQUIRE(choice);
        CHECK(choice->index == 1);
        CHECK_FALSE(choice->mustPreempt);
        CHECK(choice->wait.count() == 0);
    }
    SECTION("in its own zone while that has room")
    {
        const std::vector<PlaceView> places{placeWith(0, 0, 0, Distance::OtherRegion),
                                            placeWith(6)};
        CHECK(chooseOnlinePlace(places, random)->index == 1);
    }
    SECTION("rather across the regions than into a long queue")
    {
        const std::vector<PlaceView> places{placeWith(0, 0, 0, Distance::OtherRegion),
                                            placeWith(12)};
        CHECK(chooseOnlinePlace(places, random)->index == 0);
    }
    SECTION("Batch gives way where all slots are taken")
    {
        const std::vector<PlaceView> places{placeWith(8), placeWith(5, 3, 3)};
        const auto choice = chooseOnlinePlace(places, random);
        REQUIRE(choice);
        CHECK(choice->index == 1);
        CHECK(choice->mustPreempt);
    }
    SECTION("and rather batch of this process than of another")
    {
        const std::vector<PlaceView> places{placeWith(5, 3, 0), placeWith(5, 3, 3)};
        CHECK(chooseOnlinePlace(places, random)->index == 1);
    }
    SECTION("An upstream that has failed is tried only if there is no other")
    {
        auto failed = placeWith(0);
        failed.isTrusted = false;
        const std::vector<PlaceView> both{failed, placeWith(9)};
        CHECK(chooseOnlinePlace(both, random)->index == 1);
        const std::vector<PlaceView> alone{failed};
        CHECK(chooseOnlinePlace(alone, random)->index == 0);
    }
    SECTION("The expected wait grows with the queue")
    {
        const std::vector<PlaceView> shorter{placeWith(8)};
        const std::vector<PlaceView> longer{placeWith(16)};
        CHECK(chooseOnlinePlace(shorter, random)->wait < chooseOnlinePlace(longer, random)->wait);
    }
    SECTION("Without upstreams there is no choice")
    {
        CHECK_FALSE(chooseOnlinePlace({}, random));
    }
}

TEST_CASE("A batch item takes only slots that are free", "[PlaceChooser]")
{
    RandomEngine random(1);
    SECTION("and the emptiest upstream first")
    {
        const std::vector<PlaceView> places{placeWith(6), placeWith(1, 1), placeWith(8)};
        CHECK(chooseBatchPlace(places, 0, random) == 1);
    }
    SECTION("Nothing is taken where all slots are in use or kept back")
    {
        const std::vector<PlaceView> places{placeWith(6, 2), placeWith(7)};
        CHECK(chooseBatchPlace(places, 0, random) == 1);
        CHECK_FALSE(chooseBatchPlace(places, 1, random));
    }
    SECTION("An upstream that has failed gets none")
    {
        auto failed = placeWith(0);
        failed.isTrusted = false;
        CHECK_FALSE(chooseBatchPlace(std::vector<PlaceView>{failed}, 0, random));
    }
}
