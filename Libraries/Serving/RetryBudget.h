#pragma once

#include <mutex>

namespace Radishplank {

/// Bounds retries to a share of the successes, so that an outage is not amplified. Thread-safe.
class RetryBudget
{
public:
    /// Each success earns `share` of a retry, up to `reserve` retries, which is also the start.
    RetryBudget(double share, double reserve);

    void noteSuccess();
    /// Takes one retry from the budget; false if none is left.
    [[nodiscard]] bool takeRetry();
    [[nodiscard]] double available() const;

private:
    mutable std::mutex m_mutex;
    double m_share;
    double m_reserve;
    double m_available;
};

} // namespace Radishplank
