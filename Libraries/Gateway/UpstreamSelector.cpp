#include <Gateway/UpstreamSelector.h>

#include <algorithm>

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

std::optional<UpstreamChoice> chooseOnlineUpstream(std::span<const UpstreamCandidate> places,
                                                   RandomEngine &random)
{
    std::optional<UpstreamChoice> best;
    double bestCost = 0;
    for (std::size_t index = 0; index < places.size(); ++index) {
        const auto &place = places[index];
        UpstreamChoice choice{index, false, Milliseconds(0)};
        const unsigned total = place.online + place.batch;
        double cost = distanceCost(place.distance) + tieBreakCost * randomFraction(random);
        cost += loadCost * std::min(total, place.slots) / place.slots;
        if (total >= place.slots && place.online < place.slots) {
            choice.mustPreempt = true;
            cost += place.ownBatch > 0 ? ownPreemptionCost : peerPreemptionCost;
        } else if (place.online >= place.slots) {
            const unsigned ahead = place.online - place.slots + 1;
            choice.wait = place.holdTime * ahead / place.slots;
            cost += static_cast<double>(choice.wait.count());
        }
        if (!place.isTrusted)
            cost += unhealthyCost;
        if (!best || cost < bestCost) {
            best = choice;
            bestCost = cost;
        }
    }
    return best;
}

double batchCapacity(const UpstreamCandidate &place)
{
    const unsigned total = place.online + place.batch;
    if (!place.isTrusted || total >= place.slots)
        return 0;
    const double capacity = place.slots - total - onlineReservePerCall * place.online;
    const double factor = place.distance == Distance::OtherRegion ? crossRegionCapacityFactor : 1;
    return std::max(0.0, capacity) * factor;
}

std::optional<std::size_t> chooseBatchUpstream(std::span<const UpstreamCandidate> places,
                                               RandomEngine &random)
{
    double totalCapacity = 0;
    for (const auto &place : places)
        totalCapacity += batchCapacity(place);
    double remaining = totalCapacity * randomFraction(random);
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < places.size(); ++index) {
        const double capacity = batchCapacity(places[index]);
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
