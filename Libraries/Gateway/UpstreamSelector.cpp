#include <Gateway/UpstreamSelector.h>

#include <algorithm>
#include <array>
#include <cmath>
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
/// The requests that a limited upstream takes are kept for when the others have no free slots;
/// preempting an own batch item for the call costs less than that.
constexpr double limitedCost = 40;
/// Upper bound of the random cost that spreads the calls of processes that see the same loads.
constexpr double tieBreakCost = 4;
/// An upstream that has failed is tried only if the others cost more than this.
constexpr double unhealthyCost = 10'000;
/// An upstream with a longer wait than the call accepts is chosen only if all others have one too.
constexpr double overdueCost = 5'000;
/// Probability that calls of peers whose reports are still on their way take the last of the free
/// slots, by the number of free slots: at 4 calls per second and upstream, twice as many in a
/// burst, and reports that are 60 ms old.
constexpr std::array<double, 4> slotsTaken{1, 0.45, 0.15, 0.04};
/// Scale of the random cost that spreads calls by work. Processes choose by reports of the same
/// age, and fill the upstream that seems best if only a few milliseconds decide: with tieBreakCost
/// 2% of the calls of TestWorkPlacement are late although a third of the slots is free.
constexpr double spreadCost = 8;
/// Costs of a hop to another zone and of preempting an item of this process in placement by work:
/// large enough against spreadCost to keep most calls in their zone and to spare most items.
constexpr double spreadCrossZoneCost = 10;
constexpr double spreadPreemptionCost = 30;
/// Value of a millisecond before the first event, and of one between it and the end.
constexpr double firstEventWeight = 0.25;
constexpr double endWeight = 0.02;
/// Cost of a first event after its target, and how uncertain its time is, in milliseconds.
constexpr double lateCost = 150;
constexpr double lateSpread = 40;
/// How much sooner than after its mean rest, divided by the number of streams, one of several
/// streams ends: 2 E(t)^2 / E(t^2) for answers whose lengths are log-normal with a sigma of 0.57.
constexpr double endRateFactor = 1.45;
/// Bounds for the mean rest of running streams, as shares of a whole stream.
constexpr double minRestShare = 0.2;
constexpr double maxRestShare = 2;
/// Capacity of an upstream at which an item ends too late, relative to one where it does not.
constexpr double tooLateFactor = 0.05;

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

double spreadDistanceCost(Distance distance)
{
    return distance == Distance::SameRegion ? spreadCrossZoneCost : distanceCost(distance);
}

double availabilityCost(const UpstreamCandidate &candidate)
{
    return (candidate.isHealthy ? 0 : unhealthyCost) + (candidate.isLimited ? limitedCost : 0);
}

