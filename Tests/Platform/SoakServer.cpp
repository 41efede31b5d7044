#include "SoakServer.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <iomanip>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>

namespace Radishplank::Test {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

/// Percentages of the requests, or of the answers, that have a fault.
constexpr unsigned refusalPercent = 15;
constexpr unsigned failurePercent = 5;
constexpr unsigned breakPercent = 15;
constexpr unsigned copyPercent = 30;
constexpr unsigned oddStatusPercent = 2;

constexpr std::size_t maxCopyBytes = 2'000;
constexpr std::size_t maxEarlierAnswers = 4;

unsigned eventCountOf(std::string_view body)
{
    unsigned count = 1;
    const auto at = body.rfind("-n");
    if (at != std::string_view::npos)
        (void)std::from_chars(body.data() + at + 2, body.data() + body.size(), count);
    return count;
}

std::string eventData(const std::string &body, unsigned event)
{
    return body + " " + std::to_string(event);
}

std::string eventBytes(const std::string &body, unsigned event)
{
    return "id: " + std::to_string(event) + "\ndata: " + eventData(body, event) + "\n\n";
}

std::string chunk(std::string_view bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

/// Returns the status and the id of an answer.
std::string firstLines(const std::string &answer)
{
    const auto statusEnd = answer.find("\r\n");
    const auto idEnd = answer.find("\r\n", statusEnd + 2);
    return answer.substr(0, statusEnd) + ", " + answer.substr(statusEnd + 2, idEnd - statusEnd - 2);
}

template<typename Answers>
void remember(Answers &answers, std::string answer)
{
    if (answer.size() > maxCopyBytes)
        return;
    if (answers.size() == maxEarlierAnswers)
        answers.erase(answers.begin());
    answers.push_back(std::move(answer));
}

} // namespace

std::size_t SoakRecord::begin(const std::string &id, const std::string &server,
                              std::string_view after)
{
    m_resumptions += after.empty() ? 0 : 1;
    const std::scoped_lock lock(m_mutex);
    m_runs.push_back({id, server, SteadyClock().now(), {}});
    noteLocked(id, server + " begins to run after event '" + std::string(after) + "'");
    return m_runs.size() - 1;
}

void SoakRecord::end(std::size_t run)
{
    const std::scoped_lock lock(m_mutex);
    m_runs[run].end = SteadyClock().now();
    noteLocked(m_runs[run].id, m_runs[run].server + " ends its run");
}

void SoakRecord::note(const std::string &id, const std::string &text)
{
    const std::scoped_lock lock(m_mutex);
    noteLocked(id, text);
}

void SoakRecord::noteLocked(const std::string &id, const std::string &text)
{
    const std::chrono::duration<double> time = SteadyClock().now() - m_start;
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << time.count() << " " << text << "\n";
    m_traces[id] += line.str();
}

std::map<std::string, std::vector<SoakRun>> SoakRecord::runs() const
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, std::vector<SoakRun>> byId;
    for (const auto &run : m_runs)
        byId[run.id].push_back(run);
    return byId;
}

std::string SoakRecord::traceOf(const std::string &id) const
{
    const std::scoped_lock lock(m_mutex);
    const auto trace = m_traces.find(id);
    return trace == m_traces.end() ? "" : trace->second;
}

std::string SoakRecord::summary() const
{
    const std::scoped_lock lock(m_mutex);
    return std::to_string(m_runs.size()) + " runs (" + std::to_string(m_resumptions) + " resumed), "
           + std::to_string(m_refusals) + " refusals (" + std::to_string(m_misdirections)
           + " for another id), " + std::to_string(m_copies) + " copies of answers";
}

SoakServer::SoakServer(const std::string &address, std::string id, SoakRecord &record,
                       std::uint64_t seed)
    : m_record(record)
    , m_acceptor(m_context, {boost::asio::ip::make_address(address), 0})
    , m_endpoint{address, m_acceptor.local_endpoint().port()}
    , m_id(std::move(id))
    , m_random(seed)
    , m_thread([this] { acceptLoop(); })
{
}

SoakServer::~SoakServer()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        shutDownConnections();
    }
    // Wakes the thread that is blocked in accept().
    boost::system::error_code ignored;
    tcp::socket last(m_context);
    last.connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
    for (auto &connection : m_connections)
        connection.thread.join();
}

std::string SoakServer::id() const
{
    const std::scoped_lock lock(m_mutex);
    return m_id;
}

