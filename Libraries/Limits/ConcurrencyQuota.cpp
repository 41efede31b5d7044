#include <Limits/ConcurrencyQuota.h>

#include <algorithm>

namespace Radishplank {

bool ConcurrencyQuota::start(TimePoint now)
{
    if (m_ownUsed < ownAvailable(now)) {
        m_ownUsed += 1;
        m_peak = std::max(m_peak, running());
        return true;
    }
    for (auto &[lender, loan] : m_borrowed) {
        if (now >= loan.expiresAt || loan.used >= loan.granted)
            continue;
        loan.used += 1;
        m_peak = std::max(m_peak, running());
        return true;
    }
    m_refused += 1;
    return false;
}

void ConcurrencyQuota::end(TimePoint now)
{
    // Slots are interchangeable, so the call that ends frees the most useful one: that of an
    // expired loan, else that of any loan, so that it can be returned to its lender.
    BorrowedSlots *freed = nullptr;
    for (auto &[lender, loan] : m_borrowed) {
        if (loan.used > 0 && (freed == nullptr || now >= loan.expiresAt))
            freed = &loan;
    }
    if (freed != nullptr)
        freed->used -= 1;
    else if (m_ownUsed > 0)
        m_ownUsed -= 1;
}

void ConcurrencyQuota::endPeriod()
{
    const auto newest = std::max(m_peak, running()) + m_refused;
    m_demand = std::max(newest, (newest + m_demand) / 2);
    m_peak = running();
    m_refused = 0;
}

std::int64_t ConcurrencyQuota::demand() const
{
    return std::max(m_demand, running());
}

std::int64_t ConcurrencyQuota::wanted(TimePoint now)
{
    std::int64_t held = 0;
    for (const auto &[lender, loan] : m_borrowed)
        held += loan.used;
    return std::max<std::int64_t>(0,
                                  demand() - std::max<std::int64_t>(0, ownAvailable(now)) - held);
}

bool ConcurrencyQuota::isBorrowing() const
{
    return std::any_of(m_borrowed.begin(), m_borrowed.end(),
                       [](const auto &item) { return item.second.mayBeLent; });
}

std::optional<SlotRequest> ConcurrencyQuota::requestLoan(const NodeId &lender, std::int64_t wanted)
{
    auto &loan = m_borrowed[lender];
    if (wanted == 0 && !loan.mayBeLent)
        return {};
    loan.mayBeLent = true;
    loan.sequence = ++m_lastSequence;
    loan.granted = loan.used;
    return SlotRequest{loan.sequence, loan.used, wanted};
}

void ConcurrencyQuota::borrow(const NodeId &lender, std::uint64_t sequence, std::int64_t granted,
                              TimePoint requestedAt)
{
    auto &loan = m_borrowed[lender];
    // A response to an earlier request is stale: a later request may have reported fewer held
    // slots to the lender.
    if (loan.sequence != sequence)
        return;
    loan.granted = granted;
    loan.mayBeLent = granted > 0;
    loan.expiresAt = requestedAt + loanDuration;
}

std::int64_t ConcurrencyQuota::lend(const NodeId &borrower, const SlotRequest &request,
                                    TimePoint now)
{
    auto &loan = m_lent[borrower];
    if (request.sequence <= loan.sequence && now < loan.expiresAt)
        return 0;
    loan = {request.sequence, request.held, now + loanDuration + m_callTime};
    const auto spare = ownAvailable(now) - std::max(m_ownUsed, demand());
    const auto extra
            = std::clamp<std::int64_t>(request.wanted, 0, std::max<std::int64_t>(0, spare));
    loan.slots = request.held + extra;
    return loan.slots;
}

std::int64_t ConcurrencyQuota::running() const
{
    std::int64_t total = m_ownUsed;
    for (const auto &[lender, loan] : m_borrowed)
        total += loan.used;
    return total;
}

std::int64_t ConcurrencyQuota::usable(TimePoint now)
{
    std::int64_t total = std::max<std::int64_t>(0, ownAvailable(now));
    for (const auto &[lender, loan] : m_borrowed)
        total += now < loan.expiresAt ? loan.granted : loan.used;
    return total;
}

std::int64_t ConcurrencyQuota::ownAvailable(TimePoint now)
{
    std::int64_t lent = 0;
    for (const auto &[borrower, loan] : m_lent)
        lent += now < loan.expiresAt ? loan.slots : 0;
    return m_owned - lent;
}

} // namespace Radishplank
