#include <Batch/Batch.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A lease expires when its object has not changed for the lease duration and a margin")
{
    ManualClock clock;
    LeaseObserver observer(Milliseconds(10'000));
    CHECK_FALSE(observer.hasExpired("shard", 1, clock.now()));
    clock.advance(Milliseconds(10'500));
    SECTION("It does not expire before the margin has passed")
    {
        CHECK_FALSE(observer.hasExpired("shard", 1, clock.now()));
        clock.advance(Milliseconds(500));
        CHECK(observer.hasExpired("shard", 1, clock.now()));
    }
    SECTION("A renewal restarts the duration")
    {
        CHECK_FALSE(observer.hasExpired("shard", 2, clock.now()));
        clock.advance(Milliseconds(10'900));
        CHECK_FALSE(observer.hasExpired("shard", 2, clock.now()));
    }
}
