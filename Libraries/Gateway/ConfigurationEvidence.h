#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <optional>

namespace Radishplank {

/// Evidence of how recently the known configuration was the newest one.
///
/// A credential may be used for a limited time after the configuration that revokes it is in force.
/// A process that cannot show that its configuration was the newest within that time must refuse
/// calls with credentials. What counts is when the client sent the call, and a call is always sent
/// before it is checked; so one check at any time after the call's arrival suffices. Pure; times
/// are those of BootClock, which also advances while the machine is suspended. Used on one thread.
class ConfigurationEvidence
{
public:
    /// Without a revocation time, every known configuration suffices.
    explicit ConfigurationEvidence(Milliseconds revocationTime);

    [[nodiscard]] bool isRequired() const { return m_revocationTime.count() > 0; }
    /// Notes that `version` was the newest configuration at some time at or after `at`.
    void confirm(std::uint64_t version, Duration at);
    /// Returns whether a process with the configuration `known` may serve calls with credentials.
    [[nodiscard]] bool suffices(std::uint64_t known, Duration now) const;
    /// Returns whether the configuration `known` is at least the newest one of the time `at`.
    [[nodiscard]] bool covers(std::uint64_t known, Duration at) const;
    /// Returns the confirmed version; 0 if none is.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Returns the age of the evidence, or nothing if there is none.
    [[nodiscard]] std::optional<Milliseconds> age(Duration now) const;
    /// Returns whether half of the time for which the evidence suffices is over.
    [[nodiscard]] bool isAging(Duration now) const;

private:
    const Milliseconds m_revocationTime;
    std::uint64_t m_version = 0;
    Duration m_confirmedAt{};
};

} // namespace Radishplank
