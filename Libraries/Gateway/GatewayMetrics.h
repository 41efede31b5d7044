#pragma once

#include <Core/Core.h>

#include <string>

namespace Radishplank {

/// What the gateway of one entry process counts; safe from any thread.
struct GatewayMetrics
{
    Counter callsAnswered;
    Counter callsRefused;
    Counter callsFailed;
    Counter callsCutOff;
    Counter callsRefusedAsCrashing;
    Counter callsAbandoned;
    Counter callsResumed;
    Counter attemptsSent;
    Counter attemptsNotRun;
    Counter attemptsFailed;
    /// Attempts under which upstreams ended.
    Counter crashesSuspected;
    Counter itemRuns;
    Counter itemsPreempted;
    Counter itemsCompleted;
    Counter itemsGivenUp;
    Counter jobsAdopted;
    Counter jobsEnded;
    Counter jobsOverLimit;
    Counter resultSegments;
    /// From a call's arrival to the first bytes of its answer, and to its last.
    LatencyHistogram firstEvent;
    LatencyHistogram wholeCall;
    /// From a job's submission to the result of one of its items.
    LatencyHistogram itemAge;

    /// Appends all of it in the Prometheus text form.
    void renderPrometheus(std::string &text) const;
};

} // namespace Radishplank
