#pragma once

#include <Core/Core.h>
#include <Gateway/UpstreamSelector.h>

#include <cstddef>

namespace Radishplank {

/// Full reports go to all peers and serve as heartbeats.
inline constexpr Milliseconds fullReportInterval{500};

/// Number of peers by distance.
struct PeerCounts
{
    std::size_t sameZone = 0;
    std::size_t sameRegion = 0;
    std::size_t otherRegion = 0;

    std::size_t &at(Distance distance);
    [[nodiscard]] std::size_t at(Distance distance) const;
};

/// Returns the minimum time between two load reports to a peer.
///
/// Bounds the load on small machines: a process handles a few hundred reports a second at most,
/// regardless of the number of peers. The more peers there are, the less the load of each one
/// affects the choices of the others. Pure.
[[nodiscard]] Milliseconds reportInterval(Distance distance, const PeerCounts &counts);

} // namespace Radishplank
