#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A process is unresponsive once its heartbeats remain unanswered")
{
    constexpr Milliseconds timeout(3'500);
    ManualClock clock;
    HeartbeatMonitor monitor(Milliseconds(3'000));
    CHECK_FALSE(monitor.isResponsive(clock.now(), timeout));
    monitor.noteAttempt(clock.now());
    monitor.noteAnswer(clock.now());

    SECTION("It is responsive until its last answer is too old")
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            clock.advance(Milliseconds(1'000));
            monitor.noteAttempt(clock.now());
            CHECK(monitor.isResponsive(clock.now(), timeout));
        }
        clock.advance(Milliseconds(500));
        monitor.noteAttempt(clock.now());
        CHECK_FALSE(monitor.isResponsive(clock.now(), timeout));

        SECTION("A suspension of the observer does not make it responsive again")
        {
            clock.advance(Milliseconds(60'000));
            CHECK_FALSE(monitor.isResponsive(clock.now(), timeout));
            monitor.noteAttempt(clock.now());
            CHECK_FALSE(monitor.isResponsive(clock.now(), timeout));
        }
        SECTION("An answer makes it responsive again")
        {
            monitor.noteAnswer(clock.now());
            CHECK(monitor.isResponsive(clock.now(), timeout));
        }
    }
    SECTION("The observer is suspended for a minute")
    {
        clock.advance(Milliseconds(1'000));
        monitor.noteAttempt(clock.now());
        clock.advance(Milliseconds(60'000));

        SECTION("Before the next heartbeat, its state is unchanged")
        {
            CHECK(monitor.isResponsive(clock.now(), timeout));
        }
        SECTION("A heartbeat that was in flight has failed")
        {
            monitor.noteAttempt(clock.now());
            CHECK(monitor.isResponsive(clock.now(), timeout));

            SECTION("The time without answers continues from before the suspension")
            {
                clock.advance(Milliseconds(2'400));
                CHECK(monitor.isResponsive(clock.now(), timeout));
                clock.advance(Milliseconds(100));
                CHECK_FALSE(monitor.isResponsive(clock.now(), timeout));
            }
        }
    }
}
