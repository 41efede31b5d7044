#pragma once

#include <mutex>

namespace Radishplank {

/// Whether the upstream chosen for a retry has a free slot.
enum class SlotAvailability { Free, Full };

/// Limits retries, so that they do not amplify an outage. Thread-safe.
///
/// When upstreams fail, their calls are retried at the others. Retries into free slots are not
/// limited, because no other call waits for those slots. Any further retry displaces a first
/// attempt, so these are limited to a share of the successful calls.
class RetryBudget
{
public:
    /// Each success adds `share` of a retry to the budget, up to its initial value of `reserve`.
    RetryBudget(double share, double reserve);

    void noteSuccess();
    /// Returns whether a call may be retried; consumes the budget only if no slot is free.
    [[nodiscard]] bool takeRetry(SlotAvailability availability);
    [[nodiscard]] double available() const;

private:
    mutable std::mutex m_mutex;
    double m_share;
    double m_reserve;
    double m_available;
};

} // namespace Radishplank
