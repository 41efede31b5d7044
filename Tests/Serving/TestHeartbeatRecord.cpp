#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A process is taken for silent by the heartbeats that it leaves unanswered")
{
    constexpr Milliseconds lifetime(3'500);
    ManualClock clock;
    HeartbeatRecord record(Milliseconds(3'000));
    CHECK_FALSE(record.isAnswering(clock.now(), lifetime));
    record.noteAttempt(clock.now());
    record.noteAnswer(clock.now());

    SECTION("It answers until its last answer is too old")
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            clock.advance(Milliseconds(1'000));
            record.noteAttempt(clock.now());
            CHECK(record.isAnswering(clock.now(), lifetime));
        }
        clock.advance(Milliseconds(500));
        record.noteAttempt(clock.now());
        CHECK_FALSE(record.isAnswering(clock.now(), lifetime));

        SECTION("Being suspended does not bring it back")
        {
            clock.advance(Milliseconds(60'000));
            CHECK_FALSE(record.isAnswering(clock.now(), lifetime));
            record.noteAttempt(clock.now());
            CHECK_FALSE(record.isAnswering(clock.now(), lifetime));
        }
        SECTION("An answer does")
        {
            record.noteAnswer(clock.now());
            CHECK(record.isAnswering(clock.now(), lifetime));
        }
    }
    SECTION("The observer is suspended for a minute")
    {
        clock.advance(Milliseconds(1'000));
        record.noteAttempt(clock.now());
        clock.advance(Milliseconds(60'000));

        SECTION("Before the next heartbeat, what was known holds")
        {
            CHECK(record.isAnswering(clock.now(), lifetime));
        }
        SECTION("A heartbeat that was on its way has failed")
        {
            record.noteAttempt(clock.now());
            CHECK(record.isAnswering(clock.now(), lifetime));

            SECTION("Silence goes on counting where it stood")
            {
                clock.advance(Milliseconds(2'400));
                CHECK(record.isAnswering(clock.now(), lifetime));
                clock.advance(Milliseconds(100));
                CHECK_FALSE(record.isAnswering(clock.now(), lifetime));
            }
        }
    }
}
