#include <Gateway/PlaceChooser.h>

#include <algorithm>

namespace Radishplank {

namespace {

// All costs are milliseconds of latency, or what is worth as much to a caller.

/// Round trip within a region, from the deployments' network sheets.
constexpr double regionCost = 3;
/// Round trip between regions (16 ms), and the price of the bytes of a stream.
constexpr double farCost = 60;
/// A batch item of this process stops before the call arrives at the upstream.
constexpr double ownPreemptionCost = 8;
/// A batch item of another process stops only once that process has heard of the call.
constexpr double foreignPreemptionCost = 50;
/// Each stream beside it slows a call a little; a fully used upstream costs this much.
constexpr double loadCost = 12;
/// Spreads the calls of processes that see the same loads.
constexpr double spreadCost = 4;
/// A trial of an upstream that has failed is made only if the others are worse than this.
constexpr double distrustCost = 10'000;

double distanceCost(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return 0;
    case Distance::SameRegion:
        return regionCost;
    case Distance::OtherRegion:
        return farCost;
    }
    return farCost;
}

double drawFrom(RandomEngine &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

std::optional<PlaceChoice> chooseOnlinePlace(std::span<const PlaceView> places,
                                             RandomEngine &random)
{
    std::optional<PlaceChoice> best;
    double bestCost = 0;
    for (std::size_t index = 0; index < places.size(); ++index) {
        const auto &place = places[index];
        PlaceChoice choice{index, false, Milliseconds(0)};
        const unsigned total = place.online + place.batch;
        double cost = distanceCost(place.distance) + spreadCost * drawFrom(random);
        cost += loadCost * std::min(total, place.slots) / place.slots;
        if (total >= place.slots && place.online < place.slots) {
            choice.mustPreempt = true;
            cost += place.ownBatch > 0 ? ownPreemptionCost : foreignPreemptionCost;
        } else if (place.online >= place.slots) {
            const unsigned ahead = place.online - place.slots + 1;
            choice.wait = place.holdTime * ahead / place.slots;
            cost += static_cast<double>(choice.wait.count());
        }
        if (!place.isTrusted)
            cost += distrustCost;
        if (!best || cost < bestCost) {
            best = choice;
            bestCost = cost;
        }
    }
    return best;
}

std::optional<std::size_t> chooseBatchPlace(std::span<const PlaceView> places,
                                            unsigned reservedSlots, RandomEngine &random)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t index = 0; index < places.size(); ++index) {
        const auto &place = places[index];
        const unsigned total = place.online + place.batch;
        if (!place.isTrusted || total + reservedSlots >= place.slots)
            continue;
        double cost = distanceCost(place.distance) + spreadCost * drawFrom(random);
        cost += 10 * loadCost * total / place.slots;
        if (!best || cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace Radishplank
