#include "ServerStandin.h"

#include <boost/fiber/operations.hpp>

namespace Radishplank::Test {

ServerStandin::ServerStandin(const Endpoint &listen, std::string id)
    : m_id(std::move(id))
    , m_threads(*new FiberThreads(1)) // Its fibers run until the test program ends.
{
    this->listen(listen);
}

void ServerStandin::listen(const Endpoint &address)
{
    m_server = HttpServer::listen(m_threads, address, {}, [this](HttpExchange &exchange) {
                   handle(exchange);
               }).takeValue();
    m_endpoint = m_server->endpoint();
}

void ServerStandin::crash(HttpExchange &exchange)
{
    // Nobody who sees his connection end may still find the port open.
    constexpr Milliseconds closingTime{50};
    constexpr Milliseconds silence{30'000};
    m_isDown = true;
    m_server->closeIdle();
    boost::this_fiber::sleep_for(m_crashManner.load() == CrashManner::Silence ? silence
                                                                              : closingTime);
    exchange.abandon();
}

void ServerStandin::plan(std::vector<ServerDeed> deeds)
{
    const std::scoped_lock lock(m_mutex);
    m_planned = {deeds.begin(), deeds.end()};
}

void ServerStandin::crashOn(std::string body, CrashManner manner)
{
    m_crashManner = manner;
    const std::scoped_lock lock(m_mutex);
    m_crashBody = std::move(body);
}

void ServerStandin::startAgain()
{
    m_starts += 1;
    m_isDown = false;
    listen(m_endpoint);
}

std::vector<ServedRequest> ServerStandin::served()
{
    const std::scoped_lock lock(m_mutex);
    return m_served;
}

std::string ServerStandin::eventBytes(const std::string &body, unsigned event)
{
    const auto number = std::to_string(event);
    return "id: " + number + "\ndata: " + body + " " + number + "\n\n";
}

std::string ServerStandin::answerBytes(const std::string &body)
{
    std::string bytes;
    for (unsigned event = 1; event <= eventCount; ++event)
        bytes += eventBytes(body, event);
    return bytes;
}

std::string ServerStandin::answerData(const std::string &body)
{
    std::string data;
    for (unsigned event = 1; event <= eventCount; ++event)
        data += (event > 1 ? "\n" : "") + body + " " + std::to_string(event);
    return data;
}

HttpHeaders ServerStandin::answerHeaders(const HttpRequest &request) const
{
    HttpHeaders headers{{"X-Attempt-Id", request.headers.value("X-Attempt-Id")},
                        {"X-Response-Seal", "seal-of-" + m_id},
                        {"X-Weight-Versions", "1"}};
    if (m_isLeaving)
        headers.add("Server-Leaving", "1");
    return headers;
}

void ServerStandin::handle(HttpExchange &exchange)
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
    ServerDeed deed = ServerDeed::Serve;
    bool mustCrash = false;
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_planned.empty()) {
            deed = m_planned.front();
            m_planned.pop_front();
        }
        m_served.push_back({request, deed});
        m_served.back().request.body = body.isError() ? "" : body.value();
        mustCrash = !m_crashBody.empty() && m_served.back().request.body == m_crashBody;
    }
    if (mustCrash)
        return crash(exchange);
    serve(exchange, body.isError() ? "" : body.value(), deed);
}

void ServerStandin::serve(HttpExchange &exchange, const std::string &body, ServerDeed deed)
{
    const auto &request = exchange.request();
    auto headers = answerHeaders(request);
    switch (deed) {
    case ServerDeed::Shed:
        (void)exchange.respond({503, {{"X-Not-Executed", "1"}}, ""});
        return;
    case ServerDeed::Fail:
        (void)exchange.respond({500, std::move(headers), "failed"});
        return;
    case ServerDeed::Reject:
        (void)exchange.respond({422, std::move(headers), "impossible"});
        return;
    case ServerDeed::LoseAnswer:
        // Looks to the caller like an answer that never came.
        (void)exchange.beginStream(200, {});
        exchange.abandon();
        return;
    case ServerDeed::Serve:
    case ServerDeed::BreakOff:
        break;
    }
    headers.add("Content-Type", "text/event-stream");
    (void)exchange.beginStream(200, std::move(headers));
    const auto after = request.headers.value("Last-Event-Id");
    const unsigned first = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
    for (unsigned event = first; event <= eventCount; ++event) {
        const auto bytes = eventBytes(body, event);
        if (deed == ServerDeed::BreakOff && event == first + 1) {
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
