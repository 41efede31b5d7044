#pragma once

#include <Core/Core.h>

#include <map>
#include <string>

namespace Radishplank {

/// How long a loan of a rate lasts.
inline constexpr Milliseconds loanDuration{2'000};

/// One process's part of one rate limit: what it owns, has lent and has borrowed.
///
/// The owned part is limit / processes. A loan is a lease: the lender counts its time from when it
/// answers, the borrower from before it asked, so the borrower stops first, whatever is delayed,
/// lost or paused, and the sum that all processes use never passes the limit. Pure.
class RateLedger
{
public:
    void setOwned(double requestsPerSecond) { m_owned = requestsPerSecond; }
    [[nodiscard]] double owned() const { return m_owned; }

    /// Notes the demand of the last period, from which follows what can be spared.
    void noteDemand(double requestsPerSecond);
    /// Returns the rate that should be borrowed; 0 if the own part suffices.
    [[nodiscard]] double wanted(TimePoint now);
    /// Lends up to the wanted rate and returns what was lent. A loan to the same borrower again
    /// replaces the earlier one at the borrower, but counts here until both have run out.
    double lend(const NodeId &borrower, double wanted, TimePoint now);
    /// Takes a loan; it replaces the earlier one of the same lender.
    void borrow(const NodeId &lender, double requestsPerSecond, TimePoint askedAt);

    /// Returns the rate that this process may use now.
    [[nodiscard]] double rate(TimePoint now);

private:
    struct Loan
    {
        double requestsPerSecond = 0;
        TimePoint until;
    };

    [[nodiscard]] double lentOut(TimePoint now);
    [[nodiscard]] double borrowed(TimePoint now);

    double m_owned = 0;
    double m_demand = 0;
    std::multimap<NodeId, Loan> m_lent;
    std::map<NodeId, Loan> m_borrowed;
};

} // namespace Radishplank
