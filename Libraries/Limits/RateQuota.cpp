#include <Limits/RateQuota.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// A process keeps its demand times this factor, because demand varies from period to period.
constexpr double demandReserveFactor = 1.2;
/// Weight of the latest period in the smoothed demand.
constexpr double demandSmoothing = 0.5;

} // namespace

void RateQuota::noteDemand(double requestsPerSecond)
{
    m_demand = std::max(requestsPerSecond,
                        demandSmoothing * requestsPerSecond + (1 - demandSmoothing) * m_demand);
}

double RateQuota::wanted(TimePoint now)
{
    return std::max(0.0, m_demand * demandReserveFactor - (m_owned - lentOut(now)));
}

double RateQuota::lend(const NodeId &borrower, double wanted, TimePoint now)
{
    const double spare = m_owned - m_demand * demandReserveFactor - lentOut(now);
    // The new loan replaces the borrower's current one, so that quota can be lent again.
    double held = 0;
    const auto [begin, end] = m_lent.equal_range(borrower);
    for (auto loan = begin; loan != end; ++loan)
        held = std::max(held, loan->second.requestsPerSecond);
    const double lent = std::clamp(wanted, 0.0, std::max(0.0, spare + held));
    if (lent > 0)
        m_lent.emplace(borrower, Loan{lent, now + loanDuration});
    return lent;
}

void RateQuota::borrow(const NodeId &lender, double requestsPerSecond, TimePoint requestedAt)
{
    m_borrowed[lender] = {requestsPerSecond, requestedAt + loanDuration};
}

double RateQuota::rate(TimePoint now)
{
    return std::max(0.0, m_owned - lentOut(now)) + borrowed(now);
}

double RateQuota::lentOut(TimePoint now)
{
    std::erase_if(m_lent, [now](const auto &item) { return item.second.expiresAt <= now; });
    double total = 0;
    for (auto loan = m_lent.begin(); loan != m_lent.end();) {
        // The borrower uses one of its unexpired loans; which one depends on the responses
        // received.
        const auto last = m_lent.upper_bound(loan->first);
        double highest = 0;
        for (; loan != last; ++loan)
            highest = std::max(highest, loan->second.requestsPerSecond);
        total += highest;
    }
    return total;
}

double RateQuota::borrowed(TimePoint now)
{
    std::erase_if(m_borrowed, [now](const auto &item) { return item.second.expiresAt <= now; });
    double total = 0;
    for (const auto &[lender, loan] : m_borrowed)
        total += loan.requestsPerSecond;
    return total;
}

} // namespace Radishplank
