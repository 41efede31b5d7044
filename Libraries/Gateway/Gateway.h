#pragma once

/// Public header of the Gateway library, which proxies calls to upstreams unchanged.

#include <Gateway/AdmissionControl.h>
#include <Gateway/AnswerHead.h>
#include <Gateway/CallFingerprint.h>
#include <Gateway/CallForwarder.h>
#include <Gateway/CallHeaderNames.h>
#include <Gateway/CallerAuthenticator.h>
#include <Gateway/ConfigurationEvidence.h>
#include <Gateway/CrashTracker.h>
#include <Gateway/CrashingPartDetector.h>
#include <Gateway/EventFramer.h>
#include <Gateway/FleetReporter.h>
#include <Gateway/FleetSourceTree.h>
#include <Gateway/GatewayMetrics.h>
#include <Gateway/HeaderRules.h>
#include <Gateway/JobService.h>
#include <Gateway/Locality.h>
#include <Gateway/MemberRegistry.h>
#include <Gateway/OwnerLoads.h>
#include <Gateway/PeerLink.h>
#include <Gateway/PeerTraffic.h>
#include <Gateway/PromptParts.h>
#include <Gateway/QuotaLink.h>
#include <Gateway/QuotaMessage.h>
#include <Gateway/Relay.h>
#include <Gateway/ReportRelay.h>
#include <Gateway/RequestAllowance.h>
#include <Gateway/RouteTable.h>
#include <Gateway/StreamDelivery.h>
#include <Gateway/StreamProgress.h>
#include <Gateway/UnconfirmedOwners.h>
#include <Gateway/UpstreamLimits.h>
#include <Gateway/UpstreamSelector.h>
#include <Gateway/UpstreamTable.h>
#include <Gateway/WorkHeaders.h>
