#pragma once

/// Public header of the Serving library: the decisions about a single call, without any I/O.

#include <Serving/AttemptMessage.h>
#include <Serving/AttemptRegistry.h>
#include <Serving/AttemptRequest.h>
#include <Serving/BatchWindow.h>
#include <Serving/CallAdmission.h>
#include <Serving/FleetPartition.h>
#include <Serving/HeartbeatMonitor.h>
#include <Serving/LinkAllowance.h>
#include <Serving/Outcome.h>
#include <Serving/OwnerShares.h>
#include <Serving/Quarantine.h>
#include <Serving/RemainingWork.h>
#include <Serving/RetryBudget.h>
#include <Serving/Router.h>
#include <Serving/SlotScheduler.h>
#include <Serving/StopSchedule.h>
#include <Serving/TokenBucket.h>
#include <Serving/UpstreamPace.h>
#include <Serving/UpstreamSubset.h>
#include <Serving/WorkEstimator.h>
