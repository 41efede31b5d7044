#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A token bucket enforces its rate and returns the time to wait")
{
    ManualClock clock;
    TokenBucket bucket(10, 2, clock.now());
    CHECK(bucket.take(clock.now()));
    CHECK(bucket.take(clock.now()));
    CHECK_FALSE(bucket.take(clock.now()));
    CHECK(bucket.waitTime(clock.now()) == Milliseconds(100));
    SECTION("A token is available after the returned time")
    {
        clock.advance(bucket.waitTime(clock.now()));
        CHECK(bucket.take(clock.now()));
        CHECK_FALSE(bucket.take(clock.now()));
    }
    SECTION("A lower rate takes effect at once")
    {
        bucket.configure(1, 1, clock.now());
        CHECK(bucket.waitTime(clock.now()) == Milliseconds(1'000));
    }
}
