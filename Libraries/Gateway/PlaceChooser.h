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

/// Chooses the upstream for a batch item: only slots that are free beyond the reserve, the
/// emptiest upstream first.
[[nodiscard]] std::optional<std::size_t>
chooseBatchPlace(std::span<const PlaceView> places, unsigned reservedSlots, RandomEngine &random);

} // namespace Radishplank
