#pragma once

#include <Core/Core.h>
#include <Gateway/UpstreamSelector.h>

#include <cstddef>

namespace Radishplank {

/// Full reports go to everyone, as the sign of life.
inline constexpr Milliseconds fullReportInterval{500};

/// How many peers there are by their distance.
struct PeerCounts
{
    std::size_t sameZone = 0;
    std::size_t sameRegion = 0;
    std::size_t otherRegion = 0;

    std::size_t &at(Distance distance);
    [[nodiscard]] std::size_t at(Distance distance) const;
};

/// Returns the least time between two reports of loads to a peer.
///
/// Answers the load of many peers on small machines: each has a few hundred reports a second at
/// most, however many peers there are. The more there are, the less the load of each changes what
/// the others choose. Pure.
[[nodiscard]] Milliseconds reportInterval(Distance distance, const PeerCounts &counts);

} // namespace Radishplank
