#include <Gateway/ReportInterval.h>

#include <array>
#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr std::array distances{Distance::SameZone, Distance::SameRegion, Distance::OtherRegion};

/// Returns how many load reports a second a process sends besides full reports. It receives as
/// many.
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

TEST_CASE("The rate of load reports is bounded regardless of the number of peers",
          "[ReportInterval]")
{
    SECTION("A small deployment uses the minimum intervals")
    {
        const PeerCounts counts{1, 2, 2};
        CHECK(reportInterval(Distance::SameZone, counts) == Milliseconds(20));
        CHECK(reportInterval(Distance::SameRegion, counts) == Milliseconds(60));
        CHECK(reportInterval(Distance::OtherRegion, counts) == Milliseconds(250));
    }
    SECTION("A large deployment uses longer intervals")
    {
        for (const std::size_t processes : {30, 58, 100, 300, 1'000}) {
            CAPTURE(processes);
            const PeerCounts counts{processes / 6 - 1, processes / 3, processes / 2};
            CHECK(reportsPerSecond(counts) <= 340);
            for (const auto distance : distances)
                CHECK(reportInterval(distance, counts) <= fullReportInterval);
        }
    }
    SECTION("Baseline: with fixed intervals, the rate grows with the fleet")
    {
        const double zone = 9;
        const double region = 19;
        const double other = 29;
        CHECK(zone / 0.020 + region / 0.060 + other / 0.250 > 850);
    }
}
