#pragma once

#include <Core/Clock.h>
#include <Store/ObjectStore.h>

#include <string>
#include <unordered_map>

namespace Radishplank {

/// Detects that a lease held by another process has expired.
///
/// A lease has expired when its object has kept one version for the lease's duration plus a margin,
/// measured on this process's monotonic clock, so clocks need not be synchronized. Performs no I/O.
class LeaseObserver
{
public:
    explicit LeaseObserver(Duration duration)
        : m_duration(duration)
    {
    }

    /// Records the observed version and returns whether the lease has expired.
    bool hasExpired(const std::string &key, Version version, TimePoint now);
    void forget(const std::string &key) { m_observations.erase(key); }

private:
    struct Observation
    {
        Version version = noVersion;
        TimePoint since;
    };

    Duration m_duration;
    std::unordered_map<std::string, Observation> m_observations;
};

} // namespace Radishplank
