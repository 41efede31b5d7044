#include <Batch/Batch.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A lease has lapsed when its object has not changed for long enough")
{
    ManualClock clock;
    LeaseObserver observer(Milliseconds(10'000));
    CHECK_FALSE(observer.hasLapsed("shard", 1, clock.now()));
    clock.advance(Milliseconds(10'500));
    SECTION("not before the margin is over")
    {
        CHECK_FALSE(observer.hasLapsed("shard", 1, clock.now()));
        clock.advance(Milliseconds(500));
        CHECK(observer.hasLapsed("shard", 1, clock.now()));
    }
    SECTION("and a renewal begins the time anew")
    {
        CHECK_FALSE(observer.hasLapsed("shard", 2, clock.now()));
        clock.advance(Milliseconds(10'900));
        CHECK_FALSE(observer.hasLapsed("shard", 2, clock.now()));
    }
}
