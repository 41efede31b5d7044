#include <Gateway/UpstreamLimits.h>

#include <Limits/QuotaRules.h>

#include <algorithm>
#include <cmath>
#include <tuple>

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
/// A limit is forgotten if no answer has confirmed it for so long.
constexpr Milliseconds limitRetention{60'000};
constexpr std::size_t maxLimits = 10'000;

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
        const bool isNews = known == m_limits.end() || limit.startedAt > known->second.startedAt
                            || (limit.startedAt == known->second.startedAt
                                && notedAt > known->second.notedAt);
        if (isNews)
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
                                                isFirstHand, TokenBucket(0, 0, now)})
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

std::optional<Duration> UpstreamLimits::waitTime(const UpstreamStart &upstream,
                                                 const ZoneName &zone, TimePoint now)
{
    auto *limit = findIn(m_limits, upstream);
    if (limit == nullptr || !isRestricting(*limit, now))
        return {};
    if (limit->hasEnded || limit->membersVersion != m_membersVersion)
        divide(*limit, upstream.upstream, zone, now);
    return limit->isUser ? limit->allowance.waitTime(now) : Duration::max();
}

void UpstreamLimits::noteSent(const UpstreamStart &upstream, TimePoint now)
{
    if (auto *limit = findIn(m_limits, upstream))
        (void)limit->allowance.take(now);
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
    double perSecond = std::max(minLimitPerSecond, limit.perSecond);
    // All processes would otherwise send their load to the upstream at the same moment, and it
    // would be in need again.
    if (limit.hasEnded)
        perSecond *= 1 + std::chrono::duration<double>(now - limit.notedAt) / rateGrowthTime;
    const double wanted = std::ceil(perSecond / minRequestsPerSecond);
    // A process that has lost most of the others cannot tell which of them still send requests.
    const bool isIsolated = alive * 2 < m_processCount;
    const double users = isIsolated ? static_cast<double>(m_processCount)
                                    : std::min(std::max(1.0, wanted), static_cast<double>(alive));
    limit.isUser = isIsolated || static_cast<double>(membersBefore(upstream, zone)) < users;
    const double rate = perSecond / users;
    limit.allowance.configure(rate, std::max(1.0, burstSeconds * rate), now);
    limit.membersVersion = m_membersVersion;
}

std::size_t UpstreamLimits::membersBefore(std::uint64_t upstream, const ZoneName &zone) const
{
    const auto rank = [&](const LimitMember &member) {
        return std::tuple(m_locality.distance(member.zone, zone),
                          rendezvousWeight(member.node, upstream), member.node);
    };
    const auto own = rank(m_self);
    return static_cast<std::size_t>(
            std::count_if(m_others.begin(), m_others.end(),
                          [&](const LimitMember &other) { return rank(other) < own; }));
}

} // namespace Radishplank
