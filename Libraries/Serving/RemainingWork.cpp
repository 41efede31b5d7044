#include <Serving/RemainingWork.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

constexpr double firstValue = 10;
/// The error of a bucket, 12%, is small against the spread of the answers of one route.
constexpr double bucketRatio = 1.25;
/// Rest of a request that has run longer than all known ones, as a share of that time and at least.
constexpr double restAfterLongest = 0.25;
constexpr double minRest = 20;

std::array<double, DurationBuckets::count> makeValues()
{
    std::array<double, DurationBuckets::count> values{};
    double value = firstValue;
    for (auto &each : values) {
        each = value;
        value *= bucketRatio;
    }
    return values;
}

} // namespace

std::size_t DurationBuckets::indexOf(double milliseconds)
{
    if (!(milliseconds > firstValue))
        return 0;
    static const double logRatio = std::log(bucketRatio);
    const double position = std::log(milliseconds / firstValue) / logRatio;
    return std::min(count - 1, static_cast<std::size_t>(position + 0.5));
}

double DurationBuckets::valueOf(std::size_t bucket)
{
    static const auto values = makeValues();
    return values[bucket];
}

RemainingWork::RemainingWork(const DurationWeights &weights, double scale)
    : m_scale(scale)
{
    for (std::size_t bucket = DurationBuckets::count; bucket-- > 0;) {
        const auto value = static_cast<float>(DurationBuckets::valueOf(bucket));
        m_weightFrom[bucket] = m_weightFrom[bucket + 1] + weights[bucket];
        m_valueFrom[bucket] = m_valueFrom[bucket + 1] + weights[bucket] * value;
    }
}

double RemainingWork::mean() const
{
    return m_weightFrom[0] > 0 ? m_scale * m_valueFrom[0] / m_weightFrom[0] : 0;
}

double RemainingWork::quantile(double share) const
{
    return restQuantile(0, share);
}

double RemainingWork::rest(double elapsed) const
{
    const double own = elapsed / m_scale;
    const auto bucket = own > 0 ? DurationBuckets::indexOf(own) : 0;
    const double weight = m_weightFrom[bucket];
    const double longest = std::max(minRest, restAfterLongest * elapsed);
    // A bucket stands for values on both sides of its middle, so that the rest is positive.
    if (weight <= 1e-4 * m_weightFrom[0])
        return longest;
    return std::max(minRest, m_scale * (m_valueFrom[bucket] / weight - own));
}

double RemainingWork::restQuantile(double elapsed, double share) const
{
    const double own = elapsed / m_scale;
    const auto first = own > 0 ? DurationBuckets::indexOf(own) : 0;
    const double weight = m_weightFrom[first];
    if (weight <= 1e-4 * m_weightFrom[0])
        return std::max(minRest, restAfterLongest * elapsed);
    const double longer = weight * (1 - share);
    std::size_t bucket = first;
    while (bucket + 1 < DurationBuckets::count && m_weightFrom[bucket + 1] > longer)
        bucket += 1;
    return std::max(elapsed > 0 ? minRest : 0.0,
                    m_scale * (DurationBuckets::valueOf(bucket) - own));
}

} // namespace Radishplank