void SoakServer::restart(std::string id)
{
    const std::scoped_lock lock(m_mutex);
    m_id = std::move(id);
    shutDownConnections();
}

void SoakServer::shutDownConnections()
{
    boost::system::error_code ignored;
    for (auto &connection : m_connections) {
        if (!connection.hasEnded)
            connection.socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
}

std::string SoakServer::bodyFor(const std::string &id, unsigned events)
{
    return id + "-n" + std::to_string(events);
}

std::string SoakServer::responseBytes(const std::string &body)
{
    std::string bytes;
    for (unsigned event = 1; event <= eventCountOf(body); ++event)
        bytes += eventBytes(body, event);
    return bytes;
}

std::string SoakServer::responseData(const std::string &body)
{
    std::string data;
    for (unsigned event = 1; event <= eventCountOf(body); ++event)
        data += (event > 1 ? "\n" : "") + eventData(body, event);
    return data;
}

void SoakServer::acceptLoop()
{
    while (true) {
        tcp::socket socket(m_context);
        boost::system::error_code code;
        m_acceptor.accept(socket, code);
        const std::scoped_lock lock(m_mutex);
        if (m_isStopping)
            return;
        if (code)
            continue;
        m_connections.remove_if([](Connection &connection) {
            if (connection.hasEnded)
                connection.thread.join();
            return connection.hasEnded.load();
        });
        auto &connection = m_connections.emplace_back(m_context);
        connection.socket = std::move(socket);
        connection.serverId = m_id;
        connection.random.seed(m_random());
        connection.thread = std::thread([this, &connection] {
            serve(connection);
            const std::scoped_lock closing(m_mutex);
            boost::system::error_code ignored;
            connection.socket.close(ignored);
            connection.hasEnded = true;
        });
    }
}

void SoakServer::serve(Connection &connection)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        boost::system::error_code code;
        http::read(connection.socket, buffer, parser, code);
        if (code)
            return;
        const auto &message = parser.get();
        const auto field = [&](const char *name) { return std::string(message[name]); };
        const Request request{field("X-Attempt-Id"), field("X-Expect-Instance"),
                              field("Last-Event-Id"), message.body()};
        if (!answer(connection, request))
            return;
    }
}

