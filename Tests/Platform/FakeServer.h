#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Radishplank::Test {

/// How a server handles one request.
enum class ServerAction {
    Serve,
    Shed,           ///< 503 with a statement that the request did not run.
    Fail,           ///< 500 from the server itself.
    FailAsBusy,     ///< 503 without a statement that the request did not run.
    Reject,         ///< 422: the request can never succeed.
    CloseMidStream, ///< Closes the connection in the middle of the second event.
    DropResponse,   ///< Runs the request and closes the connection without a response.
};

/// How a server's crash appears to its clients.
enum class CrashMode {
    CloseConnections,
    StopResponding, ///< Connections stay open without data, as after a power failure of the VM.
};

/// A request that a server received.
struct ServedRequest
{
    HttpRequest request;
    ServerAction action = ServerAction::Serve;
    TimePoint at{};
};

/// Fake of a model server of the platform, implemented from its published protocol. It answers each
/// request with an event stream, and resumes after the event given in the request.
class FakeServer
{
public:
    FakeServer(const Endpoint &listen, std::string id);

    [[nodiscard]] Endpoint endpoint() const { return m_endpoint; }
    [[nodiscard]] const std::string &id() const { return m_id; }
    /// Sets the actions for the next requests. Later requests are served.
    void planActions(std::vector<ServerAction> actions);
    /// Adds the announcement that the server is about to leave to all further responses.
    void announceLeaving() { m_isLeaving = true; }
    /// Names in all further responses how many requests per second the server takes; none if empty.
    void nameRequestLimit(std::optional<double> perSecond);
    /// Makes the server crash when it begins to run a request with this body: it sends nothing more
    /// on its connections, and accepts none until it is restarted.
    void crashOn(std::string body, CrashMode mode = CrashMode::CloseConnections);
    /// Makes the server crash when it begins to answer a request whose prompt has this part: it
    /// sends the head of the response only, and accepts no connection until it is restarted.
    void crashOnPart(std::string part);
    [[nodiscard]] bool isDown() const { return m_isDown; }
    /// Restarts a crashed server under the same id.
    void restart();
    /// Returns how many times the server has been started.
    [[nodiscard]] unsigned startCount() const { return m_startCount; }
    void setEventInterval(Milliseconds interval) { m_eventInterval = interval; }
    [[nodiscard]] std::vector<ServedRequest> served();

    static constexpr unsigned eventCount = 5;
    /// Returns the bytes of an event in the response to a request with this body.
    static std::string eventBytes(const std::string &body, unsigned event);
    /// Returns the bytes of the complete response body.
    static std::string responseBytes(const std::string &body);
    /// Returns the data of all events, as contained in a job's result.
    static std::string responseData(const std::string &body);

private:
    void listen(const Endpoint &address);
    void handle(HttpExchange &exchange);
    void crash(HttpExchange &exchange);
    /// Returns whether the server must crash because of the request that it received last.
    [[nodiscard]] bool mustCrash() const;
    void serve(HttpExchange &exchange, const std::string &body, ServerAction action);
    [[nodiscard]] HttpHeaders responseHeaders(const HttpRequest &request);

    const std::string m_id;
    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_isDown{false};
    std::atomic<unsigned> m_startCount{1};
    std::optional<double> m_requestLimit;
    std::string m_crashBody;
    std::string m_crashPart;
    std::atomic<CrashMode> m_crashMode{CrashMode::CloseConnections};
    std::atomic<Milliseconds> m_eventInterval{Milliseconds(2)};
    std::mutex m_mutex;
    std::deque<ServerAction> m_plannedActions;
    std::vector<ServedRequest> m_served;
    FiberThreads &m_threads;
    std::unique_ptr<HttpServer> m_server;
    Endpoint m_endpoint;
};

} // namespace Radishplank::Test
