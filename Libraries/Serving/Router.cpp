#include <Serving/Router.h>

#include <algorithm>
#include <vector>

namespace Radishplank {

namespace {

/// An upstream with a warm prefix cache is preferred up to this factor of the average load.
constexpr double affinityLoadFactor = 1.25;

using Indices = std::vector<std::size_t>;

double relativeLoad(const Candidate &candidate)
{
    return static_cast<double>(candidate.onlineLoad) / static_cast<double>(candidate.slots);
}

Indices eligible(std::span<const Candidate> candidates)
{
    Indices indices;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].isEligible)
            indices.push_back(i);
    }
    return indices;
}

/// Returns the candidates with a free slot at the nearest distance that has any. The link between
/// regions has little bandwidth and its traffic is billed, so another region is chosen only while
/// the own region is full.
Indices nearestWithFreeSlot(std::span<const Candidate> candidates, const Indices &indices)
{
    for (const auto distance : {Distance::SameZone, Distance::SameRegion, Distance::OtherRegion}) {
        Indices tier;
        for (const auto index : indices) {
            if (candidates[index].distance == distance && candidates[index].hasFreeSlot())
                tier.push_back(index);
        }
        if (!tier.empty())
            return tier;
    }
    Indices local;
    for (const auto index : indices) {
        if (candidates[index].distance != Distance::OtherRegion)
            local.push_back(index);
    }
    return local.empty() ? indices : local;
}

std::size_t rendezvousChoice(std::span<const Candidate> candidates, const Indices &indices,
                             std::uint64_t key)
{
    std::size_t best = indices.front();
    std::uint64_t bestScore = 0;
    for (const auto index : indices) {
        const auto id = candidates[index].idHash;
        const std::string_view bytes(reinterpret_cast<const char *>(&id), sizeof(id));
        const auto score = stableHash(bytes, key);
        if (score >= bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

bool isWithinLoadBound(std::span<const Candidate> candidates, const Indices &indices,
                       std::size_t index)
{
    double total = 0;
    for (const auto each : indices)
        total += relativeLoad(candidates[each]);
    const double average = total / static_cast<double>(indices.size());
    const double loadOfOneCall = 1.0 / static_cast<double>(candidates[index].slots);
    return relativeLoad(candidates[index]) <= affinityLoadFactor * average + loadOfOneCall;
}

std::size_t lessLoadedOfTwo(std::span<const Candidate> candidates, const Indices &indices,
                            RandomEngine &random)
{
    const auto first = indices[randomBelow(random, indices.size())];
    const auto second = indices[randomBelow(random, indices.size())];
    return relativeLoad(candidates[second]) < relativeLoad(candidates[first]) ? second : first;
}

} // namespace

std::optional<std::size_t> Router::choose(std::span<const Candidate> candidates,
                                          std::uint64_t prefixKey, std::uint64_t turn,
                                          RandomEngine &random) const
{
    const auto all = eligible(candidates);
    if (all.empty())
        return {};
    if (m_policy == RoutingPolicy::Random)
        return all[randomBelow(random, all.size())];
    if (m_policy == RoutingPolicy::RoundRobin)
        return all[turn % all.size()];
    const auto tier = nearestWithFreeSlot(candidates, all);
    if (prefixKey != 0) {
        const auto warm = rendezvousChoice(candidates, tier, prefixKey);
        if (candidates[warm].hasFreeSlot() && isWithinLoadBound(candidates, tier, warm))
            return warm;
    }
    return lessLoadedOfTwo(candidates, tier, random);
}

} // namespace Radishplank
