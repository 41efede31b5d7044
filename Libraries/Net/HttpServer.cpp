#include <Net/HttpServer.h>

#include <Net/Await.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <unordered_set>

namespace Radishplank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t bodyPieceBytes = std::size_t{8} * 1024;
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

class Connection;

Error ioError(std::string_view action, const boost::system::error_code &code)
{
    const bool isTimeout = code == beast::error::timeout;
    return {isTimeout ? ErrorKind::Timeout : ErrorKind::Unavailable,
            std::string(action) + ": " + code.message()};
}

} // namespace

struct HttpServer::Implementation
{
    Implementation(FiberThreads &fiberThreads, HttpServerLimits serverLimits,
                   Handler requestHandler)
        : threads(fiberThreads)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , acceptor(fiberThreads.context(0))
    {
    }

    FiberThreads &threads;
    HttpServerLimits limits;
    Handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isClosing{false};
    std::atomic<std::size_t> activeExchanges{0};
    std::atomic<std::size_t> openConnections{0};
    std::atomic<std::size_t> bodyBytesHeld{0};
    std::mutex connectionsMutex;
    std::unordered_set<Connection *> connections;
};

namespace {

/// Reads requests from one connection and answers them; lives in one fiber.
class Connection : public HttpExchange
{
public:
    Connection(tcp::socket socket, const HttpServerLimits &limits,
               const std::atomic<bool> &isDraining, const std::atomic<bool> &isClosing,
               std::atomic<std::size_t> &bodyBytesHeld)
        : m_stream(std::move(socket))
        , m_limits(limits)
        , m_isDraining(isDraining)
        , m_isClosing(isClosing)
        , m_allBodyBytes(bodyBytesHeld)
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
    }

    /// Waits for the next request line and headers; false when the connection is done.
    bool readHead(bool isFirst)
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
        m_parser->body_limit(boost::none);
        if (!isFirst && m_buffer.size() == 0 && !waitReadable())
            return false;
        m_stream.expires_after(m_limits.headerTimeout);
        const auto outcome = awaitIo([&](auto handler) {
            http::async_read_header(m_stream, m_buffer, *m_parser, std::move(handler));
        });
        if (outcome.code) {
            refuseMalformed(outcome.code);
            return false;
        }
        takeHead();
        return true;
    }

    /// Reads what is left of a body so that the next request can follow; false if it is too much.
    bool finishExchange()
    {
        releaseBodyBytes();
        if (!m_hasResponded)
            (void)respond({500, {}, ""});
        m_stream.expires_never();
        if (m_mustClose)
            return false;
        std::size_t skipped = 0;
        while (!m_parser->is_done()) {
            const auto piece = readBodyPiece();
            if (piece.isError())
                return false;
            skipped += piece.value().size();
            if (skipped > m_limits.bodyBytes)
                return false;
        }
        return true;
    }

    void close()
    {
        boost::system::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

    /// Ends the wait for a next request; called on the connection's own thread.
    void cancelIfIdle()
    {
        if (m_isIdle)
            m_stream.cancel();
    }

    auto executor() { return m_stream.get_executor(); }

    [[nodiscard]] const HttpRequest &request() const override { return m_request; }
    [[nodiscard]] bool hasResponded() const override { return m_hasResponded; }

    Result<std::string> readBody() override
    {
        // For the whole of it, so that a sender who is slow enough cannot hold it for ever.
        const auto until = SteadyClock().now() + m_limits.bodyTimeout;
        std::string body;
        while (true) {
            auto piece = TRY(readPieceUntil(until));
            if (piece.empty())
                return body;
            TRY(holdBodyBytes(piece.size()));
            body += piece;
        }
    }

    Result<std::string> readBodyPiece() override
    {
        return readPieceUntil(SteadyClock().now() + m_limits.bodyTimeout);
    }

    Result<void> respond(HttpResponse response) override
    {
        m_hasResponded = true;
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        fillHead(message, response.headers);
        message.body() = std::move(response.body);
        message.prepare_payload();
        m_stream.expires_after(m_limits.writeTimeout);
        const auto outcome = awaitIo(
                [&](auto handler) { http::async_write(m_stream, message, std::move(handler)); });
        return afterWrite(outcome.code);
    }

    Result<void> beginStream(unsigned status, HttpHeaders headers) override
    {
        m_hasResponded = true;
        http::response<http::empty_body> message(static_cast<http::status>(status), 11);
        fillHead(message, headers);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        m_stream.expires_after(m_limits.writeTimeout);
        const auto outcome = awaitIo([&](auto handler) {
            http::async_write_header(m_stream, serializer, std::move(handler));
        });
        return afterWrite(outcome.code);
    }

    Result<void> writeStream(std::string_view piece) override
    {
        if (piece.empty())
            return {};
        m_stream.expires_after(m_limits.writeTimeout);
        const auto outcome = awaitIo([&](auto handler) {
            boost::asio::async_write(
                    m_stream,
                    http::make_chunk(boost::asio::const_buffer(piece.data(), piece.size())),
                    std::move(handler));
        });
        return afterWrite(outcome.code);
    }

    Result<void> endStream() override
    {
        m_stream.expires_after(m_limits.writeTimeout);
        const auto outcome = awaitIo([&](auto handler) {
            boost::asio::async_write(m_stream, http::make_chunk_last(), std::move(handler));
        });
        return afterWrite(outcome.code);
    }

    void abandon() override { m_mustClose = true; }

    bool isCallerGone() override
    {
        // A byte that waits here belongs to the caller's next request, and is left to it.
        char next = 0;
        const auto received
                = ::recv(m_stream.socket().native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool isOpen = received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR));
        return !isOpen;
    }

