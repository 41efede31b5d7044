#include <Gateway/Locality.h>

namespace Radishplank {

Distance Locality::distance(const ZoneName &from, const ZoneName &to) const
{
    if (from == to)
        return Distance::SameZone;
    const auto *first = regionOf(from);
    const auto *second = regionOf(to);
    const bool isSameRegion = first != nullptr && second != nullptr && *first == *second;
    return isSameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

const RegionName *Locality::regionOf(const ZoneName &other) const
{
    if (other == zone)
        return &region;
    const auto found = regions.find(other);
    return found == regions.end() ? nullptr : &found->second;
}

} // namespace Radishplank
