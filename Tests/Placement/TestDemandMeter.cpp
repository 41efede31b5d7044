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

    SECTION("Calls that go on use a slot each")
    {
        CHECK(slotsBetween(before, read(10), std::chrono::seconds(10)) == Approx(2));
    }
    SECTION("Calls that ended use one until then")
    {
        meter.noteAnswered("captions", at(5));
        meter.noteAnswered("captions", at(5));
        CHECK(slotsBetween(before, read(10), std::chrono::seconds(10)) == Approx(1));
        SECTION("and one that was refused counts as long as they took")
        {
            meter.noteBegin("captions", at(6));
            meter.noteRefused("captions", at(6));
            CHECK(slotsBetween(before, read(10), std::chrono::seconds(10)) == Approx(1.5));
        }
    }
    SECTION("A process that has restarted counts from its start")
    {
        DemandMeter restarted;
        restarted.noteBegin("captions", at(9));
        const auto after = restarted.totals(at(9)).front();
        meter.noteAnswered("captions", at(5));
        CHECK(slotsBetween(read(9), after, std::chrono::seconds(1)) == 0);
    }
}
