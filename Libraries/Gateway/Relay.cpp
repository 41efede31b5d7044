#include <Gateway/Relay.h>

#include <Gateway/RelayCall.h>

#include <algorithm>
#include <charconv>

namespace Radishplank {

namespace {

/// Timeout of calls for which neither the route nor the caller sets one.
constexpr Milliseconds defaultTimeout{30'000};
/// A process that has just started loads its configuration within about this time.
constexpr Milliseconds configurationRetryAfter{500};
constexpr Milliseconds bodyRetryAfter{200};
/// The response closes the connection, so the next attempt reaches another process.
constexpr Milliseconds stopRetryAfter{0};

std::optional<Milliseconds> parseMilliseconds(std::string_view text)
{
    long long value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || value < 0)
        return {};
    return Milliseconds(value);
}

} // namespace

Relay::Relay(const RouteDirectory &routes, UpstreamTable &upstreams, CrashTracker &crashes,
             CrashingPartDetector &crashingParts, GatewayMetrics &metrics,
             CallHeaderNames headerNames, const StopSchedule &stopSchedule, QuotaLink &quotas)
    : m_routes(routes)
    , m_upstreams(upstreams)
    , m_crashes(crashes)
    , m_crashingParts(crashingParts)
    , m_metrics(metrics)
    , m_headerNames(std::move(headerNames))
    , m_stopSchedule(stopSchedule)
    , m_quotas(quotas)
{
}

void Relay::serve(HttpExchange &exchange, const std::shared_ptr<const Route> &route,
                  CallerIdentity caller)
{
    const auto arrived = SteadyClock().now();
    if (!route)
        return answerWithoutRoute(exchange, m_routes);
    auto maxDuration = route->timeout.count() > 0 ? route->timeout : defaultTimeout;
    if (const auto left
        = parseMilliseconds(exchange.request().headers.value(m_headerNames.timeLeft)))
        maxDuration = std::min(maxDuration, *left);
    const auto deadline = arrived + maxDuration;
    if (!m_stopSchedule.mayTake(deadline, arrived))
        return refuseBeforeStop(exchange, *route, deadline);
    const auto owner = caller.owner;
    if (!owner || !m_quotas.isEnabled()) {
        (void)relay(exchange, route, std::move(caller), arrived, deadline);
        return;
    }
    // Before the body is read, so that calls above the rate take no memory for theirs.
    if (const auto retryAfter = m_quotas.admit(*owner))
        return refuseOverQuota(exchange, *route, caller, *retryAfter);
    if (!relay(exchange, route, std::move(caller), arrived, deadline))
        m_quotas.putBack(*owner);
}

bool Relay::relay(HttpExchange &exchange, const std::shared_ptr<const Route> &route,
                  CallerIdentity caller, TimePoint arrived, TimePoint deadline)
{
    auto body = exchange.readBody();
    if (body.isError()) {
        answerUnreadBody(exchange, body.error());
        return false;
    }
    // The stop may have begun, or come closer, while the body was read.
    if (!m_stopSchedule.mayTake(deadline, SteadyClock().now())) {
        refuseBeforeStop(exchange, *route, deadline);
        return false;
    }
    const double draw = std::uniform_real_distribution<double>(0, 1)(threadRandomEngine());
    RelayCall call(exchange, m_upstreams, m_crashes, m_crashingParts, m_headerNames, m_metrics,
                   {route, chooseService(*route, draw), body.takeValue(), arrived, deadline,
                    m_routes.version(), std::move(caller)});
    call.run();
    return call.mayHaveRun();
}

void Relay::refuseOverQuota(HttpExchange &exchange, const Route &route,
                            const CallerIdentity &caller, Milliseconds retryAfter)
{
    logDecision("call-over-quota",
                {{"id", exchange.request().headers.value(m_headerNames.attemptId)},
                 {"route", route.name},
                 {"owner", caller.name()},
                 {"retryAfterMs", std::to_string(retryAfter.count())}});
    (void)exchange.respond(
            {429,
             {{"Content-Type", "text/plain"}, {"Retry-After", retryAfterText(retryAfter)}},
             "the call has not run: its organisation is above its rate\n"});
}

void Relay::refuseBeforeStop(HttpExchange &exchange, const Route &route, TimePoint deadline)
{
    m_metrics.callsRefused.increase();
    const auto missing
            = std::chrono::duration_cast<Milliseconds>(deadline - m_stopSchedule.endsAt());
    logFailure("call-refused-before-stop",
               {{"id", exchange.request().headers.value(m_headerNames.attemptId)},
                {"route", route.name},
                {"missingMs", std::to_string(missing.count())}});
    (void)exchange.respond(
            {503,
             {{"Content-Type", "text/plain"}, {"Retry-After", retryAfterText(stopRetryAfter)}},
             "the call has not run: this process is about to stop\n"});
}

void answerWithoutRoute(HttpExchange &exchange, const RouteDirectory &routes)
{
    if (routes.isConfigured()) {
        (void)exchange.respond({404, {{"Content-Type", "text/plain"}}, "no route leads there\n"});
        return;
    }
    (void)exchange.respond({503,
                            {{"Content-Type", "text/plain"},
                             {"Retry-After", retryAfterText(configurationRetryAfter)}},
                            "the call has not run: the configuration is not known yet\n"});
}

void answerUnreadBody(HttpExchange &exchange, const Error &error)
{
    unsigned status = 400;
    HttpHeaders headers{{"Content-Type", "text/plain"}};
    if (error.kind == ErrorKind::TooLarge) {
        status = 413;
    } else if (error.kind == ErrorKind::Unavailable) {
        status = 503;
        headers.add("Retry-After", retryAfterText(bodyRetryAfter));
    } else if (error.kind == ErrorKind::Timeout) {
        status = 408;
    }
    (void)exchange.respond({status, std::move(headers), error.message + "\n"});
}

} // namespace Radishplank
