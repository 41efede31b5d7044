#include <Core/Core.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A latency histogram")
{
    LatencyHistogram histogram;
    for (int i = 0; i < 99; ++i)
        histogram.record(Milliseconds(10));
    histogram.record(Milliseconds(1'000));
    CHECK(histogram.count() == 100);
    SECTION("estimates quantiles to within one bucket, about an eighth wide")
    {
        CHECK(histogram.quantileSeconds(0.5) == Approx(0.010).epsilon(0.13));
        CHECK(histogram.quantileSeconds(1.0) == Approx(1.0).epsilon(0.13));
    }
    SECTION("renders the Prometheus text format")
    {
        std::string text;
        histogram.renderPrometheus(text, "wait_seconds");
        CHECK(text.find("wait_seconds_count 100\n") != std::string::npos);
        CHECK(text.find("wait_seconds_bucket{le=\"+Inf\"} 100\n") != std::string::npos);
    }
}
