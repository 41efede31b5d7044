#include <Gateway/CrashTracker.h>

#include <algorithm>
#include <utility>

namespace Radishplank {

namespace {

/// Crashes within this time of each other may have a common cause. Covers the latency between
/// regions and the time until a process has read everything that it was sent.
constexpr Milliseconds commonCauseWindow{250};

Duration timeBetween(TimePoint left, TimePoint right)
{
    return left < right ? right - left : left - right;
}

} // namespace

std::uint64_t upstreamStartHash(const UpstreamInfo &upstream)
{
    return stableHash(upstream.id.text(), static_cast<std::uint64_t>(upstream.startedAt));
}

bool CrashTracker::Crash::isSameCrash(const Crash &other) const
{
    return observation == other.observation
           || (upstreamStart == other.upstreamStart
               && timeBetween(at, other.at) <= commonCauseWindow);
}

CrashTracker::CrashTracker(Duration retention, std::size_t maxCalls)
    : m_retention(retention)
    , m_maxCalls(maxCalls)
{
}

void CrashTracker::noteCrash(std::uint64_t call, const UpstreamInfo &upstream, TimePoint at)
{
    bool isUrgent = false;
    {
        const std::scoped_lock lock(m_mutex);
        removeExpired(at);
        // Report before the limit is reached: a process that does not know of these crashes would
        // let the call crash another upstream.
        const Crash crash{upstreamStartHash(upstream), threadRandomEngine()(), at, true};
        isUrgent = add(call, crash) + 1 >= isolatedCrashesToRefuse;
    }
    if (isUrgent && onUrgentReport)
        onUrgentReport();
}

std::size_t CrashTracker::add(std::uint64_t call, const Crash &crash)
{
    const auto isSame = [&](const Crash &known) { return known.isSameCrash(crash); };
    if (std::none_of(m_allCrashes.begin(), m_allCrashes.end(), isSame)) {
        if (m_allCrashes.size() >= m_maxCalls)
            m_allCrashes.erase(m_allCrashes.begin());
        m_allCrashes.push_back(crash);
    }
    if (!m_records.contains(call) && m_records.size() >= m_maxCalls)
        evictLeastSuspect();
    auto &record = m_records[call];
    if (record.answeredAt)
        return 0;
    if (std::none_of(record.crashes.begin(), record.crashes.end(), isSame))
        record.crashes.push_back(crash);
    record.lastCrash = std::max(record.lastCrash, crash.at);
    return record.crashes.size();
}

void CrashTracker::evictLeastSuspect()
{
    const auto rank = [](const Record &record) {
        return std::pair(record.crashes.size(), record.lastUpdate());
    };
    m_records.erase(std::min_element(m_records.begin(), m_records.end(),
                                     [&](const auto &left, const auto &right) {
                                         return rank(left.second) < rank(right.second);
                                     }));
}

void CrashTracker::removeExpired(TimePoint now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        return entry.second.lastUpdate() + m_retention <= now;
    });
    std::erase_if(m_allCrashes, [&](const Crash &other) { return other.at + m_retention <= now; });
}

void CrashTracker::noteAnswered(std::uint64_t call, TimePoint at)
{
    const std::scoped_lock lock(m_mutex);
    markAnswered(call, at, true);
}

void CrashTracker::markAnswered(std::uint64_t call, TimePoint at, bool isOwn)
{
    const auto found = m_records.find(call);
    if (found == m_records.end() || found->second.answeredAt)
        return;
    found->second.crashes.clear();
    found->second.answeredAt = at;
    found->second.isAnswerOwn = isOwn;
}

std::optional<Duration> CrashTracker::remainingRefusal(std::uint64_t call, TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_records.find(call);
    if (found == m_records.end() || !isRefused(found->second, now))
        return {};
    return found->second.lastCrash + m_retention - now;
}

std::size_t CrashTracker::refusedCalls(TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_records.begin(), m_records.end(),
                          [&](const auto &entry) { return isRefused(entry.second, now); }));
}

bool CrashTracker::isRefused(const Record &record, TimePoint now) const
{
    const auto &crashes = record.crashes;
    if (crashes.size() < isolatedCrashesToRefuse || record.lastCrash + m_retention <= now)
        return false;
    if (crashes.size() >= crashesToRefuse)
        return true;
    const auto isolated = std::count_if(crashes.begin(), crashes.end(), [&](const Crash &crash) {
        return isIsolated(record, crash);
    });
    return static_cast<std::size_t>(isolated) >= isolatedCrashesToRefuse;
}

bool CrashTracker::isIsolated(const Record &record, const Crash &crash) const
{
    const auto isOfOtherCall = [&](const Crash &other) {
        return std::none_of(record.crashes.begin(), record.crashes.end(),
                            [&](const Crash &own) { return own.isSameCrash(other); });
    };
    return std::none_of(m_allCrashes.begin(), m_allCrashes.end(), [&](const Crash &other) {
        return timeBetween(other.at, crash.at) <= commonCauseWindow && isOfOtherCall(other);
    });
}

CrashReport CrashTracker::nextReport(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    CrashReport report;
    std::vector<Records::const_iterator> recent;
    std::vector<Records::const_iterator> refused;
    for (auto it = m_records.cbegin(); it != m_records.cend(); ++it) {
        const auto &record = it->second;
        if (isRefused(record, now))
            refused.push_back(it);
        else if (!record.crashes.empty() && now - record.lastCrash <= reportDuration)
            recent.push_back(it);
        const bool isRecentlyAnswered
                = record.isAnswerOwn && now - *record.answeredAt <= reportDuration;
        if (isRecentlyAnswered && report.answered.size() < maxReportedCrashes)
            report.answered.push_back(it->first);
    }
    const auto append = [&](Records::const_iterator entry, bool includesPeers) {
        for (const auto &crash : entry->second.crashes) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - crash.at);
            if (crash.isOwn || includesPeers)
                report.crashes.push_back(
                        {entry->first, crash.upstreamStart, crash.observation, age});
        }
    };
    // Refused calls include the crashes seen by peers, so that a process that starts learns of them
    // from any peer. If there are too many for one report, successive reports rotate through them.
    std::stable_partition(refused.begin(), refused.end(),
                          [&](auto entry) { return entry->first > m_lastRefusedReported; });
    std::stable_sort(recent.begin(), recent.end(), [](auto left, auto right) {
        return left->second.crashes.size() > right->second.crashes.size();
    });
    for (const auto entry : refused) {
        if (report.crashes.size() >= maxReportedCrashes / 2)
            break;
        append(entry, true);
        m_lastRefusedReported = entry->first;
    }
    for (const auto entry : recent) {
        if (report.crashes.size() >= maxReportedCrashes)
            break;
        append(entry, false);
    }
    return report;
}

void CrashTracker::applyReport(const CrashReport &report, TimePoint now)
{
    if (report.crashes.empty() && report.answered.empty())
        return;
    const std::scoped_lock lock(m_mutex);
    for (const auto &crash : report.crashes) {
        if (crash.age >= Milliseconds(0) && crash.age < m_retention)
            add(crash.call, {crash.upstreamStart, crash.observation, now - crash.age, false});
    }
    for (const auto call : report.answered)
        markAnswered(call, now, false);
}

} // namespace Radishplank