private:
    Result<std::string> readPieceUntil(TimePoint until)
    {
        TRY(sendContinue());
        if (m_parser->is_done())
            return std::string();
        std::string piece(bodyPieceBytes, '\0');
        auto &body = m_parser->get().body();
        body.data = piece.data();
        body.size = piece.size();
        body.more = true;
        m_stream.expires_at(until);
        const auto outcome = awaitIo([&](auto handler) {
            http::async_read(m_stream, m_buffer, *m_parser, std::move(handler));
        });
        if (outcome.code && outcome.code != http::error::need_buffer) {
            m_mustClose = true;
            return ioError("reading the body", outcome.code);
        }
        piece.resize(piece.size() - body.size);
        return piece;
    }

    Result<void> holdBodyBytes(std::size_t bytes)
    {
        if (m_bodyBytesHeld + bytes > m_limits.bodyBytes) {
            m_mustClose = true;
            return Error{ErrorKind::TooLarge, "the body is larger than "
                                                      + std::to_string(m_limits.bodyBytes)
                                                      + " bytes"};
        }
        m_bodyBytesHeld += bytes;
        if (m_allBodyBytes.fetch_add(bytes) + bytes <= m_limits.totalBodyBytes)
            return {};
        m_mustClose = true;
        return Error{ErrorKind::Unavailable, "too many bytes of bodies are being read now"};
    }

    void releaseBodyBytes()
    {
        m_allBodyBytes -= m_bodyBytesHeld;
        m_bodyBytesHeld = 0;
    }

    bool hasArrived()
    {
        boost::system::error_code code;
        return m_stream.socket().available(code) > 0 && !code;
    }

    IoOutcome readByte(char &byte)
    {
        return awaitIo([&](auto handler) {
            m_stream.async_read_some(boost::asio::buffer(&byte, 1), std::move(handler));
        });
    }

    bool waitReadable()
    {
        if (m_isClosing && !hasArrived())
            return false;
        m_isIdle = true;
        m_stream.expires_after(m_limits.idleTimeout);
        char first = 0;
        auto outcome = readByte(first);
        // The server stops, but the next request had already arrived.
        if (outcome.code == boost::asio::error::operation_aborted && hasArrived())
            outcome = readByte(first);
        m_isIdle = false;
        if (outcome.code)
            return false;
        const auto space = m_buffer.prepare(1);
        boost::asio::buffer_copy(space, boost::asio::buffer(&first, 1));
        m_buffer.commit(1);
        return true;
    }

    void takeHead()
    {
        const auto &message = m_parser->get();
        m_request = {};
        m_request.method = std::string(message.method_string());
        m_request.target = std::string(message.target());
        for (const auto &field : message)
            m_request.headers.add(std::string(field.name_string()), std::string(field.value()));
        m_hasResponded = false;
        m_mustClose = !message.keep_alive();
        m_mustContinue = m_request.headers.value("Expect") == "100-continue";
    }

    /// Answers bytes that are not an HTTP request; silence and closed connections get no answer.
    void refuseMalformed(const boost::system::error_code &code)
    {
        const bool isTooLarge = code == http::error::header_limit;
        const bool isProtocolFault
                = code.category() == make_error_code(http::error::bad_method).category()
                  && code != http::error::end_of_stream && code != http::error::partial_message;
        if (!isProtocolFault)
            return;
        m_mustClose = true;
        (void)respond({isTooLarge ? 431U : 400U,
                       {{"Content-Type", "text/plain"}},
                       code.message() + "\n"});
    }

    Result<void> sendContinue()
    {
        if (!m_mustContinue)
            return {};
        m_mustContinue = false;
        http::response<http::empty_body> message(http::status::continue_, 11);
        const auto outcome = awaitIo(
                [&](auto handler) { http::async_write(m_stream, message, std::move(handler)); });
        return afterWrite(outcome.code);
    }

    template<typename Message>
    void fillHead(Message &message, const HttpHeaders &headers)
    {
        for (const auto &header : headers.all())
            message.insert(header.name, header.value);
        if (m_isDraining.load(std::memory_order_relaxed))
            m_mustClose = true;
        message.keep_alive(!m_mustClose);
    }

    Result<void> afterWrite(const boost::system::error_code &code)
    {
        if (!code)
            return {};
        m_mustClose = true;
        return ioError("writing the answer", code);
    }

    beast::tcp_stream m_stream;
    const HttpServerLimits &m_limits;
    const std::atomic<bool> &m_isDraining;
    const std::atomic<bool> &m_isClosing;
    std::atomic<std::size_t> &m_allBodyBytes;
    std::size_t m_bodyBytesHeld = 0;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::buffer_body>> m_parser;
    HttpRequest m_request;
    bool m_hasResponded = false;
    bool m_mustClose = false;
    bool m_mustContinue = false;
    bool m_isIdle = false;
};

