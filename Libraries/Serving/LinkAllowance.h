#pragma once

#include <Core/Clock.h>

#include <cstddef>
#include <mutex>

namespace Radishplank {

/// The bytes of the link between regions that batch work of this process may use.
///
/// What an item moves is known only afterwards, so it is charged as it moves, and new items start
/// only while nothing is owed. Over any time t the items started use at most
/// bytesPerSecond * (t + burst seconds), plus what those in flight still move. Safe from any
/// thread.
class LinkAllowance
{
public:
    /// 0 bytes a second: batch never leaves its region.
    LinkAllowance(double fleetBytesPerSecond, TimePoint now);

    /// Sets how many processes share the fleet's bytes.
    void setMembers(std::size_t count, TimePoint now);
    /// Tells whether an item may start across the link.
    [[nodiscard]] bool mayUse(TimePoint now) const;
    void charge(std::size_t bytes, TimePoint now);

private:
    [[nodiscard]] double balanceAt(TimePoint now) const;

    double m_fleetBytesPerSecond;
    mutable std::mutex m_mutex;
    double m_bytesPerSecond;
    double m_balance = 0;
    TimePoint m_balancedAt;
};

} // namespace Radishplank
