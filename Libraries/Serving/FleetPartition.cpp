#include <Serving/FleetPartition.h>

#include <algorithm>
#include <bit>
#include <numeric>
#include <utility>

namespace Radishplank {

namespace {

/// Returns the largest power of two of parts that each have at least `minSize` of `size` members.
unsigned partCount(std::size_t size, std::size_t minSize)
{
    return static_cast<unsigned>(std::bit_floor(std::max<std::size_t>(1, size / minSize)));
}

} // namespace

unsigned FleetPartition::cellCount(std::size_t processes)
{
    return processes <= maxSmallFleet ? 1 : partCount(processes, minProcesses);
}

unsigned FleetPartition::cellCountOfService(unsigned cells, std::size_t upstreams)
{
    return std::min(cells, partCount(upstreams, minUpstreams));
}

std::vector<CellPosition> FleetPartition::positions(std::span<const CellEntry> entries)
{
    std::vector<std::size_t> order(entries.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return std::pair(entries[left].group, entries[left].hash)
               < std::pair(entries[right].group, entries[right].hash);
    });
    std::vector<CellPosition> result(entries.size());
    for (auto begin = order.begin(); begin != order.end();) {
        const auto group = entries[*begin].group;
        const auto end = std::find_if(begin, order.end(),
                                      [&](auto index) { return entries[index].group != group; });
        const auto size = static_cast<std::uint64_t>(end - begin);
        // The cuts of each group are shifted by a fraction of a member, because otherwise the same
        // cells would get the larger parts in every zone.
        const auto shift = group >> 32U;
        for (std::uint64_t rank = 0; begin != end; ++begin, ++rank)
            result[*begin] = static_cast<CellPosition>(((rank << 32U) + shift) / size);
    }
    return result;
}

} // namespace Radishplank
