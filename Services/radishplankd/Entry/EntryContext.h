#pragma once

#include "Entry/AttemptClient.h"
#include "Entry/UsageCounters.h"
#include "Fleet/Fleet.h"

#include <Limits/Limits.h>
#include <Placement/Placement.h>
#include <Store/Store.h>

namespace Radishplank {

struct EntryMetrics
{
    Counter requests;
    Counter refused;
    Counter retries;
    Counter resumed;
    Counter unknownOutcomes;
    Counter crashes;
    Counter itemsCompleted;
    Counter itemsFailed;
    Counter itemsPreempted;
    Counter shardsClaimed;
    Counter shardsLost;
    LatencyHistogram firstToken;
    LatencyHistogram wholeAnswer;
};

/// Shared state of an entry process; outlives every component that refers to it.
struct EntryContext
{
    FiberThreads &threads;
    ControlThread &control;
    HttpObjectStore &store;
    ConfigurationReplica &configuration;
    Fleet &fleet;
    AttemptClient &attempts;
    OwnerLimits &limits;
    Quarantine &quarantine;
    RetryBudget &retryBudget;
    EntryMetrics &metrics;
    UsageCounters &usage;
    LinkAllowance &batchLink;
    DemandMeter &demand;
    StopSchedule &stopSchedule;
    NodeId node;
};

} // namespace Radishplank
