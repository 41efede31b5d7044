#pragma once

#include <Batch/Batch.h>
#include <Gateway/CallHeaderNames.h>
#include <Gateway/EventFramer.h>
#include <Gateway/UpstreamTable.h>
#include <Net/Net.h>

#include <memory>
#include <optional>
#include <string>

namespace Radishplank {

/// What the runs of an item have made so far.
struct ItemProgress
{
    std::string output;
    std::optional<std::uint64_t> lastEvent;
};

/// Lets an item's run be stopped for an online call.
struct ItemStop
{
    CallCancellation cancellation;
    bool isPreempted = false;
};

/// Runs a batch item once at an upstream; continues after the progress that it has, and adds to it.
/// Suspends the calling fiber.
ItemRunEnd runItem(UpstreamTable::Reservation &place, const CallHeaderNames &dialect,
                   const std::string &host, const JobItem &item, ItemProgress &progress,
                   ItemStop &stop);

} // namespace Radishplank
