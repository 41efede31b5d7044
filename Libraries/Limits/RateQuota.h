#pragma once

#include <Core/Core.h>

#include <map>
#include <string>

namespace Radishplank {

/// Duration of a loan of quota.
inline constexpr Milliseconds loanDuration{2'000};

/// One process's quota of a rate limit: the rate that it owns, lends and borrows.
///
/// The owned rate is limit / processes. A loan is a lease: the lender counts its duration from its
/// response, the borrower from before its request. So the borrower stops using the loan first, even
/// if messages are delayed or lost or a process is paused, and the sum of the rates that all
/// processes use never exceeds the limit. Pure.
class RateQuota
{
public:
    void setOwned(double requestsPerSecond) { m_owned = requestsPerSecond; }
    [[nodiscard]] double owned() const { return m_owned; }

    /// Records the demand of the last period, which determines how much can be lent.
    void noteDemand(double requestsPerSecond);
    /// Returns the rate to borrow; 0 if the owned rate suffices.
    [[nodiscard]] double wanted(TimePoint now);
    /// Lends up to the wanted rate and returns the rate lent. A new loan to the same borrower
    /// replaces the earlier one at the borrower, but both count here until they have expired.
    double lend(const NodeId &borrower, double wanted, TimePoint now);
    /// Adds a loan; it replaces the earlier one from the same lender.
    void borrow(const NodeId &lender, double requestsPerSecond, TimePoint requestedAt);

    /// Returns the rate that this process may use now.
    [[nodiscard]] double rate(TimePoint now);

private:
    struct Loan
    {
        double requestsPerSecond = 0;
        TimePoint expiresAt;
    };

    [[nodiscard]] double lentOut(TimePoint now);
    [[nodiscard]] double borrowed(TimePoint now);

    double m_owned = 0;
    double m_demand = 0;
    std::multimap<NodeId, Loan> m_lent;
    std::map<NodeId, Loan> m_borrowed;
};

} // namespace Radishplank
