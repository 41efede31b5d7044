#include <Gateway/UpstreamLimits.h>

#include <Limits/QuotaRules.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Radishplank {

namespace {

/// A process with a smaller part of a rate would send its requests too rarely to follow its load.
constexpr double minRequestsPerSecond = 1;
/// An upstream that wants no requests still gets a few: only an answer can end its limit.
constexpr double minLimitPerSecond = 0.25;
/// Requests that a process may send at once after a pause, as time at its part of the rate.
constexpr double burstSeconds = 0.25;
/// After the end of a limit, the rate grows by the limit in each rateGrowthTime until recoveryTime
/// has passed.
constexpr Milliseconds rateGrowthTime{1'000};
constexpr Milliseconds recoveryTime{4'000};
/// Peers hear of the end of a limit in several reports.
constexpr Milliseconds endReportTime{5'000};
/// What a report tells is older than its age says by the time that the report takes to arrive.
constexpr Milliseconds maxReportDelay{200};
/// A limit is forgotten if no answer has confirmed it for so long.
constexpr Milliseconds limitRetention{60'000};
constexpr std::size_t maxLimits = 10'000;
/// A granted request is sent within this time, so that the upstream gets it about when its rate
/// allows it.
constexpr Milliseconds grantLifetime{1'000};
/// Reports are datagrams, which may be lost, so several of them contain a grant.
constexpr Milliseconds grantReportTime{500};
/// A process with a part of the rate that fails is replaced within this time.
constexpr Milliseconds replacementTime{3'000};
/// Without grants, each process in need waits for this many turns of all of them.
constexpr double patienceTurns = 2;
/// Requests that are sent without a grant take at most a part of the rate: one in so many.
constexpr double unaidedRequestSpacing = 4;

} // namespace

template<typename Limits>
auto *UpstreamLimits::findIn(Limits &limits, const UpstreamStart &upstream)
{
    const auto found = limits.find(upstream.upstream);
    const bool isSameStart = found != limits.end() && found->second.startedAt == upstream.startedAt;
    return isSameStart ? &found->second : nullptr;
}

UpstreamLimits::UpstreamLimits(std::uint64_t self, Locality locality)
    : m_locality(std::move(locality))
    , m_self{self, m_locality.zone}
{
}

void UpstreamLimits::setMembers(std::span<const LimitMember> others, std::size_t processCount)
{
    if (processCount == m_processCount && std::ranges::equal(others, m_others))
        return;
    m_others.assign(others.begin(), others.end());
    m_processCount = processCount;
    m_membersVersion += 1;
}

bool UpstreamLimits::noteAnswer(const UpstreamStart &from, std::optional<double> perSecond,
                                AnswerKind kind, TimePoint sentAt, TimePoint now)
{
    const auto *known = findIn(m_limits, from);
    const bool wasLimited = known != nullptr && !known->hasEnded;
    if (perSecond) {
        set({from.upstream, from.startedAt, perSecond, {}}, now, true, now);
        return !wasLimited;
    }
    // Answers may overtake each other, and a refusal need not come from the upstream's own load
    // control; only a later request that was run shows that the limit has ended.
    if (!wasLimited || kind != AnswerKind::Success || sentAt <= known->notedAt)
        return false;
    set({from.upstream, from.startedAt, {}, {}}, now, true, now);
    return true;
}

void UpstreamLimits::applyReport(std::span<const UpstreamLimitReport> limits, TimePoint now)
{
    for (const auto &limit : limits) {
        const auto notedAt = now - limit.age;
        const auto known = m_limits.find(limit.upstream);
        if (known == m_limits.end() || limit.startedAt > known->second.startedAt) {
            set(limit, notedAt, false, now);
            continue;
        }
        // In doubt, a limit has ended: otherwise, a process that hears of an earlier answer last
        // would keep a limit that nobody else knows any more.
        const bool isEnd = !limit.perSecond;
        Duration margin{0};
        if (isEnd != known->second.hasEnded)
            margin = isEnd ? -maxReportDelay : maxReportDelay;
        if (limit.startedAt == known->second.startedAt && notedAt > known->second.notedAt + margin)
            set(limit, notedAt, false, now);
    }
}

std::vector<UpstreamLimitReport> UpstreamLimits::report(TimePoint now) const
{
    // Only what this process has learnt itself: news that come back through a peer would be taken
    // for newer than they are.
    std::vector<UpstreamLimitReport> result;
    for (const auto &[upstream, limit] : m_limits) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - limit.notedAt);
        if (!limit.isFirstHand || age > (limit.hasEnded ? endReportTime : limitRetention))
            continue;
        const auto perSecond = limit.hasEnded ? std::optional<double>() : limit.perSecond;
        result.push_back({upstream, limit.startedAt, perSecond, age});
    }
    return result;
}

void UpstreamLimits::set(const UpstreamLimitReport &limit, TimePoint notedAt, bool isFirstHand,
                         TimePoint now)
{
    if (m_limits.size() >= maxLimits) {
        std::erase_if(m_limits, [&](const auto &entry) {
            return now - entry.second.notedAt > limitRetention;
        });
    }
    auto known = m_limits.find(limit.upstream);
    const bool isSameStart = known != m_limits.end() && known->second.startedAt == limit.startedAt;
    if (!limit.perSecond) {
        if (!isSameStart)
            return;
        known->second.hasEnded = true;
    } else if (!isSameStart || known->second.hasEnded) {
        known = m_limits.insert_or_assign(limit.upstream,
                                          Limit{limit.startedAt, *limit.perSecond, false, notedAt,
                                                isFirstHand, RequestAllowance(now)})
                        .first;
    } else if (known->second.perSecond != *limit.perSecond) {
        known->second.perSecond = *limit.perSecond;
        known->second.membersVersion = 0;
    }
    known->second.notedAt = notedAt;
    known->second.isFirstHand = isFirstHand;
}

bool UpstreamLimits::isRestricting(const Limit &limit, TimePoint now)
{
    return now - limit.notedAt <= (limit.hasEnded ? recoveryTime : limitRetention);
}

bool UpstreamLimits::isRestricted(const UpstreamStart &upstream, TimePoint now) const
{
    const auto *limit = findIn(m_limits, upstream);
    return limit != nullptr && isRestricting(*limit, now);
}

bool UpstreamLimits::isAnyRestricted(TimePoint now) const
{
    return std::any_of(m_limits.begin(), m_limits.end(),
                       [&](const auto &entry) { return isRestricting(entry.second, now); });
}

double UpstreamLimits::Limit::rate() const
{
    return std::max(minLimitPerSecond, perSecond);
}

bool UpstreamLimits::Limit::isHolder(std::uint64_t node) const
{
    return std::binary_search(holders.begin(), holders.end(), node);
}

std::optional<Duration> UpstreamLimits::waitTime(const UpstreamStart &upstream,
                                                 const ZoneName &zone, TimePoint now)
{
    auto *limit = findIn(m_limits, upstream);
    if (limit == nullptr || !isRestricting(*limit, now))
        return {};
    if (limit->hasEnded || limit->membersVersion != m_membersVersion)
        divide(*limit, upstream.upstream, zone, now);
    while (!limit->granted.empty() && limit->granted.front() <= now)
        limit->granted.pop_front();
    if (!limit->granted.empty())
        return Duration(0);
    if (limit->hasPart)
        return limit->allowance.waitTime(now);
    if (now >= limit->unaidedRequestAt)
        return Duration(0);
    const std::chrono::duration<double> turns(limit->processesWithCalls / limit->rate());
    return std::chrono::ceil<Duration>(turns);
}

bool UpstreamLimits::mayBeGranted(const UpstreamStart &upstream) const
{
    const auto *limit = findIn(m_limits, upstream);
    return limit != nullptr && !limit->hasPart;
}

void UpstreamLimits::noteSent(const UpstreamStart &upstream, TimePoint now)
{
    auto *limit = findIn(m_limits, upstream);
    if (limit == nullptr)
        return;
    if (!limit->granted.empty())
        limit->granted.pop_front();
    else if (limit->hasPart)
        limit->allowance.take(now);
    limit->unmetSince.reset();
    limit->unaidedRequestAt = TimePoint::max();
}

bool UpstreamLimits::serveNeeds(const UpstreamStart &upstream, const ZoneName &zone,
                                RequestNeed own, std::span<const PeerNeed> peers, TimePoint now)
{
    auto *limit = findIn(m_limits, upstream);
    if (limit == nullptr || !isRestricting(*limit, now))
        return false;
    if (limit->hasEnded || limit->membersVersion != m_membersVersion)
        divide(*limit, upstream.upstream, zone, now);
    if (limit->hasPart)
        return grant(*limit, upstream, own, peers, now);
    scheduleUnaidedRequest(*limit, own, peers, now);
    return false;
}

bool UpstreamLimits::isMember(std::uint64_t node) const
{
    return std::any_of(m_others.begin(), m_others.end(),
                       [&](const LimitMember &other) { return other.node == node; });
}

std::size_t UpstreamLimits::positionIn(const Limit &limit) const
{
    const auto position = std::lower_bound(limit.holders.begin(), limit.holders.end(), m_self.node);
    return static_cast<std::size_t>(position - limit.holders.begin());
}

bool UpstreamLimits::grant(Limit &limit, const UpstreamStart &upstream, RequestNeed own,
                           std::span<const PeerNeed> peers, TimePoint now)
{
    limit.unmetSince.reset();
    limit.unaidedRequestAt = TimePoint::max();
    RequestNeed greatest = std::max(own, RequestNeed::Items);
    for (const auto &peer : peers)
        greatest = std::max(greatest, peer.need);
    // All processes with the greatest need get equal parts; of those, holders have theirs already.
    const bool keepsPart = own == greatest;
    double holdersInNeed = keepsPart ? 1 : 0;
    std::vector<std::uint64_t> recipients;
    for (const auto &peer : peers) {
        if (peer.need != greatest || !isMember(peer.node))
            continue;
        if (keepsPart && limit.isHolder(peer.node))
            holdersInNeed += 1;
        else
            recipients.push_back(peer.node);
    }
    const auto count = static_cast<double>(recipients.size());
    limit.allowance.setPeerPart(recipients.empty() ? 0 : count / (count + holdersInNeed));
    bool hasGranted = false;
    while (!recipients.empty() && limit.allowance.takeForPeer(now)) {
        const auto grantee = chooseGrantee(limit, recipients);
        limit.grantedAt[grantee] = now;
        limit.grantCount += 1;
        // Unique, also if this process has been restarted.
        const auto number = static_cast<std::uint64_t>(now.time_since_epoch().count());
        const auto id
                = rendezvousWeight(m_self.node ^ upstream.upstream, number + limit.grantCount);
        m_sentGrants.push_back(
                {{upstream.upstream, upstream.startedAt, grantee, id, Milliseconds(0)}, now});
        hasGranted = true;
    }
    return hasGranted;
}

std::uint64_t UpstreamLimits::chooseGrantee(const Limit &limit,
                                            std::span<std::uint64_t> recipients) const
{
    const auto rank = [&](std::uint64_t node) {
        const auto found = limit.grantedAt.find(node);
        return std::pair(found == limit.grantedAt.end() ? TimePoint::min() : found->second, node);
    };
    // Those that have waited longest come first. Holders whose requests become available at the
    // same time choose different ones, as they have not heard of each other's grants yet.
    const auto choices = std::min(recipients.size(), limit.holders.size());
    const auto index = (positionIn(limit) + limit.grantCount) % choices;
    const auto chosen = recipients.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(recipients.begin(), chosen, recipients.end(),
                     [&](auto left, auto right) { return rank(left) < rank(right); });
    return *chosen;
}

void UpstreamLimits::scheduleUnaidedRequest(Limit &limit, RequestNeed own,
                                            std::span<const PeerNeed> peers, TimePoint now) const
{
    RequestNeed greatest = own;
    // The processes in need take turns, in the order of their hashes.
    double needy = 1;
    double turn = 0;
    limit.processesWithCalls = 1;
    for (const auto &peer : peers) {
        greatest = std::max(greatest, peer.need);
        limit.processesWithCalls += peer.need == RequestNeed::Calls ? 1 : 0;
        if (peer.need == RequestNeed::None)
            continue;
        needy += 1;
        turn += peer.node < m_self.node ? 1 : 0;
    }
    // While calls need the requests, items are not meant to get any.
    if (own == RequestNeed::None || own < greatest) {
        limit.unmetSince.reset();
        limit.unaidedRequestAt = TimePoint::max();
        return;
    }
    if (!limit.unmetSince)
        limit.unmetSince = now;
    const std::chrono::duration<double> turns((patienceTurns * needy + unaidedRequestSpacing * turn)
                                              / limit.rate());
    limit.unaidedRequestAt
            = *limit.unmetSince + replacementTime + std::chrono::duration_cast<Duration>(turns);
}

void UpstreamLimits::applyGrants(std::span<const RequestGrant> grants, TimePoint now)
{
    for (const auto &grant : grants) {
        auto *limit = findIn(m_limits, {grant.upstream, grant.startedAt});
        if (limit == nullptr)
            continue;
        const auto grantedAt = now - grant.age;
        auto &latest = limit->grantedAt.try_emplace(grant.node, grantedAt).first->second;
        latest = std::max(latest, grantedAt);
        const auto until = grantedAt + grantLifetime;
        if (grant.node != m_self.node || until <= now
            || !m_receivedGrants.try_emplace(grant.id, now).second)
            continue;
        limit->granted.insert(std::upper_bound(limit->granted.begin(), limit->granted.end(), until),
                              until);
        // Reports may arrive late and all at once.
        const double most
                = 1 + limit->rate() * std::chrono::duration<double>(grantLifetime).count();
        if (static_cast<double>(limit->granted.size()) > most)
            limit->granted.pop_front();
        limit->unmetSince.reset();
        limit->unaidedRequestAt = TimePoint::max();
    }
    std::erase_if(m_receivedGrants,
                  [&](const auto &entry) { return now - entry.second > 2 * grantLifetime; });
}

std::vector<RequestGrant> UpstreamLimits::grantsToReport(TimePoint now)
{
    while (!m_sentGrants.empty() && now - m_sentGrants.front().at > grantReportTime)
        m_sentGrants.pop_front();
    std::vector<RequestGrant> result;
    for (const auto &[grant, at] : m_sentGrants) {
        result.push_back(grant);
        result.back().age = std::chrono::duration_cast<Milliseconds>(now - at);
    }
    return result;
}

std::optional<double> UpstreamLimits::limitOf(const UpstreamStart &upstream) const
{
    const auto *limit = findIn(m_limits, upstream);
    return limit == nullptr || limit->hasEnded ? std::optional<double>() : limit->perSecond;
}

void UpstreamLimits::divide(Limit &limit, std::uint64_t upstream, const ZoneName &zone,
                            TimePoint now) const
{
    const auto alive = m_others.size() + 1;
    double perSecond = limit.rate();
    // All processes would otherwise send their load to the upstream at the same moment, and it
    // would be in need again.
    if (limit.hasEnded)
        perSecond *= 1 + std::chrono::duration<double>(now - limit.notedAt) / rateGrowthTime;
    const double wanted = std::ceil(perSecond / minRequestsPerSecond);
    // A process that has lost most of the others cannot tell which of them still send requests.
    const bool isIsolated = alive * 2 < m_processCount;
    const double parts = isIsolated ? static_cast<double>(m_processCount)
                                    : std::min(std::max(1.0, wanted), static_cast<double>(alive));
    limit.holders = chooseHolders(static_cast<std::size_t>(parts), upstream, zone);
    limit.hasPart = limit.isHolder(m_self.node);
    const double rate = perSecond / parts;
    limit.allowance.setRate(rate, std::max(1.0, burstSeconds * rate), now);
    if (limit.hasPart && !std::exchange(limit.isStaggered, true)) {
        // All holders learn of the limit at about the same time, and would send together.
        const auto position = static_cast<double>(positionIn(limit));
        limit.allowance.advance(position / static_cast<double>(limit.holders.size()), now);
    }
    limit.membersVersion = m_membersVersion;
}

std::vector<std::uint64_t> UpstreamLimits::chooseHolders(std::size_t count, std::uint64_t upstream,
                                                         const ZoneName &zone) const
{
    using Rank = std::tuple<Distance, std::uint64_t, std::uint64_t>;
    std::vector<Rank> ranks;
    const auto add = [&](const LimitMember &member) {
        ranks.emplace_back(m_locality.distance(member.zone, zone),
                           rendezvousWeight(member.node, upstream), member.node);
    };
    add(m_self);
    for (const auto &other : m_others)
        add(other);
    if (count < ranks.size()) {
        const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(count);
        std::nth_element(ranks.begin(), end, ranks.end());
        ranks.erase(end, ranks.end());
    }
    std::vector<std::uint64_t> holders;
    for (const auto &rank : ranks)
        holders.push_back(std::get<2>(rank));
    std::sort(holders.begin(), holders.end());
    return holders;
}

} // namespace Radishplank
