#pragma once

#include <Core/Core.h>

#include <string>

namespace Radishplank {

/// Metrics of the gateway of one entry process. Thread-safe.
struct GatewayMetrics
{
    Counter callsAnswered;
    Counter callsRefused;
    /// Calls refused because no slot was expected in time, because their owners held more than
    /// their shares of the slots, and because no upstream was known.
    Counter callsRefusedForWait;
    Counter callsRefusedForShare;
    Counter callsRefusedWithoutUpstream;
    /// Calls refused because upstreams take no more requests per second.
    Counter callsRefusedForUpstreamLimit;
    /// Streams ended because their callers did not read them.
    Counter callsUnread;
    Counter callsFailed;
    Counter callsCutOff;
    Counter callsRefusedAsCrashing;
    Counter callsAbandoned;
    /// Calls refused because their token is missing or unknown.
    Counter callsUnauthorized;
    /// Calls refused because the configuration could not be confirmed recently.
    Counter callsUnconfirmed;
    Counter callsResumed;
    Counter attemptsSent;
    Counter attemptsNotRun;
    Counter attemptsFailed;
    /// Attempts during which the upstream crashed.
    Counter crashesSuspected;
    Counter itemRuns;
    Counter itemsPreempted;
    Counter itemsCompleted;
    Counter itemsGivenUp;
    Counter jobsAdopted;
    Counter jobsEnded;
    Counter jobsOverLimit;
    Counter resultSegments;
    /// Time from the arrival of a call to the first bytes of its answer, and to the last.
    LatencyHistogram firstEvent;
    LatencyHistogram wholeCall;
    /// Of calls sent to upstreams without a free slot: the expected wait for a slot, and the time
    /// from sending to the first bytes.
    LatencyHistogram expectedWait;
    LatencyHistogram firstEventAfterWait;
    /// Time from the submission of a job to the result of one of its items.
    LatencyHistogram itemAge;
    /// Slot times divided by their estimates; the histogram takes a ratio of 1 for one second.
    LatencyHistogram slotTimeRatio;

    void recordSlotTimeRatio(double ratio)
    {
        slotTimeRatio.record(
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ratio)));
    }

    /// Appends all metrics in the Prometheus text format.
    void renderPrometheus(std::string &text) const;
};

} // namespace Radishplank
