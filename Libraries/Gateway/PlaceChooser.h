#pragma once

#include <Core/Core.h>
#include <Serving/Router.h>

#include <cstdint>
#include <optional>
#include <span>

namespace Radishplank {

/// What the choice of an upstream knows of one of them.
struct PlaceView
{
    Distance distance = Distance::SameZone;
    unsigned slots = 1;
    /// Running or waiting there, of all entry processes as far as known.
    unsigned online = 0;
    unsigned batch = 0;
    /// The part of `batch` that this process can stop at once.
    unsigned ownBatch = 0;
    /// Mean time that an online call holds a slot there.
    Milliseconds holdTime{700};
    /// False after a failure, until a trial has succeeded.
    bool isTrusted = true;
};

/// Where a call goes.
struct PlaceChoice
{
    std::size_t index = 0;
    /// Whether a batch item has to give way for it.
    bool mustPreempt = false;
    /// Time until a slot is expected; 0 if one is free.
    Milliseconds wait{0};
};

/// Chooses the upstream for an online call: the least expected wait, weighed against the cost of
/// going to another zone or region. Returns nothing if there is no candidate. `draw` in [0, 1)
/// spreads calls over places of equal worth.
[[nodiscard]] std::optional<PlaceChoice> chooseOnlinePlace(std::span<const PlaceView> places,
                                                           RandomEngine &random);

/// Returns the room of a place for batch items, in slots: those that are free, less what online
/// calls take before batch has given way to them. Places in other regions count for less, since
/// what is known of them is older.
[[nodiscard]] double batchRoom(const PlaceView &place);

/// Chooses the upstream for a batch item by lot, each in proportion to its room, so that processes
/// that see the same room spread over it.
[[nodiscard]] std::optional<std::size_t> chooseBatchPlace(std::span<const PlaceView> places,
                                                          RandomEngine &random);

/// Returns how many of its waiting items a process may start in one turn, `draw` in [0, 1) being
/// the rounding.
///
/// The load it answers: after a burst of jobs all processes see the same free slots. If each took
/// what it sees, upstreams would be filled several times over, and online calls would wait behind
/// batch items there. So each takes its part, by its share of all waiting items, and half of that
/// in a turn; what others have taken is known by the next one.
[[nodiscard]] std::size_t batchShare(double room, double waiting, double waitingOfAll, double draw);

} // namespace Radishplank
