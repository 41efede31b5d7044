#pragma once

#include <Gateway/CallDialect.h>
#include <Gateway/CrashLedger.h>
#include <Gateway/GatewayMetrics.h>
#include <Gateway/RouteTable.h>
#include <Gateway/UpstreamTable.h>
#include <Net/Net.h>

namespace Radishplank {

/// Finds the route of each call and passes the call through to an upstream.
class Relay
{
public:
    Relay(const RouteDirectory &routes, UpstreamTable &upstreams, CrashLedger &crashes,
          GatewayMetrics &metrics, CallDialect dialect);

    /// Answers a call; `route` is what the directory finds for it.
    void serve(HttpExchange &exchange, const std::shared_ptr<const Route> &route);

private:
    const RouteDirectory &m_routes;
    UpstreamTable &m_upstreams;
    CrashLedger &m_crashes;
    GatewayMetrics &m_metrics;
    const CallDialect m_dialect;
};

/// Answers a call that the configuration does not allow, or for which there is none yet.
void answerWithoutRoute(HttpExchange &exchange, const RouteDirectory &routes);
/// Answers a call whose body could not be read.
void answerUnreadBody(HttpExchange &exchange, const Error &error);

} // namespace Radishplank
