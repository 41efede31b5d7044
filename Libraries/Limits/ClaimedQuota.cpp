#include <Limits/ClaimedQuota.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// One in this many parts of the limit is divided into equal fixed shares.
constexpr std::int64_t fixedShareDivisor = 10;
/// Far more than the clocks of two machines drift apart during one lease.
constexpr Milliseconds leaseSafetyMargin{600};
constexpr Milliseconds renewalInterval{2'500};
/// While claims of other processes are refused, unused quota is released sooner.
constexpr Milliseconds scarceRenewalInterval{700};
/// The limit is scarce when less than one in this many parts of it is unclaimed.
constexpr std::int64_t scarcityDivisor = 10;

} // namespace

ClaimedQuota::ClaimedQuota(NodeId self)
    : m_self(std::move(self))
{
}

void ClaimedQuota::configure(std::int64_t limit, std::size_t processes)
{
    m_limit = limit;
    m_processes = processes;
}

std::int64_t ClaimedQuota::fixedShare() const
{
    if (m_processes == 0)
        return 0;
    return m_limit / fixedShareDivisor / static_cast<std::int64_t>(m_processes);
}

std::int64_t ClaimedQuota::usableClaim(Duration now) const
{
    const bool isValid = m_confirmedAt && now - *m_confirmedAt < claimLease;
    return isValid ? m_claimed : 0;
}

std::int64_t ClaimedQuota::headroom(Duration now) const
{
    return fixedShare() + usableClaim(now) - m_used;
}

bool ClaimedQuota::mustRenew(Duration now) const
{
    if (m_claimed == 0 && m_used <= fixedShare())
        return false;
    const auto interval = m_isScarce ? scarceRenewalInterval : renewalInterval;
    return !m_confirmedAt || now - *m_confirmedAt >= interval || m_used > fixedShare() + m_claimed;
}

void ClaimedQuota::capToStoredClaim(const ClaimSet &current)
{
    const auto own = current.claims.find(m_self);
    m_claimed = std::min(m_claimed, own == current.claims.end() ? 0 : own->second.amount);
}

bool ClaimedQuota::hasExpired(const NodeId &node, const Claim &claim, Duration now)
{
    auto &observed = m_observedClaims[node];
    // If this process has not checked for a while, another process may be about to take over the
    // work of a failed one, so the claim has to be observed for a whole lease again.
    const bool hasCheckedRecently = now - observed.lastCheckedAt < claimLease / 2;
    observed.lastCheckedAt = now;
    if (observed.writeId != claim.writeId || !hasCheckedRecently
        || m_reachablePeers.contains(node)) {
        observed.writeId = claim.writeId;
        observed.unchangedSince = now;
        return false;
    }
    return now - observed.unchangedSince >= claimLease + leaseSafetyMargin;
}

std::variant<ClaimSet, ClaimedQuota::Shortfall>
ClaimedQuota::plan(const ClaimSet &current, std::int64_t needed, std::string writeId, Duration now)
{
    capToStoredClaim(current);
    ClaimSet claimSet;
    std::int64_t claimedByOthers = 0;
    for (const auto &[node, claim] : current.claims) {
        if (node == m_self || hasExpired(node, claim, now))
            continue;
        claimedByOthers += claim.amount;
        claimSet.claims[node] = claim;
    }
    std::erase_if(m_observedClaims,
                  [&](const auto &observed) { return !current.claims.contains(observed.first); });

    const auto claimable
            = std::max<std::int64_t>(0, m_limit - m_limit / fixedShareDivisor - claimedByOthers);
    const auto wanted = std::max<std::int64_t>(0, m_used + needed - fixedShare());
    if (needed > 0 && wanted > claimable) {
        m_isScarce = true;
        return Shortfall{wanted - claimable};
    }
    // Claims slightly more than needed, so that the next jobs need no call to the store.
    const auto remaining = std::max<std::int64_t>(0, claimable - wanted);
    const auto processes = static_cast<std::int64_t>(std::max<std::size_t>(1, m_processes));
    const auto amount = wanted == 0 ? 0 : wanted + remaining / (2 * processes);
    m_isScarce = remaining < m_limit / scarcityDivisor;
    m_claimed = std::min(m_claimed, amount);
    if (amount > 0)
        claimSet.claims[m_self] = {amount, std::move(writeId)};
    return claimSet;
}

void ClaimedQuota::confirm(const ClaimSet &written, Duration startedAt)
{
    const auto own = written.claims.find(m_self);
    m_claimed = own == written.claims.end() ? 0 : own->second.amount;
    m_confirmedAt = startedAt;
}

} // namespace Radishplank
