#include <Placement/Placement.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("The demand for a pool is the slots that its calls would use")
{
    DemandMeter meter;
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    const auto at = [&](int seconds) { return start + std::chrono::seconds(seconds); };
    const auto read = [&](int seconds) { return meter.totals(at(seconds)).front(); };
    meter.noteBegin("captions", at(0));
    meter.noteBegin("captions", at(0));
    const auto before = read(0);

    SECTION("A running call uses one slot")
    {
        CHECK(slotsBetween(before, read(10), std::chrono::seconds(10)) == Approx(2));
    }
    SECTION("A call that has ended uses one slot until its end")
    {
        meter.noteAnswered("captions", at(5));
        meter.noteAnswered("captions", at(5));
        CHECK(slotsBetween(before, read(10), std::chrono::seconds(10)) == Approx(1));
        SECTION("and a refused call counts with the average duration of answered calls")
        {
            meter.noteBegin("captions", at(6));
            meter.noteRefused("captions", at(6));
            CHECK(slotsBetween(before, read(10), std::chrono::seconds(10)) == Approx(1.5));
        }
    }
    SECTION("The demand over a restart of the process counts as 0")
    {
        DemandMeter restarted;
        restarted.noteBegin("captions", at(9));
        const auto after = restarted.totals(at(9)).front();
        meter.noteAnswered("captions", at(5));
        CHECK(slotsBetween(read(9), after, std::chrono::seconds(1)) == 0);
    }
}
