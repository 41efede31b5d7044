#include <Gateway/CrashLedger.h>

#include <algorithm>
#include <utility>

namespace Radishplank {

namespace {

/// Upstreams that end within so short a time of each other may have a cause in common. Covers the
/// way between regions and the time until a process has read all that it was sent.
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

bool CrashLedger::Crash::isSameEnd(const Crash &other) const
{
    return observation == other.observation
           || (upstreamStart == other.upstreamStart
               && timeBetween(at, other.at) <= commonCauseWindow);
}

CrashLedger::CrashLedger(Duration memory, std::size_t maxCalls)
    : m_memory(memory)
    , m_maxCalls(maxCalls)
{
}

void CrashLedger::noteCrash(std::uint64_t call, const UpstreamInfo &upstream, TimePoint at)
{
    bool isUrgent = false;
    {
        const std::scoped_lock lock(m_mutex);
        forgetOld(at);
        // One more at a process that has not heard of these would be one too many.
        const Crash crash{upstreamStartHash(upstream), threadRandomEngine()(), at, true};
        isUrgent = add(call, crash) + 1 >= loneCrashesToRefuse;
    }
    if (isUrgent && onUrgentNews)
        onUrgentNews();
}

std::size_t CrashLedger::add(std::uint64_t call, const Crash &crash)
{
    const auto isSame = [&](const Crash &known) { return known.isSameEnd(crash); };
    if (std::none_of(m_ends.begin(), m_ends.end(), isSame)) {
        if (m_ends.size() >= m_maxCalls)
            m_ends.erase(m_ends.begin());
        m_ends.push_back(crash);
    }
    if (!m_records.contains(call) && m_records.size() >= m_maxCalls)
        forgetLeastSuspect();
    auto &record = m_records[call];
    if (record.answeredAt)
        return 0;
    if (std::none_of(record.crashes.begin(), record.crashes.end(), isSame))
        record.crashes.push_back(crash);
    record.lastCrash = std::max(record.lastCrash, crash.at);
    return record.crashes.size();
}

void CrashLedger::forgetLeastSuspect()
{
    const auto rank = [](const Record &record) {
        return std::pair(record.crashes.size(), record.lastUse());
    };
    m_records.erase(std::min_element(m_records.begin(), m_records.end(),
                                     [&](const auto &left, const auto &right) {
                                         return rank(left.second) < rank(right.second);
                                     }));
}

void CrashLedger::forgetOld(TimePoint now)
{
    std::erase_if(m_records,
                  [&](const auto &entry) { return entry.second.lastUse() + m_memory <= now; });
    std::erase_if(m_ends, [&](const Crash &end) { return end.at + m_memory <= now; });
}

void CrashLedger::noteAnswered(std::uint64_t call, TimePoint at)
{
    const std::scoped_lock lock(m_mutex);
    clear(call, at, true);
}

void CrashLedger::clear(std::uint64_t call, TimePoint at, bool isOwn)
{
    const auto found = m_records.find(call);
    if (found == m_records.end() || found->second.answeredAt)
        return;
    found->second.crashes.clear();
    found->second.answeredAt = at;
    found->second.isAnswerOwn = isOwn;
}

std::optional<Duration> CrashLedger::refusedFor(std::uint64_t call, TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_records.find(call);
    if (found == m_records.end() || !isRefused(found->second, now))
        return {};
    return found->second.lastCrash + m_memory - now;
}

std::size_t CrashLedger::refusedCalls(TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_records.begin(), m_records.end(),
                          [&](const auto &entry) { return isRefused(entry.second, now); }));
}

bool CrashLedger::isRefused(const Record &record, TimePoint now) const
{
    const auto &crashes = record.crashes;
    if (crashes.size() < loneCrashesToRefuse || record.lastCrash + m_memory <= now)
        return false;
    if (crashes.size() >= crashesToRefuse)
        return true;
    const auto lone = std::count_if(crashes.begin(), crashes.end(),
                                    [&](const Crash &crash) { return isLone(record, crash); });
    return static_cast<std::size_t>(lone) >= loneCrashesToRefuse;
}

bool CrashLedger::isLone(const Record &record, const Crash &crash) const
{
    const auto isElsewhere = [&](const Crash &end) {
        return std::none_of(record.crashes.begin(), record.crashes.end(),
                            [&](const Crash &own) { return own.isSameEnd(end); });
    };
    return std::none_of(m_ends.begin(), m_ends.end(), [&](const Crash &end) {
        return timeBetween(end.at, crash.at) <= commonCauseWindow && isElsewhere(end);
    });
}

CrashNews CrashLedger::takeNews(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    CrashNews news;
    std::vector<Records::const_iterator> recent;
    std::vector<Records::const_iterator> refused;
    for (auto it = m_records.cbegin(); it != m_records.cend(); ++it) {
        const auto &record = it->second;
        if (isRefused(record, now))
            refused.push_back(it);
        else if (!record.crashes.empty() && now - record.lastCrash <= tellingTime)
            recent.push_back(it);
        const bool isNewlyAnswered = record.isAnswerOwn && now - *record.answeredAt <= tellingTime;
        if (isNewlyAnswered && news.answered.size() < maxCrashesTold)
            news.answered.push_back(it->first);
    }
    const auto tell = [&](Records::const_iterator entry, bool tellsPeers) {
        for (const auto &crash : entry->second.crashes) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - crash.at);
            if (crash.isOwn || tellsPeers)
                news.crashes.push_back({entry->first, crash.upstreamStart, crash.observation, age});
        }
    };
    // A process that starts learns from any other what is refused; by turns, if that is much.
    std::stable_partition(refused.begin(), refused.end(),
                          [&](auto entry) { return entry->first > m_lastRefusedTold; });
    std::stable_sort(recent.begin(), recent.end(), [](auto left, auto right) {
        return left->second.crashes.size() > right->second.crashes.size();
    });
    for (const auto entry : refused) {
        if (news.crashes.size() >= maxCrashesTold / 2)
            break;
        tell(entry, true);
        m_lastRefusedTold = entry->first;
    }
    for (const auto entry : recent) {
        if (news.crashes.size() >= maxCrashesTold)
            break;
        tell(entry, false);
    }
    return news;
}

void CrashLedger::take(const CrashNews &news, TimePoint now)
{
    if (news.crashes.empty() && news.answered.empty())
        return;
    const std::scoped_lock lock(m_mutex);
    for (const auto &notice : news.crashes) {
        if (notice.age >= Milliseconds(0) && notice.age < m_memory)
            add(notice.call, {notice.upstreamStart, notice.observation, now - notice.age, false});
    }
    for (const auto call : news.answered)
        clear(call, now, false);
}

} // namespace Radishplank
