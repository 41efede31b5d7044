#include <Gateway/UpstreamSelector.h>

#include <algorithm>
#include <vector>

namespace Radishplank {

namespace {

// All costs are in milliseconds of latency, or in what is equivalent to them for a caller.

/// Round trip within a region, as specified for the networks of the deployments.
constexpr double crossZoneCost = 3;
/// Round trip between regions (16 ms), plus the price of transferring the bytes of a stream.
constexpr double crossRegionCost = 60;
/// This process can stop its own batch item before the call arrives at the upstream.
constexpr double ownPreemptionCost = 8;
/// A peer stops its batch item only after it has received a report of the call.
constexpr double peerPreemptionCost = 50;
/// Each concurrent stream slows a call down slightly; this is the cost at a fully used upstream.
constexpr double loadCost = 12;
/// Slots reserved per running online call for calls that arrive before batch items can be
/// preempted: a call occupies its slot for 0.7 s, and preemption takes up to 0.1 s.
constexpr double onlineReservePerCall = 0.15;
/// Load reports from another region are more than four scheduling rounds old.
constexpr double crossRegionCapacityFactor = 0.25;
/// Share of the capacity that is used in one round; the rest covers what peers start meanwhile.
constexpr double sharePerRound = 0.5;
/// Upper bound of the random cost that spreads the calls of processes that see the same loads.
constexpr double tieBreakCost = 4;
/// An upstream that has failed is tried only if the others cost more than this.
constexpr double unhealthyCost = 10'000;

double distanceCost(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return 0;
    case Distance::SameRegion:
        return crossZoneCost;
    case Distance::OtherRegion:
        return crossRegionCost;
    }
    return crossRegionCost;
}

double randomFraction(RandomEngine &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

std::optional<UpstreamChoice> chooseOnlineUpstream(std::span<const UpstreamCandidate> candidates,
                                                   RandomEngine &random)
{
    std::optional<UpstreamChoice> best;
    double bestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto &candidate = candidates[index];
        UpstreamChoice choice{index, false, Milliseconds(0)};
        const unsigned total = candidate.online + candidate.batch;
        double cost = distanceCost(candidate.distance) + tieBreakCost * randomFraction(random);
        cost += loadCost * std::min(total, candidate.slots) / candidate.slots;
        if (total >= candidate.slots && candidate.online < candidate.slots) {
            choice.mustPreempt = true;
            cost += candidate.ownBatch > 0 ? ownPreemptionCost : peerPreemptionCost;
        } else if (candidate.online >= candidate.slots) {
            const unsigned ahead = candidate.online - candidate.slots + 1;
            choice.wait = candidate.holdTime * ahead / candidate.slots;
            cost += static_cast<double>(choice.wait.count());
        }
        if (!candidate.isHealthy)
            cost += unhealthyCost;
        if (!best || cost < bestCost) {
            best = choice;
            bestCost = cost;
        }
    }
    return best;
}

std::optional<UpstreamChoice>
chooseOnlineUpstreamWithin(std::span<const UpstreamCandidate> candidates, Milliseconds maxWait,
                           RandomEngine &random)
{
    const auto choice = chooseOnlineUpstream(candidates, random);
    if (!choice || choice->wait <= maxWait)
        return choice;
    // The cost of a distant upstream can exceed that of a short wait nearby, but a call that cannot
    // wait is better served there than refused.
    std::vector<UpstreamCandidate> withRoom;
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto &candidate = candidates[index];
        if (candidate.online >= candidate.slots || !candidate.isHealthy)
            continue;
        withRoom.push_back(candidate);
        indexes.push_back(index);
    }
    auto other = chooseOnlineUpstream(withRoom, random);
    if (!other)
        return choice;
    other->index = indexes[other->index];
    return other;
}

double batchCapacity(const UpstreamCandidate &candidate)
{
    const unsigned total = candidate.online + candidate.batch;
    if (!candidate.isHealthy || total >= candidate.slots)
        return 0;
    const double capacity = candidate.slots - total - onlineReservePerCall * candidate.online;
    const double factor
            = candidate.distance == Distance::OtherRegion ? crossRegionCapacityFactor : 1;
    return std::max(0.0, capacity) * factor;
}

std::optional<std::size_t> chooseBatchUpstream(std::span<const UpstreamCandidate> candidates,
                                               RandomEngine &random)
{
    double totalCapacity = 0;
    for (const auto &candidate : candidates)
        totalCapacity += batchCapacity(candidate);
    double remaining = totalCapacity * randomFraction(random);
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double capacity = batchCapacity(candidates[index]);
        if (capacity <= 0)
            continue;
        last = index;
        remaining -= capacity;
        if (remaining < 0)
            break;
    }
    return last;
}

std::size_t batchShare(double capacity, double waiting, double waitingOfAll, double draw)
{
    if (waiting <= 0)
        return 0;
    const double share = sharePerRound * capacity * waiting / std::max(waiting, waitingOfAll);
    return static_cast<std::size_t>(std::min(waiting, share + draw));
}

} // namespace Radishplank
