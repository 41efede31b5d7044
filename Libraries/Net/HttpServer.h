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

/// Bounds that keep a caller from using memory or connections without end.
struct HttpServerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
    /// Of all bodies together that are read whole and whose exchanges go on.
    std::size_t totalBodyBytes = std::size_t{256} * 1024 * 1024;
    std::size_t connections = 20'000;
    Milliseconds headerTimeout{10'000};
    Milliseconds idleTimeout{120'000};
    /// For a body that is read whole; else for each piece.
    Milliseconds bodyTimeout{30'000};
    Milliseconds writeTimeout{30'000};
};

/// The limits of a server, which may be replaced while it runs.
using HttpServerLimitsHolder = std::atomic<std::shared_ptr<const HttpServerLimits>>;

/// One request on a connection and the means to answer it; used by one fiber.
class HttpExchange
{
public:
    HttpExchange() = default;
    virtual ~HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Returns the request line and headers; the body is read apart from them.
    [[nodiscard]] virtual const HttpRequest &request() const = 0;
    /// Reads the body to its end; TooLarge past the server's limit, Unavailable while the bodies of
    /// all exchanges together are too large, Timeout if it comes too slowly.
    virtual Result<std::string> readBody() = 0;
    /// Reads the next piece of the body; an empty piece is its end.
    virtual Result<std::string> readBodyChunk() = 0;
    virtual Result<void> respond(HttpResponse response) = 0;
    virtual Result<void> beginStream(unsigned status, HttpHeaders headers) = 0;
    virtual Result<void> writeStream(std::string_view piece) = 0;
    virtual Result<void> endStream() = 0;
    /// Closes the connection after this exchange, whatever has been sent.
    virtual void abandon() = 0;
    [[nodiscard]] virtual bool hasResponded() const = 0;
    /// Tells whether the caller has closed its connection, or its side of it.
    [[nodiscard]] virtual bool isClientDisconnected() = 0;
    /// Calls the function once, on this thread, if the caller closes its connection before the
    /// exchange ends.
    virtual void onClientDisconnect(std::function<void()> notify) = 0;
};

/// An HTTP/1.1 server; each connection is one fiber.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange &)>;

    /// Binds and listens; port 0 takes a free port, which endpoint() tells.
    static Result<std::unique_ptr<HttpServer>> listen(FiberThreads &threads,
                                                      const Endpoint &address,
                                                      HttpServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    [[nodiscard]] Endpoint endpoint() const;
    /// Replaces the limits; they hold from each connection's next request on.
    void setLimits(const HttpServerLimits &limits);
    /// Asks callers to close their connections: every further answer says `Connection: close`.
    void beginDrain();
    /// Stops accepting and closes idle connections; running exchanges go on.
    void closeIdle();
    /// Returns the number of exchanges between request line and answer's end.
    [[nodiscard]] std::size_t activeExchanges() const;
    [[nodiscard]] std::size_t openConnections() const;

private:
    struct Implementation;
    explicit HttpServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Radishplank
