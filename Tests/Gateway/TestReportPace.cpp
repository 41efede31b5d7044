#include <Gateway/ReportPace.h>

#include <array>
#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr std::array distances{Distance::SameZone, Distance::SameRegion, Distance::OtherRegion};

/// Reports a second that a process sends beside its full ones, and so gets.
double reportsPerSecond(const PeerCounts &counts)
{
    double sum = 0;
    for (const auto distance : distances) {
        const auto interval = reportInterval(distance, counts);
        if (interval < fullReportInterval)
            sum += 1'000.0 * static_cast<double>(counts.at(distance))
                   / static_cast<double>(interval.count());
    }
    return sum;
}

} // namespace

TEST_CASE("Reports of loads stay few, however many peers there are", "[ReportPace]")
{
    SECTION("In a small deployment, they go as often as they are of use")
    {
        const PeerCounts counts{1, 2, 2};
        CHECK(reportInterval(Distance::SameZone, counts) == Milliseconds(20));
        CHECK(reportInterval(Distance::SameRegion, counts) == Milliseconds(60));
        CHECK(reportInterval(Distance::OtherRegion, counts) == Milliseconds(250));
    }
    SECTION("In a large one they are spread")
    {
        for (const std::size_t processes : {30, 58, 100, 300, 1'000}) {
            CAPTURE(processes);
            const PeerCounts counts{processes / 6 - 1, processes / 3, processes / 2};
            CHECK(reportsPerSecond(counts) <= 340);
            for (const auto distance : distances)
                CHECK(reportInterval(distance, counts) <= fullReportInterval);
        }
    }
    SECTION("Baseline: at fixed intervals they grow with the fleet")
    {
        const double zone = 9;
        const double region = 19;
        const double other = 29;
        CHECK(zone / 0.020 + region / 0.060 + other / 0.250 > 850);
    }
}
