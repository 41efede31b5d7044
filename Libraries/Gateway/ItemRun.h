#pragma once

#include <Batch/Batch.h>
#include <Gateway/CallHeaderNames.h>
#include <Gateway/CrashingPartDetector.h>
#include <Gateway/EventFramer.h>
#include <Gateway/UpstreamTable.h>
#include <Net/Net.h>

#include <memory>
#include <optional>
#include <string>

namespace Radishplank {

/// Output that the runs of an item have produced so far.
struct ItemProgress
{
    std::string output;
    std::optional<std::uint64_t> lastEvent;
};

/// Cancels an item's run, for example to preempt it for an online call.
struct ItemRunControl
{
    CallCancellation cancellation;
    bool isPreempted = false;
};

/// Runs a batch item once at an upstream. Resumes after `progress` and appends to it; an output of
/// more than `maxOutputBytes` is discarded and counts as a failed run. Informs the detector if the
/// upstream crashes or begins to answer. Suspends the calling fiber.
ItemRunEnd runItem(UpstreamTable::Reservation &place, const CallHeaderNames &dialect,
                   const SmallJob &job, const JobItem &item, ItemProgress &progress,
                   ItemRunControl &control, CrashingPartDetector &crashingParts,
                   std::size_t maxOutputBytes);

} // namespace Radishplank
