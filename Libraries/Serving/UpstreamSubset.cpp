#include <Serving/UpstreamSubset.h>

#include <Core/Core.h>

#include <vector>

namespace Radishplank {

namespace {

std::uint64_t groupOf(const SubsetUpstream &upstream)
{
    // Spreads the bits, which the parts of a combined hash must not share.
    return stableHash(std::to_string(upstream.zone), upstream.service);
}

} // namespace

UpstreamSubset::UpstreamSubset(unsigned cells, std::span<const SubsetUpstream> upstreams)
    : m_cells(cells)
{
    std::unordered_map<std::uint64_t, std::size_t> sizes;
    std::vector<CellEntry> entries;
    entries.reserve(upstreams.size());
    for (const auto &upstream : upstreams) {
        sizes[upstream.service] += 1;
        entries.push_back({upstream.upstream, groupOf(upstream)});
    }
    for (const auto &[service, size] : sizes)
        m_serviceCells[service] = FleetPartition::cellCountOfService(cells, size);
    const auto positions = FleetPartition::positions(entries);
    m_upstreams.reserve(upstreams.size());
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        m_upstreams[upstreams[i].upstream]
                = {positions[i], m_serviceCells.at(upstreams[i].service)};
    }
}

bool UpstreamSubset::isUsedBy(CellPosition process, std::uint64_t upstream) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return true;
    const auto &placement = found->second;
    return FleetPartition::cellOf(process, placement.cells)
           == FleetPartition::cellOf(placement.position, placement.cells);
}

bool UpstreamSubset::isServiceShared(CellPosition first, CellPosition second,
                                     std::uint64_t service) const
{
    const auto found = m_serviceCells.find(service);
    const auto cells = found == m_serviceCells.end() ? m_cells : found->second;
    return FleetPartition::cellOf(first, cells) == FleetPartition::cellOf(second, cells);
}

} // namespace Radishplank
