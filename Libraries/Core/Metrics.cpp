#include <Core/Metrics.h>

#include <boost/histogram.hpp>
#include <cmath>

namespace Radishplank {

namespace {

constexpr unsigned bucketCount = 120;
constexpr double lowestSeconds = 0.0001;
constexpr double highestSeconds = 100.0;

using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using ThreadSafeCount = boost::histogram::accumulators::count<std::uint64_t, true>;
using LatencyStorage = boost::histogram::dense_storage<ThreadSafeCount>;

auto makeHistogram()
{
    return boost::histogram::make_histogram_with(
            LatencyStorage(), LatencyAxis(bucketCount, lowestSeconds, highestSeconds));
}

} // namespace

struct LatencyHistogram::Implementation
{
    decltype(makeHistogram()) histogram = makeHistogram();
    std::atomic<std::uint64_t> totalMicroseconds{0};
};

LatencyHistogram::LatencyHistogram()
    : m_implementation(std::make_unique<Implementation>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration latency)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(latency);
    m_implementation->histogram(static_cast<double>(microseconds.count()) / 1e6);
    m_implementation->totalMicroseconds += static_cast<std::uint64_t>(microseconds.count());
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t total = 0;
    for (const auto &bucket : m_implementation->histogram)
        total += bucket.value();
    return total;
}

double LatencyHistogram::quantileSeconds(double quantile) const
{
    const auto targetRank
            = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(count())));
    std::uint64_t seen = 0;
    const auto &histogram = m_implementation->histogram;
    for (int bucket = -1; bucket <= static_cast<int>(bucketCount); ++bucket) {
        seen += histogram.at(bucket).value();
        if (seen >= targetRank && seen > 0)
            return histogram.axis(0).value(bucket + 1);
    }
    return 0;
}

void LatencyHistogram::renderPrometheus(std::string &text, std::string_view name) const
{
    // Only every tenth boundary, to keep the metrics page short; quantileSeconds() uses them all.
    constexpr int renderedStep = 10;
    const std::string metric(name);
    text += "# TYPE " + metric + " histogram\n";
    std::uint64_t cumulative = m_implementation->histogram.at(-1).value();
    const auto &axis = m_implementation->histogram.axis(0);
    for (int bucket = 0; bucket < static_cast<int>(bucketCount); ++bucket) {
        cumulative += m_implementation->histogram.at(bucket).value();
        if ((bucket + 1) % renderedStep != 0)
            continue;
        text += metric + "_bucket{le=\"" + std::to_string(axis.value(bucket + 1)) + "\"} "
                + std::to_string(cumulative) + "\n";
    }
    const auto total = count();
    const double sum = static_cast<double>(m_implementation->totalMicroseconds.load()) / 1e6;
    text += metric + "_bucket{le=\"+Inf\"} " + std::to_string(total) + "\n";
    text += metric + "_sum " + std::to_string(sum) + "\n";
    text += metric + "_count " + std::to_string(total) + "\n";
}

void renderCounter(std::string &text, std::string_view name, const Counter &counter)
{
    const std::string metric(name);
    text += "# TYPE " + metric + " counter\n" + metric + " " + std::to_string(counter.value())
            + "\n";
}

void renderGauge(std::string &text, std::string_view name, double value)
{
    const std::string metric(name);
    text += "# TYPE " + metric + " gauge\n" + metric + " " + std::to_string(value) + "\n";
}

} // namespace Radishplank
