#pragma once

#include <Core/Clock.h>
#include <Store/ObjectStore.h>

#include <string>
#include <unordered_map>

namespace Radishplank {

/// Tells when a lease held by another process has lapsed.
///
/// A lease has lapsed when its object has stayed at one version for the lease's duration and a
/// margin, by this process's own monotonic clock. So clocks need not agree. Pure.
class LeaseObserver
{
public:
    explicit LeaseObserver(Duration duration)
        : m_duration(duration)
    {
    }

    /// Notes the version now seen and returns whether the lease has lapsed.
    bool hasLapsed(const std::string &key, Version version, TimePoint now);
    void forget(const std::string &key) { m_seen.erase(key); }

private:
    struct Seen
    {
        Version version = noVersion;
        TimePoint since;
    };

    Duration m_duration;
    std::unordered_map<std::string, Seen> m_seen;
};

} // namespace Radishplank
