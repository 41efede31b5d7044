#pragma once

#include <Gateway/CallHeaderNames.h>
#include <Gateway/CallerAuthenticator.h>
#include <Gateway/CrashTracker.h>
#include <Gateway/CrashingPartDetector.h>
#include <Gateway/GatewayMetrics.h>
#include <Gateway/QuotaLink.h>
#include <Gateway/RouteTable.h>
#include <Gateway/UpstreamTable.h>
#include <Net/Net.h>
#include <Serving/Serving.h>

namespace Radishplank {

/// Proxies each call to an upstream of its route.
class Relay
{
public:
    Relay(const RouteDirectory &routes, UpstreamTable &upstreams, CrashTracker &crashes,
          CrashingPartDetector &crashingParts, GatewayMetrics &metrics, CallHeaderNames headerNames,
          const StopSchedule &stopSchedule, QuotaLink &quotas);

    /// Answers a call; `route` is the route that the directory has found for it, or null. Refuses a
    /// call that may last longer than the process, which is about to stop, and a call above the
    /// rate of its owner.
    void serve(HttpExchange &exchange, const std::shared_ptr<const Route> &route,
               CallerIdentity caller);

private:
    /// Returns whether an upstream may have run the call.
    bool relay(HttpExchange &exchange, const std::shared_ptr<const Route> &route,
               CallerIdentity caller, TimePoint arrived, TimePoint deadline);
    void refuseOverQuota(HttpExchange &exchange, const Route &route, const CallerIdentity &caller,
                         Milliseconds retryAfter);
    void refuseBeforeStop(HttpExchange &exchange, const Route &route, TimePoint deadline);

    const RouteDirectory &m_routes;
    UpstreamTable &m_upstreams;
    CrashTracker &m_crashes;
    CrashingPartDetector &m_crashingParts;
    GatewayMetrics &m_metrics;
    const CallHeaderNames m_headerNames;
    const StopSchedule &m_stopSchedule;
    QuotaLink &m_quotas;
};

/// Answers a call that has no route, or that arrived before the configuration was loaded.
void answerWithoutRoute(HttpExchange &exchange, const RouteDirectory &routes);
/// Answers a call whose body could not be read.
void answerUnreadBody(HttpExchange &exchange, const Error &error);

} // namespace Radishplank
