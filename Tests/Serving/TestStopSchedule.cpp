#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

const TimePoint signalTime{std::chrono::seconds(1'000)};

/// Returns whether a call is taken that arrives some time after the signal and may last for some
/// time.
bool mayTake(const StopSchedule &schedule, Milliseconds arrival, Milliseconds duration)
{
    const auto now = signalTime + arrival;
    return schedule.mayTake(now + duration, now);
}

} // namespace

TEST_CASE("A process that is about to stop takes no call that it might cut off", "[StopSchedule]")
{
    StopSchedule schedule;
    CHECK(mayTake(schedule, Milliseconds(0), std::chrono::minutes(10)));
    schedule.begin(std::chrono::seconds(8), signalTime);
    const auto total = std::chrono::duration_cast<Milliseconds>(schedule.endsAt() - signalTime);
    CHECK(total < std::chrono::seconds(8));

    SECTION("however short the time that is left")
    {
        for (Milliseconds arrival(0); arrival <= total; arrival += Milliseconds(100)) {
            for (Milliseconds duration(100); duration <= std::chrono::seconds(5);
                 duration += Milliseconds(100))
                CHECK(mayTake(schedule, arrival, duration) == (arrival + duration <= total));
        }
    }
    SECTION("but still takes calls of routes with long timeouts at first")
    {
        CHECK(mayTake(schedule, Milliseconds(0), std::chrono::seconds(30)));
        CHECK(mayTake(schedule, Milliseconds(1'000), std::chrono::seconds(30)));
        CHECK_FALSE(mayTake(schedule, Milliseconds(3'000), std::chrono::seconds(30)));
    }
    SECTION("and closes its connections before it ends, even if it is killed soon")
    {
        CHECK(schedule.closesAt() < schedule.endsAt());
        schedule.begin(std::chrono::seconds(2), signalTime);
        CHECK(schedule.endsAt() < signalTime + std::chrono::seconds(2));
        CHECK(schedule.closesAt() <= schedule.endsAt());
        CHECK_FALSE(mayTake(schedule, Milliseconds(600), Milliseconds(1'000)));
        CHECK(mayTake(schedule, Milliseconds(600), Milliseconds(500)));
    }
}