bool SoakServer::answer(Connection &connection, const Request &request)
{
    if (request.id.empty())
        return write(connection, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    if (!request.expectedServer.empty() && request.expectedServer != connection.serverId) {
        m_record.countMisdirection();
        return refuse(connection, request, "421 Misdirected Request");
    }
    if (chance(connection, refusalPercent))
        return refuse(connection, request,
                      randomBelow(connection.random, 2) == 0 ? "503 Service Unavailable"
                                                             : "421 Misdirected Request");
    const auto number = m_record.begin(request.id, connection.serverId, request.after);
    const bool isOpen
            = chance(connection, oddStatusPercent)
                      ? write(connection, head("600 Odd", request.id, "Content-Length: 0\r\n"))
                      : run(connection, request);
    // Others may begin to run the request as soon as they see the connection close.
    m_record.end(number);
    return isOpen && writeLateCopy(connection, request);
}

bool SoakServer::refuse(Connection &connection, const Request &request, const std::string &status)
{
    auto bytes = head(status, request.id, "X-Not-Executed: 1\r\nContent-Length: 0\r\n");
    m_record.countRefusal();
    m_record.note(request.id, connection.serverId + " refuses: " + status);
    if (!writeAmongCopies(connection, request, bytes))
        return false;
    remember(connection.earlierRefusals, std::move(bytes));
    return writeLateCopy(connection, request);
}

bool SoakServer::run(Connection &connection, const Request &request)
{
    if (!writeEarlyCopy(connection, request)
        || !waitWhileOpen(connection, randomTime(connection.random, 0, 60)))
        return false;
    if (!chance(connection, failurePercent))
        return runStream(connection, request);
    m_record.note(request.id, connection.serverId + " answers 503 after its run");
    auto bytes = head("503 Service Unavailable", request.id,
                      "X-Response-Seal: seal-of-" + request.id + "\r\nContent-Length: 6\r\n")
                 + "failed";
    if (!writeAmongCopies(connection, request, bytes))
        return false;
    remember(connection.earlierAnswers, std::move(bytes));
    return true;
}

bool SoakServer::runStream(Connection &connection, const Request &request)
{
    auto bytes = head("200 OK", request.id,
                      "X-Response-Seal: seal-of-" + request.id
                              + "\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n");
    if (!writeAmongCopies(connection, request, bytes))
        return false;
    unsigned event = 0;
    (void)std::from_chars(request.after.data(), request.after.data() + request.after.size(), event);
    const auto count = eventCountOf(request.body);
    const unsigned breakAt
            = chance(connection, breakPercent)
                      ? event + 1 + static_cast<unsigned>(randomBelow(connection.random, count))
                      : 0;
    const auto pause = randomTime(connection.random, 5, 150);
    while (++event <= count) {
        const auto next = eventBytes(request.body, event);
        if (event == breakAt) {
            m_record.note(request.id, connection.serverId + " breaks the stream off");
            const auto part = randomBelow(connection.random, next.size());
            if (part > 0)
                (void)write(connection, chunk(std::string_view(next).substr(0, part)));
            return false;
        }
        if (!write(connection, chunk(next)))
            return false;
        bytes += chunk(next);
        if (event < count && !waitWhileOpen(connection, pause))
            return false;
    }
    bytes += chunk("");
    if (!write(connection, chunk("")))
        return false;
    remember(connection.earlierAnswers, std::move(bytes));
    return true;
}

std::string SoakServer::head(const std::string &status, const std::string &id,
                             const std::string &headers) const
{
    const unsigned limit = m_requestLimit;
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n"
           + (limit > 0 ? "Server-Limit: " + std::to_string(limit) + "\r\n" : "") + headers
           + "\r\n";
}

bool SoakServer::write(Connection &connection, std::string_view bytes)
{
    boost::system::error_code code;
    boost::asio::write(connection.socket, boost::asio::buffer(bytes), code);
    return !code;
}

bool SoakServer::writeAmongCopies(Connection &connection, const Request &request,
                                  std::string_view bytes)
{
    const auto copy = earlierAnswer(connection);
    if (copy.empty() || !chance(connection, copyPercent))
        return write(connection, bytes);
    m_record.countCopy();
    if (randomBelow(connection.random, 2) == 0) {
        m_record.note(request.id, connection.serverId + " writes before it: " + firstLines(copy));
        return write(connection, copy + std::string(bytes));
    }
    m_record.note(request.id,
                  connection.serverId + " writes in two pieces before it: " + firstLines(copy));
    const auto part = 1 + randomBelow(connection.random, copy.size() - 1);
    return write(connection, copy.substr(0, part))
           && waitWhileOpen(connection, randomTime(connection.random, 1, 10))
           && write(connection, copy.substr(part) + std::string(bytes));
}

bool SoakServer::writeEarlyCopy(Connection &connection, const Request &request)
{
    const auto copy = earlierAnswer(connection);
    if (copy.empty() || !chance(connection, copyPercent))
        return true;
    m_record.countCopy();
    m_record.note(request.id,
                  connection.serverId + " writes at the begin of its run: " + firstLines(copy));
    return write(connection, copy);
}

bool SoakServer::writeLateCopy(Connection &connection, const Request &request)
{
    const auto copy = earlierAnswer(connection);
    if (copy.empty() || !chance(connection, copyPercent))
        return true;
    m_record.countCopy();
    m_record.note(request.id, connection.serverId + " writes a little later: " + firstLines(copy));
    return waitWhileOpen(connection, randomTime(connection.random, 1, 5))
           && write(connection, copy);
}

bool SoakServer::waitWhileOpen(Connection &connection, Milliseconds time)
{
    const auto until = SteadyClock().now() + time;
    while (true) {
        const auto left
                = std::chrono::ceil<std::chrono::milliseconds>(until - SteadyClock().now()).count();
        if (left <= 0)
            return true;
        pollfd descriptor{connection.socket.native_handle(), POLLIN, 0};
        if (::poll(&descriptor, 1, static_cast<int>(left)) <= 0)
            continue;
        char byte = 0;
        if (::recv(descriptor.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
            return false;
        // The next request is there already.
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

std::string SoakServer::earlierAnswer(Connection &connection)
{
    constexpr unsigned refusalShare = 4; // Of five copies.
    const bool isRefusal
            = connection.earlierAnswers.empty() || randomBelow(connection.random, 5) < refusalShare;
    const auto &answers = isRefusal && !connection.earlierRefusals.empty()
                                  ? connection.earlierRefusals
                                  : connection.earlierAnswers;
    return answers.empty() ? "" : answers[randomBelow(connection.random, answers.size())];
}

bool SoakServer::chance(Connection &connection, unsigned percent) const
{
    return randomBelow(connection.random, 100) < percent && m_isFaulty;
}

} // namespace Radishplank::Test
