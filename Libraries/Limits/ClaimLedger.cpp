#include <Limits/ClaimLedger.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Part of the limit that is divided into fixed parts.
constexpr std::int64_t fixedShare = 10;
/// Clocks of two machines drift apart by far less than this over one lease.
constexpr Milliseconds leaseMargin{600};
constexpr Milliseconds renewalInterval{2'500};
/// While others are refused, what is not needed any more goes back sooner.
constexpr Milliseconds scarceRenewalInterval{700};
/// Less than one part in so many of the limit is left to claim.
constexpr std::int64_t scarceShare = 10;

} // namespace

ClaimLedger::ClaimLedger(NodeId self)
    : m_self(std::move(self))
{
}

void ClaimLedger::configure(std::int64_t limit, std::size_t processes)
{
    m_limit = limit;
    m_processes = processes;
}

std::int64_t ClaimLedger::fixedPart() const
{
    if (m_processes == 0)
        return 0;
    return m_limit / fixedShare / static_cast<std::int64_t>(m_processes);
}

std::int64_t ClaimLedger::usableClaim(Duration now) const
{
    const bool isValid = m_confirmedAt && now - *m_confirmedAt < claimLease;
    return isValid ? m_claimed : 0;
}

std::int64_t ClaimLedger::room(Duration now) const
{
    return fixedPart() + usableClaim(now) - m_used;
}

bool ClaimLedger::mustRenew(Duration now) const
{
    if (m_claimed == 0 && m_used <= fixedPart())
        return false;
    const auto interval = m_isScarce ? scarceRenewalInterval : renewalInterval;
    return !m_confirmedAt || now - *m_confirmedAt >= interval || m_used > fixedPart() + m_claimed;
}

void ClaimLedger::noteOwn(const ClaimSheet &current)
{
    const auto own = current.claims.find(m_self);
    m_claimed = std::min(m_claimed, own == current.claims.end() ? 0 : own->second.amount);
}

bool ClaimLedger::hasLapsed(const NodeId &node, const Claim &claim, Duration now)
{
    auto &seen = m_seen[node];
    // After a time without a look, the work of a process that is gone may be about to be taken
    // over.
    const bool hasLookedLately = now - seen.lastLookAt < claimLease / 2;
    seen.lastLookAt = now;
    if (seen.mark != claim.mark || !hasLookedLately || m_heard.contains(node)) {
        seen.mark = claim.mark;
        seen.since = now;
        return false;
    }
    return now - seen.since >= claimLease + leaseMargin;
}

std::variant<ClaimSheet, ClaimLedger::Shortage>
ClaimLedger::plan(const ClaimSheet &current, std::int64_t needed, std::string mark, Duration now)
{
    noteOwn(current);
    ClaimSheet sheet;
    std::int64_t others = 0;
    for (const auto &[node, claim] : current.claims) {
        if (node == m_self || hasLapsed(node, claim, now))
            continue;
        others += claim.amount;
        sheet.claims[node] = claim;
    }
    std::erase_if(m_seen, [&](const auto &seen) { return !current.claims.contains(seen.first); });

    const auto claimable = std::max<std::int64_t>(0, m_limit - m_limit / fixedShare - others);
    const auto wanted = std::max<std::int64_t>(0, m_used + needed - fixedPart());
    if (needed > 0 && wanted > claimable) {
        m_isScarce = true;
        return Shortage{wanted - claimable};
    }
    // A little beyond what is needed, so that the next jobs need no call.
    const auto left = std::max<std::int64_t>(0, claimable - wanted);
    const auto processes = static_cast<std::int64_t>(std::max<std::size_t>(1, m_processes));
    const auto amount = wanted == 0 ? 0 : wanted + left / (2 * processes);
    m_isScarce = left < m_limit / scarceShare;
    m_claimed = std::min(m_claimed, amount);
    if (amount > 0)
        sheet.claims[m_self] = {amount, std::move(mark)};
    return sheet;
}

void ClaimLedger::confirm(const ClaimSheet &written, Duration begunAt)
{
    const auto own = written.claims.find(m_self);
    m_claimed = own == written.claims.end() ? 0 : own->second.amount;
    m_confirmedAt = begunAt;
}

} // namespace Radishplank
