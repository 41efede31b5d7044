#pragma once

#include <Core/Clock.h>
#include <Core/Endpoint.h>
#include <Core/Result.h>
#include <Net/FiberThreads.h>
#include <Net/HttpMessage.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Radishplank {

/// Limits on the memory, connections and time that clients can use.
struct HttpServerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
    /// Limit on the sum of all bodies that readBody() holds for exchanges in progress.
    std::size_t totalBodyBytes = std::size_t{256} * 1024 * 1024;
    std::size_t connections = 20'000;
    Milliseconds headerTimeout{10'000};
    Milliseconds idleTimeout{120'000};
    /// Deadline for the whole body in readBody(); for each chunk in readBodyChunk().
    Milliseconds bodyTimeout{30'000};
    Milliseconds writeTimeout{30'000};
};

/// The limits of a server, which can be replaced while it runs.
using HttpServerLimitsHolder = std::atomic<std::shared_ptr<const HttpServerLimits>>;

/// One request on a connection and the functions that respond to it; used by one fiber.
class HttpExchange
{
public:
    HttpExchange() = default;
    virtual ~HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Returns the request line and headers; the body is read separately.
    [[nodiscard]] virtual const HttpRequest &request() const = 0;
    /// Reads the whole body; TooLarge if it exceeds the server's limit, Unavailable while the
    /// bodies of all exchanges together exceed theirs, Timeout if it arrives too slowly.
    virtual Result<std::string> readBody() = 0;
    /// Reads the next chunk of the body; an empty chunk marks its end.
    virtual Result<std::string> readBodyChunk() = 0;
    virtual Result<void> respond(HttpResponse response) = 0;
    virtual Result<void> beginStream(unsigned status, HttpHeaders headers) = 0;
    virtual Result<void> writeStream(std::string_view chunk) = 0;
    virtual Result<void> endStream() = 0;
    /// Closes the connection after this exchange, even if no complete response has been sent.
    virtual void abandon() = 0;
    [[nodiscard]] virtual bool hasResponded() const = 0;
    /// Returns whether the client has closed the connection, or its sending side.
    [[nodiscard]] virtual bool isClientDisconnected() = 0;
    /// Calls the function once, on this thread, if the client closes the connection before the
    /// exchange ends.
    virtual void onClientDisconnect(std::function<void()> notify) = 0;
};

/// How far a server has gone in stopping; it never goes back.
enum class ServerPhase {
    Serving,
    Draining,       ///< Each response closes its connection.
    ClosingIdle,    ///< Accepts no connections, and closes those that wait for another request.
    ClosingAllIdle, ///< Also closes connections that have not received a request yet.
};

/// An HTTP/1.1 server with one fiber per connection.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange &)>;

    /// Binds and listens; port 0 selects a free port, which endpoint() returns.
    static Result<std::unique_ptr<HttpServer>> listen(FiberThreads &threads,
                                                      const Endpoint &address,
                                                      HttpServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    [[nodiscard]] Endpoint endpoint() const;
    /// Replaces the limits; each connection applies them from its next request on.
    void setLimits(const HttpServerLimits &limits);
    /// Adds `Connection: close` to every further response.
    void beginDrain();
    /// Stops accepting and closes connections that wait for another request. Exchanges in progress
    /// continue, as do connections that have not received a request yet.
    void closeIdle();
    /// As closeIdle(), and soon after closes the connections that have not received a request.
    /// Waits until no connection is left that could bring a request or wait for a response, at most
    /// until the deadline. Blocks the calling thread, which must not run fibers.
    void closeAll(TimePoint deadline);
    /// Returns the number of exchanges in progress, from request head to end of response.
    [[nodiscard]] std::size_t activeExchanges() const;
    [[nodiscard]] std::size_t openConnections() const;

private:
    struct Implementation;
    /// Goes on to a phase, and closes the connections that it does not keep.
    void closeConnections(ServerPhase phase);
    explicit HttpServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Radishplank
