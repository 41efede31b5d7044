#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Radishplank {

/// Processes above which a fleet is large: it is split into cells, and newer versions of the fleet
/// pass through a tree. Up to this number every process deals with every other, which is simpler
/// and was measured to work.
inline constexpr std::size_t maxSmallFleet = 64;

/// Where a process or an upstream is among those of its group, as a fraction of 2^32.
using CellPosition = std::uint32_t;

/// A process or an upstream to be positioned.
struct CellEntry
{
    /// Hash of the name.
    std::uint64_t hash = 0;
    /// Hash of the group over which the positions are even: the zone of a process, the service and
    /// the zone of an upstream.
    std::uint64_t group = 0;
};

/// Splits a large fleet into cells, each with about the same number of processes and upstreams of
/// every zone. The processes of a cell use the upstreams of that cell only.
///
/// Bounds the work of one process: a choice looks at the upstreams of the cell, and loads are
/// reported to the processes of the cell, however large the fleet. Within a cell every process
/// knows all loads, as in a small fleet. The result depends only on the sets of processes and
/// upstreams, so that all processes compute the same one.
///
/// The members of a group are ordered by hash and cut into ranges of equal size. A member that
/// comes or goes therefore moves at most one other member over each of the boundaries. The number
/// of cells is a power of two, so that a cell is split into two when the fleet grows. Pure.
class FleetPartition
{
public:
    /// A fleet of 30 processes was measured to share the upstreams well; the largest cells have
    /// twice as many.
    static constexpr std::size_t minProcesses = 32;
    /// Enough upstreams of a service to absorb the failure and the slowness of some.
    static constexpr std::size_t minUpstreams = 40;

    /// Returns the number of cells of a fleet; a power of two, 1 for a small fleet.
    [[nodiscard]] static unsigned cellCount(std::size_t processes);
    /// Returns into how many parts the upstreams of a service are split; a power of two, at most
    /// the number of cells. Neighbouring cells share the upstreams of a service that has few.
    [[nodiscard]] static unsigned cellCountOfService(unsigned cells, std::size_t upstreams);
    /// Returns the positions of all entries.
    [[nodiscard]] static std::vector<CellPosition> positions(std::span<const CellEntry> entries);
    [[nodiscard]] static unsigned cellOf(CellPosition position, unsigned cells)
    {
        return static_cast<unsigned>((std::uint64_t{position} * cells) >> 32U);
    }
};

} // namespace Radishplank
