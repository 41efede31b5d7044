#pragma once

#include <Control/Control.h>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Radishplank {

/// Tracks requests that were in flight when upstreams crashed, and bars those that do so
/// repeatedly.
///
/// A crash is identified by the attempt that it interrupted, so duplicate notices of a crash count
/// once. Thread-safe.
class Quarantine
{
public:
    /// Number of crashes after which a fingerprint is barred.
    static constexpr std::size_t crashesToQuarantine = 2;

    Quarantine(Duration retention, std::size_t maxFingerprints);

    void noteCrash(const std::string &fingerprint, const AttemptId &attempt, TimePoint at);
    /// Clears the suspicion of a request that has completed, unless it is barred.
    void noteSuccess(const std::string &fingerprint);
    [[nodiscard]] bool isSuspect(const std::string &fingerprint, TimePoint now) const;
    /// Returns how much longer the request is barred, or nothing if it is not.
    [[nodiscard]] std::optional<Duration> quarantinedFor(const std::string &fingerprint,
                                                         TimePoint now) const;
    [[nodiscard]] std::vector<CrashNotice> notices(TimePoint now) const;
    void merge(const std::vector<CrashNotice> &notices, TimePoint now);
    void expire(TimePoint now);

private:
    struct CrashRecord
    {
        std::set<AttemptId> attempts;
        TimePoint last;
    };

    [[nodiscard]] const CrashRecord *find(const std::string &fingerprint, TimePoint now) const;

    mutable std::mutex m_mutex;
    Duration m_retention;
    std::size_t m_maxFingerprints;
    std::map<std::string, CrashRecord> m_records;
};

} // namespace Radishplank
