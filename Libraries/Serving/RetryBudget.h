#pragma once

#include <mutex>

namespace Radishplank {

/// Whether the upstream that a retry would go to has a free slot.
enum class RetryRoom { Free, Full };

/// Bounds retries, so that an outage is not amplified. Thread-safe.
///
/// The load it answers: upstreams that are lost leave their calls to the others. Those that find a
/// free slot go on there, since nobody waits for it; beyond that, retries displace first attempts
/// and are bounded to a share of the successes.
class RetryBudget
{
public:
    /// Each success earns `share` of a retry, up to `reserve` retries, which is also the start.
    RetryBudget(double share, double reserve);

    void noteSuccess();
    /// Returns whether a call may be tried again; takes it from the budget where no slot is free.
    [[nodiscard]] bool takeRetry(RetryRoom room);
    [[nodiscard]] double available() const;

private:
    mutable std::mutex m_mutex;
    double m_share;
    double m_reserve;
    double m_available;
};

} // namespace Radishplank
