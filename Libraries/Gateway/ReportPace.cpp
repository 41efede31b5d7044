#include <Gateway/ReportPace.h>

#include <algorithm>

namespace Radishplank {

namespace {

struct Pace
{
    /// A slot can be held for a few hundred milliseconds, so loads must be known much sooner.
    Milliseconds shortest;
    /// To all peers at the distance together.
    std::size_t reportsPerSecond;
};

Pace paceOf(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return {Milliseconds(20), 150};
    case Distance::SameRegion:
        return {Milliseconds(60), 120};
    case Distance::OtherRegion:
        // Few calls cross regions, and bytes between them are dear.
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
    const auto pace = paceOf(distance);
    const auto shared
            = std::chrono::milliseconds(1'000 * counts.at(distance) / pace.reportsPerSecond);
    return std::clamp<Milliseconds>(shared, pace.shortest, fullReportInterval);
}

} // namespace Radishplank
