#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A request that crashes upstreams is barred after two crashes")
{
    ManualClock clock;
    Quarantine quarantine(Milliseconds(10'000), 2);
    quarantine.noteCrash("bad", AttemptId("a1"), clock.now());
    CHECK(quarantine.isSuspect("bad", clock.now()));
    CHECK_FALSE(quarantine.quarantinedFor("bad", clock.now()));

    SECTION("A duplicate notice of a crash is not counted again")
    {
        quarantine.merge(quarantine.notices(clock.now()), clock.now());
        CHECK_FALSE(quarantine.quarantinedFor("bad", clock.now()));
    }
    SECTION("A second crash bars it for a limited time")
    {
        quarantine.noteCrash("bad", AttemptId("a2"), clock.now());
        CHECK(quarantine.quarantinedFor("bad", clock.now()) == Milliseconds(10'000));
        SECTION("at every process that receives the notices")
        {
            Quarantine other(Milliseconds(10'000), 2);
            other.merge(quarantine.notices(clock.now()), clock.now());
            CHECK(other.quarantinedFor("bad", clock.now()));
        }
        SECTION("and not after that time")
        {
            clock.advance(Milliseconds(10'000));
            CHECK_FALSE(quarantine.quarantinedFor("bad", clock.now()));
            CHECK_FALSE(quarantine.isSuspect("bad", clock.now()));
        }
    }
    SECTION("A request that completes is no longer suspect")
    {
        quarantine.noteSuccess("bad");
        CHECK_FALSE(quarantine.isSuspect("bad", clock.now()));
    }
    SECTION("Memory is bounded: the oldest record is evicted first")
    {
        clock.advance(Milliseconds(1));
        quarantine.noteCrash("b", AttemptId("a3"), clock.now());
        quarantine.noteCrash("c", AttemptId("a4"), clock.now());
        CHECK_FALSE(quarantine.isSuspect("bad", clock.now()));
        CHECK(quarantine.isSuspect("c", clock.now()));
    }
}
