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
/// Online calls that arrive before batch has given way, for each that runs: a call holds its slot
/// for 0.7 s, and batch gives way within 0.1 s.
constexpr double onlineReserve = 0.15;
/// Reports from another region are older than four turns.
constexpr double farRoomPart = 0.25;
/// Part of the room that is taken in one turn; the rest covers what others take meanwhile.
constexpr double partOfTurn = 0.5;
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

double batchRoom(const PlaceView &place)
{
    const unsigned total = place.online + place.batch;
    if (!place.isTrusted || total >= place.slots)
        return 0;
    const double room = place.slots - total - onlineReserve * place.online;
    const double part = place.distance == Distance::OtherRegion ? farRoomPart : 1;
    return std::max(0.0, room) * part;
}

std::optional<std::size_t> chooseBatchPlace(std::span<const PlaceView> places, RandomEngine &random)
{
    double whole = 0;
    for (const auto &place : places)
        whole += batchRoom(place);
    double lot = whole * drawFrom(random);
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < places.size(); ++index) {
        const double room = batchRoom(places[index]);
        if (room <= 0)
            continue;
        last = index;
        lot -= room;
        if (lot < 0)
            break;
    }
    return last;
}

std::size_t batchShare(double room, double waiting, double waitingOfAll, double draw)
{
    if (waiting <= 0)
        return 0;
    const double share = partOfTurn * room * waiting / std::max(waiting, waitingOfAll);
    return static_cast<std::size_t>(std::min(waiting, share + draw));
}

} // namespace Radishplank