double randomFraction(RandomEngine &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

/// The logarithm of an exponentially distributed number: if it is added to costs, the smallest sum
/// is chosen with a probability that falls exponentially with the cost.
double logOfExponential(RandomEngine &random)
{
    return std::log(std::max(1e-9, -std::log(1 - randomFraction(random))));
}

/// Cost of a first event at the given time in milliseconds, which may turn out to be late.
double firstEventCost(double time, double target)
{
    return firstEventWeight * time + lateCost / (1 + std::exp((target - time) / lateSpread));
}

/// Expected time in milliseconds until `count` of the running streams of a full upstream have
/// ended.
double timeUntilEnds(const UpstreamCandidate &candidate, double slotTime, unsigned count)
{
    const double queued
            = candidate.online > candidate.slots ? candidate.online - candidate.slots : 0;
    const double running = std::min(candidate.online, candidate.slots);
    const double rest = (candidate.onlineRemaining - queued * slotTime) / std::max(1.0, running);
    const double bounded = std::clamp(rest, minRestShare * slotTime, maxRestShare * slotTime);
    return count * endRateFactor * bounded * candidate.pace / candidate.slots;
}

/// Chooses an upstream at random, weighted by the capacity that the function returns.
template<typename Capacity>
std::optional<std::size_t> chooseByCapacity(std::span<const UpstreamCandidate> candidates,
                                            RandomEngine &random, Capacity capacityOf)
{
    double totalCapacity = 0;
    for (const auto &candidate : candidates)
        totalCapacity += capacityOf(candidate);
    double remaining = totalCapacity * randomFraction(random);
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double capacity = capacityOf(candidates[index]);
        if (capacity <= 0)
            continue;
        last = index;
        remaining -= capacity;
        if (remaining < 0)
            break;
    }
    return last;
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
        cost += availabilityCost(candidate);
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

std::optional<UpstreamChoice>
chooseOnlineUpstreamByWork(std::span<const UpstreamCandidate> candidates, const WorkDemand &demand,
                           Milliseconds maxWait, RandomEngine &random)
{
    std::optional<UpstreamChoice> best;
    double bestCost = 0;
    const double answerRest = std::max(0.0, demand.slotTimeMs - demand.firstEventMs);
    const double target = static_cast<double>(maxWait.count()) + demand.firstEventMs;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto &candidate = candidates[index];
        UpstreamChoice choice{index, false, Milliseconds(0)};
        const unsigned total = candidate.online + candidate.batch;
        double cost = spreadDistanceCost(candidate.distance) + spreadCost * logOfExponential(random)
                      + loadCost * std::min(total, candidate.slots) / candidate.slots
                      + endWeight * answerRest * candidate.pace;
        double wait = 0;
        if (candidate.online >= candidate.slots) {
            const unsigned ahead = candidate.online - candidate.slots + 1;
            wait = timeUntilEnds(candidate, demand.slotTimeMs, ahead);
            choice.wait = Milliseconds(static_cast<long long>(wait));
            if (choice.wait > maxWait)
                cost += overdueCost;
        } else if (total >= candidate.slots) {
            choice.mustPreempt = true;
            cost += candidate.ownBatch > 0 ? spreadPreemptionCost : peerPreemptionCost;
        }
        const double firstEvent = wait + demand.firstEventMs * candidate.pace;
        const auto freeSlots = candidate.slots - std::min(candidate.slots, candidate.online);
        if (freeSlots < slotsTaken.size()) {
            const double taken = slotsTaken[freeSlots];
            const double later = firstEvent + timeUntilEnds(candidate, demand.slotTimeMs, 1);
            cost += (1 - taken) * firstEventCost(firstEvent, target)
                    + taken * firstEventCost(later, target);
        } else {
            cost += firstEventCost(firstEvent, target);
        }
        cost += availabilityCost(candidate);
        if (!best || cost < bestCost) {
            best = choice;
            bestCost = cost;
        }
    }
    return best;
}

double batchCapacity(const UpstreamCandidate &candidate)
{
    const unsigned total = candidate.online + candidate.batch;
    if (!candidate.isHealthy || total >= candidate.slots)
        return 0;
    const double capacity = candidate.slots - total - onlineReservePerCall * candidate.online;
    const double factor
            = candidate.distance == Distance::OtherRegion ? crossRegionCapacityFactor : 1;
    // An item occupies a slot of a slow upstream longer, and ends later.
    const double pace = std::max(1.0, candidate.pace);
    return std::max(0.0, capacity) * factor / (pace * pace);
}

std::optional<std::size_t> chooseBatchUpstream(std::span<const UpstreamCandidate> candidates,
                                               RandomEngine &random)
{
    return chooseByCapacity(candidates, random, batchCapacity);
}

std::optional<std::size_t> chooseBatchUpstreamByWork(std::span<const UpstreamCandidate> candidates,
                                                     const BatchDemand &demand,
                                                     RandomEngine &random)
{
    return chooseByCapacity(candidates, random, [&](const UpstreamCandidate &candidate) {
        const double excess = demand.slotTimeMs * (candidate.pace - 1);
        // An item that misses its deadline anyway only avoids slow upstreams.
        const bool isTooLate = demand.slackMs >= 0 && excess > demand.slackMs;
        return batchCapacity(candidate) * (isTooLate ? tooLateFactor : 1);
    });
}

std::size_t batchShare(double capacity, double waiting, double waitingOfAll, double draw)
{
    if (waiting <= 0)
        return 0;
    const double share = sharePerRound * capacity * waiting / std::max(waiting, waitingOfAll);
    return static_cast<std::size_t>(std::min(waiting, share + draw));
}

} // namespace Radishplank
