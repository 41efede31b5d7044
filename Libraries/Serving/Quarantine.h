#pragma once

#include <Control/Control.h>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Radishplank {

/// Remembers requests that were in flight when upstreams crashed, and bars those that crash more.
///
/// Crashes are told apart by the attempt that was cut off, so hearing of one twice counts once.
/// Thread-safe.
class Quarantine
{
public:
    /// Number of crashes with one fingerprint that bar it.
    static constexpr std::size_t crashesToBar = 2;

    Quarantine(Duration memory, std::size_t maxFingerprints);

    void noteCrash(const std::string &fingerprint, const AttemptId &attempt, TimePoint at);
    /// Clears the suspicion of a request that has run to its end, unless it is barred.
    void noteSuccess(const std::string &fingerprint);
    [[nodiscard]] bool isSuspect(const std::string &fingerprint, TimePoint now) const;
    /// Returns how long the request is still barred, or nothing.
    [[nodiscard]] std::optional<Duration> barredFor(const std::string &fingerprint,
                                                    TimePoint now) const;
    [[nodiscard]] std::vector<CrashNotice> notices(TimePoint now) const;
    void take(const std::vector<CrashNotice> &notices, TimePoint now);
    void expire(TimePoint now);

private:
    struct Record
    {
        std::set<AttemptId> attempts;
        TimePoint last;
    };

    [[nodiscard]] const Record *find(const std::string &fingerprint, TimePoint now) const;

    mutable std::mutex m_mutex;
    Duration m_memory;
    std::size_t m_maxFingerprints;
    std::map<std::string, Record> m_records;
};

} // namespace Radishplank
