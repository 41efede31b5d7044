#pragma once

#include <Serving/FleetPartition.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace Radishplank {

/// An upstream to be assigned to a cell; all fields are hashes of names.
struct SubsetUpstream
{
    std::uint64_t upstream = 0;
    std::uint64_t service = 0;
    std::uint64_t zone = 0;
};

/// Which process of a large fleet uses which upstreams: those of its cell. Immutable; pure.
///
/// Answers the load of a choice, which otherwise looks at every upstream, and of load reports,
/// which otherwise go to every process.
class UpstreamSubset
{
public:
    UpstreamSubset(unsigned cells, std::span<const SubsetUpstream> upstreams);

    [[nodiscard]] unsigned cells() const { return m_cells; }
    /// Returns whether the process at a position uses an upstream; true for an unknown upstream.
    [[nodiscard]] bool isUsedBy(CellPosition process, std::uint64_t upstream) const;
    /// Returns whether two processes use the same upstreams of a service.
    [[nodiscard]] bool isServiceShared(CellPosition first, CellPosition second,
                                       std::uint64_t service) const;

private:
    struct Placement
    {
        CellPosition position = 0;
        unsigned cells = 1;
    };

    const unsigned m_cells;
    std::unordered_map<std::uint64_t, Placement> m_upstreams;
    std::unordered_map<std::uint64_t, unsigned> m_serviceCells;
};

} // namespace Radishplank
