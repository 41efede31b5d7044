#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Radishplank::Test {

/// What a server does with one request.
enum class ServerDeed {
    Serve,
    Shed,       ///< 503 that says that the request has not run.
    Fail,       ///< 500 of its own.
    Reject,     ///< 422: no run can succeed.
    BreakOff,   ///< Closes the connection in the middle of its second event.
    LoseAnswer, ///< Runs the request and closes the connection without an answer.
};

/// What those who are connected to a server see of its crash.
enum class CrashManner {
    ConnectionsEnd,
    Silence, ///< As when its VM has lost its power.
};

/// A request that has reached a server.
struct ServedRequest
{
    HttpRequest request;
    ServerDeed deed = ServerDeed::Serve;
};

/// Stands in for a model server of the platform, written after its published protocol: it answers
/// each request with events, and resumes after the event that the request names.
class ServerStandin
{
public:
    ServerStandin(const Endpoint &listen, std::string id);

    [[nodiscard]] Endpoint endpoint() const { return m_endpoint; }
    [[nodiscard]] const std::string &id() const { return m_id; }
    /// Sets the deeds of the next requests; further ones are served.
    void plan(std::vector<ServerDeed> deeds);
    /// From now on, all answers say that the server is about to leave.
    void leave() { m_isLeaving = true; }
    /// A request with this body ends the server that begins to run it: nothing more comes on its
    /// connections, and it takes none until it is started again.
    void crashOn(std::string body, CrashManner manner = CrashManner::ConnectionsEnd);
    [[nodiscard]] bool isDown() const { return m_isDown; }
    /// Starts a server again that has crashed, under the same id.
    void startAgain();
    /// How many times the server has been started.
    [[nodiscard]] unsigned starts() const { return m_starts; }
    void setEventInterval(Milliseconds interval) { m_eventInterval = interval; }
    [[nodiscard]] std::vector<ServedRequest> served();

    static constexpr unsigned eventCount = 5;
    /// The bytes of an event of the answer to a request with this body.
    static std::string eventBytes(const std::string &body, unsigned event);
    /// The bytes of the whole answer.
    static std::string answerBytes(const std::string &body);
    /// The data of all events, as a job's result has it.
    static std::string answerData(const std::string &body);

private:
    void listen(const Endpoint &address);
    void handle(HttpExchange &exchange);
    void crash(HttpExchange &exchange);
    void serve(HttpExchange &exchange, const std::string &body, ServerDeed deed);
    [[nodiscard]] HttpHeaders answerHeaders(const HttpRequest &request) const;

    const std::string m_id;
    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_isDown{false};
    std::atomic<unsigned> m_starts{1};
    std::string m_crashBody;
    std::atomic<CrashManner> m_crashManner{CrashManner::ConnectionsEnd};
    std::atomic<Milliseconds> m_eventInterval{Milliseconds(2)};
    std::mutex m_mutex;
    std::deque<ServerDeed> m_planned;
    std::vector<ServedRequest> m_served;
    FiberThreads &m_threads;
    std::unique_ptr<HttpServer> m_server;
    Endpoint m_endpoint;
};

} // namespace Radishplank::Test
