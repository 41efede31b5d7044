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
    SECTION("Without a time to wait, a token is available at every moment")
    {
        for (const double perSecond : {40.0 / 18, 0.8, 1.0 / 3, 7.3}) {
            TokenBucket uneven(perSecond, 1, clock.now());
            for (int i = 0; i < 5'000; ++i) {
                const bool mustWait = uneven.waitTime(clock.now()) > Duration(0);
                CHECK(uneven.take(clock.now()) != mustWait);
                clock.advance(Milliseconds(10));
            }
        }
    }
    SECTION("A lower rate takes effect at once")
    {
        bucket.configure(1, 1, clock.now());
        CHECK(bucket.waitTime(clock.now()) == Milliseconds(1'000));
    }
}
