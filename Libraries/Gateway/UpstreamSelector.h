#pragma once

#include <Core/Core.h>
#include <Serving/Router.h>

#include <cstdint>
#include <optional>
#include <span>

namespace Radishplank {

/// An upstream that can be chosen for a call or batch item, and its known load.
struct UpstreamCandidate
{
    Distance distance = Distance::SameZone;
    unsigned slots = 1;
    /// Work of all entry processes that runs or waits there, as far as known.
    unsigned online = 0;
    unsigned batch = 0;
    /// The share of `batch` that belongs to this process, which can preempt it immediately.
    unsigned ownBatch = 0;
    /// Mean time that an online call occupies a slot.
    Milliseconds holdTime{700};
    /// Whether the upstream limits how many requests it gets.
    bool isLimited = false;
    /// False during the backoff after a failure, which a successful answer ends.
    bool isHealthy = true;
    /// Slowness relative to the other upstreams: at 3, everything takes three times as long.
    double pace = 1;
    /// Expected slot time in milliseconds that the online work still needs at usual pace; used
    /// only by chooseOnlineUpstreamByWork().
    double onlineRemaining = 0;
};

/// Expected work of a request at an upstream of usual pace, in milliseconds.
struct WorkDemand
{
    double firstEventMs = 0;
    double slotTimeMs = 0;
};

/// The upstream chosen for a call.
struct UpstreamChoice
{
    std::size_t index = 0;
    /// Whether a batch item must be preempted for the call.
    bool mustPreempt = false;
    /// Expected wait for a slot; 0 if one is free or can be preempted.
    Milliseconds wait{0};
};

/// Chooses the upstream for an online call: the one with the shortest expected wait, weighed
/// against the cost of a hop to another zone or region. Returns nothing if there is no candidate.
/// `random` spreads calls over upstreams of similar cost.
[[nodiscard]] std::optional<UpstreamChoice>
chooseOnlineUpstream(std::span<const UpstreamCandidate> candidates, RandomEngine &random);

/// As chooseOnlineUpstream(), but prefers any healthy upstream with a slot that is free or that a
/// batch item holds, however distant, to one with a longer expected wait than `maxWait`. The choice
/// has a longer wait only if there is no such upstream.
[[nodiscard]] std::optional<UpstreamChoice>
chooseOnlineUpstreamWithin(std::span<const UpstreamCandidate> candidates, Milliseconds maxWait,
                           RandomEngine &random);

/// Chooses the upstream for an online call by the expected time to its first event, and, with a
/// small weight, to its end: from the remaining work of what an upstream holds and from its pace.
/// Prefers upstreams where the call waits at most `maxWait` for a slot.
[[nodiscard]] std::optional<UpstreamChoice>
chooseOnlineUpstreamByWork(std::span<const UpstreamCandidate> candidates, const WorkDemand &demand,
                           Milliseconds maxWait, RandomEngine &random);

/// Returns the capacity of an upstream for batch items, in slots: its free slots, less a reserve
/// for online calls that arrive before batch items can be preempted. Upstreams in other regions are
/// weighted lower, because reports of their load are older.
[[nodiscard]] double batchCapacity(const UpstreamCandidate &candidate);

/// Chooses the upstream for a batch item at random, weighted by capacity, so that processes that
/// see the same capacity spread their items over it.
[[nodiscard]] std::optional<std::size_t>
chooseBatchUpstream(std::span<const UpstreamCandidate> candidates, RandomEngine &random);

/// Slot time of a batch item, and by how much it may be exceeded if the item is to end before it is
/// due. Both in milliseconds.
struct BatchDemand
{
    double slotTimeMs = 0;
    double slackMs = 0;
};
/// As above, but avoids upstreams that are so slow that the item would end after it is due.
[[nodiscard]] std::optional<std::size_t>
chooseBatchUpstreamByWork(std::span<const UpstreamCandidate> candidates, const BatchDemand &demand,
                          RandomEngine &random);

/// Returns how many of its waiting items a process may start in one scheduling round; `draw` in
/// [0, 1) rounds the result randomly.
///
/// After a burst of jobs all processes see the same free slots. If each process filled all of them,
/// upstreams would be overcommitted several times over and online calls would wait behind batch
/// items. Instead each process uses half of its proportional share, by waiting items, in one round;
/// by the next round it knows what the other processes have started.
[[nodiscard]] std::size_t batchShare(double capacity, double waiting, double waitingOfAll,
                                     double draw);

} // namespace Radishplank
