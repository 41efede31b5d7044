#include <Limits/QuotaRules.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

constexpr double heldShareOfOverage = 0.4;
constexpr double withoutHomeShareOfOverage = 0.25;
constexpr double silentShareOfOverage = 0.3;
constexpr double withoutHomeShareOfSlack = 0.9;
/// Share of the burst whose refill time counts towards the lifetime of tokens. Used tokens occupy
/// room in the bucket until their lifetime ends, so a longer lifetime would leave less of a burst.
constexpr double burstShareOfLifetime = 0.35;
/// Leaves room for tokens that are asked for before the previous ones have expired.
constexpr double heldShareOfLifetime = 0.75;
/// Shorter than this, tokens would often expire on a machine whose processor is throttled.
constexpr double minLifetimeSeconds = 0.1;
/// Bounds the time for which a process that stops sending calls withholds tokens from others.
constexpr double maxLifetimeSeconds = 0.5;

} // namespace

double QuotaRules::factor(const QuotaShare &share) const
{
    if (share.members == 0)
        return 0;
    const double part = static_cast<double>(share.pledged) / static_cast<double>(share.members);
    // Proportional to the share, so that the homes of a partitioned fleet together stay within it.
    return std::min(1.0, part * (1 + silentShareOfOverage * overage));
}

double QuotaRules::heldTokens(const QuotaLimit &limit) const
{
    return heldShareOfOverage * overage * limit.rate * windowSeconds();
}

Milliseconds QuotaRules::tokenLifetime(const QuotaLimit &limit) const
{
    const double seconds = limit.rate <= 0 ? 0
                                           : (heldShareOfLifetime * heldTokens(limit)
                                              + burstShareOfLifetime * limit.burst)
                                                     / limit.rate;
    return Milliseconds(static_cast<long long>(
            1'000 * std::clamp(seconds, minLifetimeSeconds, maxLifetimeSeconds)));
}

std::size_t QuotaRules::callsWithoutHome(const QuotaLimit &limit, std::size_t members) const
{
    if (members == 0)
        return 0;
    const double total
            = withoutHomeShareOfOverage * overage * (limit.rate * windowSeconds() + limit.burst)
              + withoutHomeShareOfSlack * slack;
    return static_cast<std::size_t>(total / static_cast<double>(members));
}

std::uint64_t rendezvousWeight(std::uint64_t process, std::uint64_t key)
{
    const std::string_view bytes(reinterpret_cast<const char *>(&process), sizeof process);
    return stableHash(bytes, key);
}

std::uint64_t quotaHomeOf(std::uint64_t owner, std::span<const std::uint64_t> homes)
{
    std::uint64_t best = 0;
    std::uint64_t bestWeight = 0;
    for (const auto home : homes) {
        const auto weight = rendezvousWeight(home, owner);
        if (best != 0 && weight <= bestWeight)
            continue;
        best = home;
        bestWeight = weight;
    }
    return best;
}

} // namespace Radishplank
