#include <Gateway/PeerLoads.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Peers report several times a second, so an older report no longer describes the current load.
constexpr Milliseconds maxReportAge{1'500};

} // namespace

void PeerLoads::note(const NodeId &peer, std::span<const UpstreamStreams> loads,
                     std::span<const ServiceDemand> waiting, TimePoint now)
{
    auto &report = m_reports[peer];
    remove(report);
    report.at = now;
    m_oldestAt = std::min(m_oldestAt, now);
    report.loads.assign(loads.begin(), loads.end());
    report.waiting.assign(waiting.begin(), waiting.end());
    // Sums of zero are not stored, so remove() would not find the sum for an entry of zero.
    std::erase_if(report.loads,
                  [](const auto &load) { return load.online == 0 && load.batch == 0; });
    std::sort(report.loads.begin(), report.loads.end(),
              [](const auto &left, const auto &right) { return left.upstream < right.upstream; });
    for (const auto &load : report.loads) {
        auto &sum = m_loads[load.upstream];
        sum.online += load.online;
        sum.batch += load.batch;
    }
    for (const auto &demand : report.waiting) {
        m_waiting[demand.service]
                += {static_cast<double>(demand.items), static_cast<double>(demand.lateItems)};
    }
}

void PeerLoads::remove(const Report &report)
{
    for (const auto &load : report.loads) {
        const auto sum = m_loads.find(load.upstream);
        sum->second.online -= load.online;
        sum->second.batch -= load.batch;
        if (sum->second == UpstreamLoad())
            m_loads.erase(sum);
    }
    for (const auto &demand : report.waiting) {
        m_waiting[demand.service]
                += {-static_cast<double>(demand.items), -static_cast<double>(demand.lateItems)};
    }
}

void PeerLoads::expire(TimePoint now)
{
    // Scans the reports only when one may have expired, about once per maxReportAge.
    if (m_oldestAt == TimePoint::max() || now - m_oldestAt <= maxReportAge)
        return;
    m_oldestAt = TimePoint::max();
    std::erase_if(m_reports, [&](const auto &entry) {
        const bool isOld = now - entry.second.at > maxReportAge;
        if (isOld)
            remove(entry.second);
        else
            m_oldestAt = std::min(m_oldestAt, entry.second.at);
        return isOld;
    });
}

UpstreamLoad PeerLoads::at(std::uint64_t upstream) const
{
    const auto found = m_loads.find(upstream);
    return found == m_loads.end() ? UpstreamLoad() : found->second;
}

WaitingItems PeerLoads::waiting(std::uint64_t service) const
{
    const auto found = m_waiting.find(service);
    return found == m_waiting.end() ? WaitingItems() : found->second;
}

bool PeerLoads::mustPeerPreemptFirst(std::uint64_t upstream, unsigned ownBatch,
                                     const NodeId &self) const
{
    return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto &entry) {
        const auto &[peer, report] = entry;
        const auto found = std::lower_bound(report.loads.begin(), report.loads.end(), upstream,
                                            [](const UpstreamStreams &load, std::uint64_t hash) {
                                                return load.upstream < hash;
                                            });
        if (found == report.loads.end() || found->upstream != upstream)
            return false;
        return found->batch > ownBatch || (found->batch == ownBatch && ownBatch > 0 && peer > self);
    });
}

} // namespace Radishplank
