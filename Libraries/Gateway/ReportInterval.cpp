#include <Gateway/ReportInterval.h>

#include <algorithm>

namespace Radishplank {

namespace {

struct ReportRate
{
    /// A stream may occupy its slot for only a few hundred milliseconds, so reports must arrive
    /// much faster than that.
    Milliseconds minInterval;
    /// Total rate to all peers at the distance.
    std::size_t reportsPerSecond;
};

ReportRate rateFor(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return {Milliseconds(20), 150};
    case Distance::SameRegion:
        return {Milliseconds(60), 120};
    case Distance::OtherRegion:
        // Few calls cross regions, and traffic between regions is expensive.
        return {Milliseconds(250), 60};
    }
    return {fullReportInterval, 1};
}

} // namespace

std::size_t &PeerCounts::at(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return sameZone;
    case Distance::SameRegion:
        return sameRegion;
    case Distance::OtherRegion:
        return otherRegion;
    }
    return otherRegion;
}

std::size_t PeerCounts::at(Distance distance) const
{
    return PeerCounts(*this).at(distance);
}

Milliseconds reportInterval(Distance distance, const PeerCounts &counts)
{
    const auto rate = rateFor(distance);
    const auto shared
            = std::chrono::milliseconds(1'000 * counts.at(distance) / rate.reportsPerSecond);
    return std::clamp<Milliseconds>(shared, rate.minInterval, fullReportInterval);
}

} // namespace Radishplank
