#include <Gateway/PeerLoads.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Peers report several times a second, so an older report no longer describes the current load.
constexpr Milliseconds maxReportAge{1'500};
/// Remaining time of a stream at a process that does not estimate it: the mean of a whole stream,
/// as a queue of them is served at that rate.
constexpr std::int64_t defaultOnlineRemainingMs = 700;
constexpr std::int64_t defaultBatchRemainingMs = 4'000;
/// A stream that is still reported has not ended, however long ago it was expected to.
constexpr double minOnlineRemainingMs = 100;
constexpr double minBatchRemainingMs = 300;

std::int64_t reportTime(TimePoint at)
{
    return std::chrono::duration_cast<Milliseconds>(at.time_since_epoch()).count();
}

std::int64_t remainingOf(unsigned streams, Milliseconds reported, std::int64_t perStream)
{
    return reported.count() > 0 ? reported.count() : streams * perStream;
}

} // namespace

void PeerLoads::RemainingSum::add(unsigned streams, std::int64_t remaining, TimePoint at,
                                  std::int64_t sign)
{
    reported += sign * remaining;
    reportTimes += sign * streams * reportTime(at);
}

double PeerLoads::RemainingSum::at(unsigned streams, double progress, double minPerStream,
                                   TimePoint now) const
{
    const auto passed = static_cast<double>(streams * reportTime(now) - reportTimes);
    return std::max(streams * minPerStream,
                    static_cast<double>(reported) - progress * std::max(0.0, passed));
}

void PeerLoads::apply(Sum &sum, const UpstreamStreams &load, TimePoint at, int sign)
{
    // Unsigned sums wrap, so that subtracting is adding the complement.
    sum.load.online += sign > 0 ? load.online : 0U - load.online;
    sum.load.batch += sign > 0 ? load.batch : 0U - load.batch;
    sum.online.add(load.online,
                   remainingOf(load.online, load.onlineRemaining, defaultOnlineRemainingMs), at,
                   sign);
    sum.batch.add(load.batch, remainingOf(load.batch, load.batchRemaining, defaultBatchRemainingMs),
                  at, sign);
}

void PeerLoads::note(const NodeId &peer, std::span<const UpstreamStreams> loads,
                     std::span<const ServiceDemand> waiting, TimePoint now)
{
    auto &report = m_reports[peer];
    remove(report);
    report.at = now;
    report.node = nodeHash(peer);
    m_oldestAt = std::min(m_oldestAt, now);
    report.loads.assign(loads.begin(), loads.end());
    report.waiting.assign(waiting.begin(), waiting.end());
    // Sums of zero are not stored, so remove() would not find the sum for an entry of zero.
    std::erase_if(report.loads,
                  [](const auto &load) { return load.online == 0 && load.batch == 0; });
    std::sort(report.loads.begin(), report.loads.end(),
              [](const auto &left, const auto &right) { return left.upstream < right.upstream; });
    for (const auto &load : report.loads)
        apply(m_loads[load.upstream], load, now, 1);
    for (const auto &demand : report.waiting) {
        m_waiting[demand.service]
                += {static_cast<double>(demand.items), static_cast<double>(demand.lateItems)};
    }
}

void PeerLoads::remove(const Report &report)
{
    for (const auto &load : report.loads) {
        const auto sum = m_loads.find(load.upstream);
        apply(sum->second, load, report.at, -1);
        if (sum->second.load == UpstreamLoad())
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
    return found == m_loads.end() ? UpstreamLoad() : found->second.load;
}

UpstreamRemaining PeerLoads::remainingAt(std::uint64_t upstream, double progress,
                                         TimePoint now) const
{
    const auto found = m_loads.find(upstream);
    if (found == m_loads.end())
        return {};
    const auto &sum = found->second;
    return {sum.online.at(sum.load.online, progress, minOnlineRemainingMs, now),
            sum.batch.at(sum.load.batch, progress, minBatchRemainingMs, now)};
}

WaitingItems PeerLoads::waiting(std::uint64_t service) const
{
    const auto found = m_waiting.find(service);
    return found == m_waiting.end() ? WaitingItems() : found->second;
}

std::vector<PeerNeed> PeerLoads::needsOf(std::uint64_t service) const
{
    std::vector<PeerNeed> needs;
    for (const auto &[peer, report] : m_reports) {
        for (const auto &demand : report.waiting) {
            const bool hasItems = demand.items > 0 || demand.lateItems > 0;
            if (demand.service != service || (!hasItems && !demand.hasLimitedCalls))
                continue;
            needs.push_back({report.node,
                             demand.hasLimitedCalls ? RequestNeed::Calls : RequestNeed::Items});
        }
    }
    return needs;
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
