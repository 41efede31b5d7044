#pragma once

#include <Core/Clock.h>

#include <cstddef>
#include <mutex>

namespace Radishplank {

/// Limits the bytes that batch work of this process transfers over the link between regions.
///
/// The size of a transfer is known only afterwards, so bytes are charged as they are transferred,
/// and new items start only while the balance is positive. Over any time t the items started
/// transfer at most bytesPerSecond * (t + burst seconds), plus what the items in flight still
/// transfer. Thread-safe.
class LinkAllowance
{
public:
    /// With 0 bytes per second, batch work never leaves its region.
    LinkAllowance(double fleetBytesPerSecond, TimePoint now);

    /// Sets how many processes share the bytes of the fleet.
    void setMembers(std::size_t count, TimePoint now);
    /// Returns whether an item may start at an upstream of another region.
    [[nodiscard]] bool mayUse(TimePoint now) const;
    void charge(std::size_t bytes, TimePoint now);

private:
    [[nodiscard]] double balanceAt(TimePoint now) const;

    double m_fleetBytesPerSecond;
    mutable std::mutex m_mutex;
    double m_bytesPerSecond;
    double m_balance = 0;
    TimePoint m_balanceTime;
};

} // namespace Radishplank