template<typename State>
void serveConnection(const std::shared_ptr<State> &state, tcp::socket socket)
{
    Connection connection(std::move(socket), state->limits, state->isDraining, state->isClosing,
                          state->bodyBytesHeld);
    {
        const std::scoped_lock lock(state->connectionsMutex);
        state->connections.insert(&connection);
    }
    bool isFirst = true;
    while (connection.readHead(isFirst)) {
        isFirst = false;
        state->activeExchanges += 1;
        state->handler(connection);
        const bool mayContinue = connection.finishExchange();
        state->activeExchanges -= 1;
        if (!mayContinue)
            break;
    }
    {
        const std::scoped_lock lock(state->connectionsMutex);
        state->connections.erase(&connection);
    }
    connection.close();
    state->openConnections -= 1;
}

template<typename State>
void acceptConnections(const std::shared_ptr<State> &state)
{
    std::size_t nextThread = 0;
    while (!state->isClosing) {
        const std::size_t threadIndex = nextThread++ % state->threads.threadCount();
        auto socket = std::make_shared<tcp::socket>(state->threads.context(threadIndex));
        const auto outcome = awaitIo([&](auto handler) {
            state->acceptor.async_accept(
                    *socket,
                    [handler](boost::system::error_code code) mutable { handler(code, 0); });
        });
        if (outcome.code == boost::asio::error::operation_aborted)
            return;
        if (outcome.code) {
            // Out of file descriptors, most likely; the next connection may find some free.
            boost::asio::steady_timer timer(FiberThreads::currentContext(), acceptRetryDelay);
            (void)awaitIo([&](auto handler) {
                timer.async_wait(
                        [handler](boost::system::error_code code) mutable { handler(code, 0); });
            });
            continue;
        }
        if (state->openConnections >= state->limits.connections)
            continue;
        state->openConnections += 1;
        state->threads.spawnOn(threadIndex,
                               [state, socket] { serveConnection(state, std::move(*socket)); });
    }
}

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::listen(FiberThreads &threads,
                                                       const Endpoint &address,
                                                       HttpServerLimits limits, Handler handler)
{
    auto state = std::make_shared<Implementation>(threads, limits, std::move(handler));
    boost::system::error_code code;
    const auto ip = boost::asio::ip::make_address(address.address, code);
    const tcp::endpoint endpoint(ip, address.port);
    if (!code)
        state->acceptor.open(endpoint.protocol(), code);
    if (!code)
        state->acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        state->acceptor.bind(endpoint, code);
    if (!code)
        state->acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
    if (code) {
        return Error{ErrorKind::Unavailable,
                     "cannot listen on " + address.text() + ": " + code.message()};
    }
    threads.spawnOn(0, [state] { acceptConnections(state); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

HttpServer::~HttpServer() = default;

Endpoint HttpServer::endpoint() const
{
    const auto local = m_implementation->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void HttpServer::beginDrain()
{
    m_implementation->isDraining = true;
}

void HttpServer::closeIdle()
{
    auto state = m_implementation;
    state->isClosing = true;
    state->threads.spawnOn(0, [state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
    const std::scoped_lock lock(state->connectionsMutex);
    for (auto *connection : state->connections) {
        boost::asio::post(connection->executor(), [state, connection] {
            const std::scoped_lock handlerLock(state->connectionsMutex);
            if (state->connections.contains(connection))
                connection->cancelIfIdle();
        });
    }
}

std::size_t HttpServer::activeExchanges() const
{
    return m_implementation->activeExchanges;
}

std::size_t HttpServer::openConnections() const
{
    return m_implementation->openConnections;
}

} // namespace Radishplank
