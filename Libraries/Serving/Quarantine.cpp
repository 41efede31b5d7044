#include <Serving/Quarantine.h>

#include <algorithm>

namespace Radishplank {

Quarantine::Quarantine(Duration retention, std::size_t maxFingerprints)
    : m_retention(retention)
    , m_maxFingerprints(maxFingerprints)
{
}

void Quarantine::noteCrash(const std::string &fingerprint, const AttemptId &attempt, TimePoint at)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_records.contains(fingerprint) && m_records.size() >= m_maxFingerprints) {
        const auto oldest = std::min_element(m_records.begin(), m_records.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.last < right.second.last;
                                             });
        m_records.erase(oldest);
    }
    auto &record = m_records[fingerprint];
    record.attempts.insert(attempt);
    record.last = std::max(record.last, at);
}

void Quarantine::noteSuccess(const std::string &fingerprint)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end() && found->second.attempts.size() < crashesToQuarantine)
        m_records.erase(found);
}

bool Quarantine::isSuspect(const std::string &fingerprint, TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return find(fingerprint, now) != nullptr;
}

std::optional<Duration> Quarantine::quarantinedFor(const std::string &fingerprint,
                                                   TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto *record = find(fingerprint, now);
    if (record == nullptr || record->attempts.size() < crashesToQuarantine)
        return {};
    return record->last + m_retention - now;
}

std::vector<CrashNotice> Quarantine::notices(TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<CrashNotice> result;
    for (const auto &[fingerprint, record] : m_records) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - record.last);
        if (age >= m_retention)
            continue;
        for (const auto &attempt : record.attempts)
            result.push_back({fingerprint, attempt, age});
    }
    return result;
}

void Quarantine::merge(const std::vector<CrashNotice> &notices, TimePoint now)
{
    for (const auto &notice : notices) {
        if (notice.age < m_retention)
            noteCrash(notice.fingerprint, notice.attempt, now - notice.age);
    }
}

void Quarantine::expire(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_records,
                  [&](const auto &item) { return item.second.last + m_retention <= now; });
}

const Quarantine::CrashRecord *Quarantine::find(const std::string &fingerprint, TimePoint now) const
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.last + m_retention <= now)
        return nullptr;
    return &found->second;
}

} // namespace Radishplank
