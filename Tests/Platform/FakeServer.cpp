#include "FakeServer.h"

#include <boost/fiber/operations.hpp>

namespace Radishplank::Test {

namespace {

/// As large as any caller's limit.
constexpr std::size_t maxHeadBytes = std::size_t{256} * 1024;

} // namespace

FakeServer::FakeServer(const Endpoint &listen, std::string id)
    : m_id(std::move(id))
    , m_threads(*new FiberThreads(1)) // Leaked: its fibers run until the process exits.
{
    this->listen(listen);
}

void FakeServer::listen(const Endpoint &address)
{
    HttpServerLimits limits;
    limits.headerBytes = maxHeadBytes;
    m_server = HttpServer::listen(m_threads, address, limits, [this](HttpExchange &exchange) {
                   handle(exchange);
               }).takeValue();
    m_endpoint = m_server->endpoint();
}

void FakeServer::crash(HttpExchange &exchange)
{
    // The port must be closed before any client sees its connection close.
    constexpr Milliseconds closingTime{50};
    constexpr Milliseconds unresponsiveTime{30'000};
    m_isDown = true;
    m_server->closeIdle();
    boost::this_fiber::sleep_for(m_crashMode.load() == CrashMode::StopResponding ? unresponsiveTime
                                                                                 : closingTime);
    exchange.abandon();
}

void FakeServer::planActions(std::vector<ServerAction> actions)
{
    const std::scoped_lock lock(m_mutex);
    m_plannedActions = {actions.begin(), actions.end()};
}

void FakeServer::crashOn(std::string body, CrashMode mode)
{
    m_crashMode = mode;
    const std::scoped_lock lock(m_mutex);
    m_crashBody = std::move(body);
}

void FakeServer::crashOnPart(std::string part)
{
    const std::scoped_lock lock(m_mutex);
    m_crashPart = std::move(part);
}

bool FakeServer::mustCrash() const
{
    const auto &request = m_served.back().request;
    if (!m_crashBody.empty() && request.body == m_crashBody)
        return true;
    const auto parts = "," + request.headers.value("X-Prompt-Prefix");
    return !m_crashPart.empty() && parts.find("," + m_crashPart + ":") != std::string::npos;
}

void FakeServer::restart()
{
    m_startCount += 1;
    m_isDown = false;
    listen(m_endpoint);
}

std::vector<ServedRequest> FakeServer::served()
{
    const std::scoped_lock lock(m_mutex);
    return m_served;
}

std::string FakeServer::eventBytes(const std::string &body, unsigned event)
{
    const auto number = std::to_string(event);
    return "id: " + number + "\ndata: " + body + " " + number + "\n\n";
}

std::string FakeServer::responseBytes(const std::string &body)
{
    std::string bytes;
    for (unsigned event = 1; event <= eventCount; ++event)
        bytes += eventBytes(body, event);
    return bytes;
}

std::string FakeServer::responseData(const std::string &body)
{
    std::string data;
    for (unsigned event = 1; event <= eventCount; ++event)
        data += (event > 1 ? "\n" : "") + body + " " + std::to_string(event);
    return data;
}

void FakeServer::nameRequestLimit(std::optional<double> perSecond)
{
    const std::scoped_lock lock(m_mutex);
    m_requestLimit = perSecond;
}

HttpHeaders FakeServer::responseHeaders(const HttpRequest &request)
{
    HttpHeaders headers{{"X-Attempt-Id", request.headers.value("X-Attempt-Id")},
                        {"X-Response-Seal", "seal-of-" + m_id},
                        {"X-Weight-Versions", "1"}};
    if (m_isLeaving)
        headers.add("Server-Leaving", "1");
    const std::scoped_lock lock(m_mutex);
    if (m_requestLimit)
        headers.add("Server-Limit", std::to_string(*m_requestLimit));
    return headers;
}

void FakeServer::handle(HttpExchange &exchange)
{
    if (m_isDown)
        return exchange.abandon();
    const auto body = exchange.readBody();
    const auto &request = exchange.request();
    const auto expected = request.headers.find("X-Expect-Instance");
    if (expected && *expected != m_id) {
        (void)exchange.respond({421, {{"X-Instance-Id", m_id}}, ""});
        return;
    }
    ServerAction action = ServerAction::Serve;
    bool isCrashing = false;
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_plannedActions.empty()) {
            action = m_plannedActions.front();
            m_plannedActions.pop_front();
        }
        m_served.push_back({request, action, SteadyClock().now()});
        m_served.back().request.body = body.isError() ? "" : body.value();
        isCrashing = mustCrash();
    }
    if (isCrashing) {
        if (!request.headers.value("X-Prompt-Prefix").empty())
            (void)exchange.beginStream(200, responseHeaders(request));
        return crash(exchange);
    }
    serve(exchange, body.isError() ? "" : body.value(), action);
}

void FakeServer::serve(HttpExchange &exchange, const std::string &body, ServerAction action)
{
    const auto &request = exchange.request();
    auto headers = responseHeaders(request);
    switch (action) {
    case ServerAction::Shed:
        (void)exchange.respond({503, {{"X-Not-Executed", "1"}}, ""});
        return;
    case ServerAction::Fail:
        (void)exchange.respond({500, std::move(headers), "failed"});
        return;
    case ServerAction::FailAsBusy:
        (void)exchange.respond({503, std::move(headers), "failed"});
        return;
    case ServerAction::Reject:
        (void)exchange.respond({422, std::move(headers), "impossible"});
        return;
    case ServerAction::DropResponse:
        // To the caller, the response is missing.
        (void)exchange.beginStream(200, {});
        exchange.abandon();
        return;
    case ServerAction::Serve:
    case ServerAction::CloseMidStream:
        break;
    }
    headers.add("Content-Type", "text/event-stream");
    (void)exchange.beginStream(200, std::move(headers));
    const auto after = request.headers.value("Last-Event-Id");
    const unsigned first = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
    for (unsigned event = first; event <= eventCount; ++event) {
        const auto bytes = eventBytes(body, event);
        if (action == ServerAction::CloseMidStream && event == first + 1) {
            (void)exchange.writeStream(std::string_view(bytes).substr(0, bytes.size() / 2));
            exchange.abandon();
            return;
        }
        if (m_isDown)
            return exchange.abandon();
        if (exchange.writeStream(bytes).isError())
            return;
        boost::this_fiber::sleep_for(m_eventInterval.load());
    }
    (void)exchange.endStream();
}

} // namespace Radishplank::Test
