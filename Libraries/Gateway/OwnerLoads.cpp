#include <Gateway/OwnerLoads.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

/// As long as a peer's loads at the upstreams count, see PeerLoads.
constexpr Milliseconds maxReportAge{1'500};

/// The streams of an owner that holds a few slots vary by half of their number from one moment to
/// the next; a burst lasts for seconds.
constexpr double averagingSeconds = 1;
/// Smaller means are dropped.
constexpr double minMean = 0.05;

} // namespace

void OwnerLoads::begin(std::uint64_t owner)
{
    m_own[owner] += 1;
    add(owner, 1);
}

void OwnerLoads::end(std::uint64_t owner)
{
    const auto own = m_own.find(owner);
    if (own == m_own.end())
        return;
    if (--own->second == 0)
        m_own.erase(own);
    remove(owner, 1);
}

void OwnerLoads::note(const NodeId &peer, std::span<const OwnerStreams> streams, TimePoint now)
{
    auto &report = m_reports[peer];
    remove(report);
    report.at = now;
    m_oldestAt = std::min(m_oldestAt, now);
    report.streams.assign(streams.begin(), streams.end());
    for (const auto &each : report.streams)
        add(each.owner, each.online);
}

void OwnerLoads::expire(TimePoint now)
{
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

std::vector<OwnerStreams> OwnerLoads::own(std::size_t count) const
{
    std::vector<OwnerStreams> result;
    for (const auto &[owner, streams] : m_own)
        result.push_back({owner, streams});
    std::sort(result.begin(), result.end(),
              [](const auto &left, const auto &right) { return left.online > right.online; });
    if (result.size() > count)
        result.resize(count);
    return result;
}

std::vector<OwnerStreams> OwnerLoads::all() const
{
    std::vector<OwnerStreams> result;
    result.reserve(m_sums.size());
    for (const auto &[owner, streams] : m_sums)
        result.push_back({owner, streams});
    return result;
}

const std::unordered_map<std::uint64_t, double> &OwnerLoads::means(TimePoint now)
{
    const std::chrono::duration<double> passed = now - m_meansAt;
    const double kept = std::exp(-std::max(0.0, passed.count()) / averagingSeconds);
    m_meansAt = now;
    for (auto &[owner, mean] : m_means)
        mean *= kept;
    for (const auto &[owner, streams] : m_sums)
        m_means[owner] += (1 - kept) * streams;
    std::erase_if(m_means, [](const auto &entry) { return entry.second < minMean; });
    return m_means;
}

void OwnerLoads::add(std::uint64_t owner, unsigned streams)
{
    if (streams > 0)
        m_sums[owner] += streams;
}

void OwnerLoads::remove(std::uint64_t owner, unsigned streams)
{
    const auto sum = m_sums.find(owner);
    if (sum == m_sums.end())
        return;
    sum->second -= std::min(sum->second, streams);
    if (sum->second == 0)
        m_sums.erase(sum);
}

void OwnerLoads::remove(const Report &report)
{
    for (const auto &each : report.streams)
        remove(each.owner, each.online);
}

} // namespace Radishplank
