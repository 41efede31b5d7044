#include <Gateway/ReportRelay.h>

#include <iterator>

namespace Radishplank {

namespace {

/// As long as a process counts as reachable without a report.
constexpr Milliseconds maxAge{2'500};
/// Keeps a datagram, with the relay's own report, below the largest possible one. Holds the reports
/// of about 170 processes.
constexpr std::size_t maxRelayedBytes = 44'000;

/// Returns a report without the fields that are of use only to processes that it is sent to
/// directly: those that share upstreams with the sender, or that manage quotas.
PeerReport relayable(const PeerReport &report)
{
    auto result = report;
    result.loads.clear();
    result.waiting.clear();
    result.leaving.clear();
    result.ownerLoads.clear();
    result.quotaHomes.clear();
    result.previousQuotaHomes.clear();
    result.heard.clear();
    result.relayed.clear();
    return result;
}

/// Returns the report without the fields that change in every report, or that the recipients also
/// get from others.
PeerReport lasting(const PeerReport &report)
{
    auto result = report;
    for (auto &crash : result.crashUpdates.crashes)
        crash.age = Milliseconds(0);
    for (auto &suspect : result.partUpdates.suspects)
        suspect.age = Milliseconds(0);
    for (auto &cleared : result.partUpdates.cleared)
        cleared.age = Milliseconds(0);
    for (auto &blocked : result.partUpdates.blocked) {
        blocked.age = Milliseconds(0);
        blocked.remaining = Milliseconds(0);
        blocked.itemTrialRemaining = Milliseconds(0);
    }
    result.fleet.upstreamRevision = 0;
    result.fleet.upstreamDigest = 0;
    result.bootAge = Milliseconds(0);
    return result;
}

Milliseconds since(TimePoint then, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now - then);
}

} // namespace

void ReportRelay::note(const PeerReport &report, TimePoint now)
{
    const auto node = nodeHash(report.node);
    if (report.isLeaving) {
        m_entries.erase(node);
        return;
    }
    auto &entry = m_entries[node];
    entry.report = relayable(report);
    const auto bytes = encodePeerReport(lasting(entry.report));
    const auto digest = stableHash(bytes);
    if (digest != entry.digest || now - entry.heardAt > maxAge)
        entry.changedAt = now;
    entry.digest = digest;
    entry.bytes = bytes.size();
    entry.heardAt = now;
}

void ReportRelay::describe(PeerReport &report, std::optional<unsigned> turn, TimePoint now) const
{
    std::size_t bytes = 0;
    const auto add = [&](const Entry &entry) {
        if (bytes + entry.bytes > maxRelayedBytes)
            return;
        bytes += entry.bytes;
        report.relayed.push_back({since(entry.heardAt, now), entry.report});
    };
    std::vector<const Entry *> unchanged;
    // Begins elsewhere each time, because the last ones may not fit.
    const auto begin = m_entries.empty() ? 0 : turn.value_or(0) % m_entries.size();
    auto next = std::next(m_entries.begin(), static_cast<std::ptrdiff_t>(begin));
    for (std::size_t i = 0; i < m_entries.size(); ++i, ++next) {
        if (next == m_entries.end())
            next = m_entries.begin();
        const auto &[node, entry] = *next;
        if (now - entry.heardAt > maxAge)
            continue;
        report.heard.push_back({node, since(entry.heardAt, now)});
        if (now - entry.changedAt <= changeDuration)
            add(entry);
        else if (!turn || (node + *turn) % rotation == 0)
            unchanged.push_back(&entry);
    }
    for (const auto *entry : unchanged)
        add(*entry);
}

bool ReportRelay::isRelayFor(std::size_t recipient, std::uint64_t self,
                             std::span<const RelayCandidate> zone)
{
    if (zone.empty())
        return false;
    const auto isEligible
            = [&](const RelayCandidate &each) { return each.isAlive || each.node == self; };
    // The first that is alive from a place on. If one dies, only its recipients get another relay.
    const auto relayFrom = [&](std::size_t place, std::optional<std::uint64_t> other) {
        for (std::size_t i = 0; i < zone.size(); ++i) {
            const auto &candidate = zone[(place + i) % zone.size()];
            if (isEligible(candidate) && candidate.node != other)
                return std::optional(candidate.node);
        }
        return std::optional<std::uint64_t>();
    };
    const auto first = relayFrom(recipient % zone.size(), {});
    const auto second = relayFrom((recipient + zone.size() / 2) % zone.size(), first);
    return first == self || second == self;
}

} // namespace Radishplank
