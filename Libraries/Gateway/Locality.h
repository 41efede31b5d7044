#pragma once

#include <Core/Core.h>
#include <Serving/Router.h>

#include <map>

namespace Radishplank {

/// Availability zone and region of this process, from which distances are measured.
struct Locality
{
    ZoneName zone;
    RegionName region;
    std::map<ZoneName, RegionName> regions;

    [[nodiscard]] Distance distanceTo(const ZoneName &other) const { return distance(zone, other); }
    /// Returns the distance between two zones; a zone of an unknown region is far from all others.
    [[nodiscard]] Distance distance(const ZoneName &from, const ZoneName &to) const;

private:
    [[nodiscard]] const RegionName *regionOf(const ZoneName &other) const;
};

} // namespace Radishplank
