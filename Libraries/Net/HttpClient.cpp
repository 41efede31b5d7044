#include <Net/HttpClient.h>

#include <Core/Hash.h>
#include <Net/Await.h>
#include <Net/BodyBuffer.h>
#include <Net/FiberThreads.h>
#include <Net/HeadParser.h>
#include <Net/HttpGrammar.h>
#include <Net/MemoryBudget.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <cerrno>
#include <charconv>
#include <limits>
#include <linux/sockios.h>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <vector>

namespace Radishplank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t idleConnectionsPerEndpoint = 64;
constexpr auto idleConnectionTimeout = std::chrono::seconds(20);
constexpr auto expiryScanInterval = std::chrono::seconds(1);
/// Subtracted from the peer's keep-alive timeout, because its timer starts before ours.
constexpr auto idleTimeoutMargin = std::chrono::seconds(1);
/// Every stream that waits for its next token holds a buffer of this size, so it is kept small.
constexpr std::size_t bodyChunkBytes = std::size_t{4} * 1024;
constexpr std::uint32_t responseHeaderBytes = 32 * 1024;
/// Holds the bytes that the parser cannot process yet: a head, or the size line of a chunk with its
/// extensions, or all trailers. One that is larger ends the call.
constexpr std::size_t connectionBufferBytes = std::size_t{64} * 1024;
/// Late responses and interim (1xx) responses that may precede the response to a call.
constexpr unsigned maxSkippedResponses = 16;
/// Bounds the ids that a connection remembers; after this many calls it is closed.
constexpr std::size_t maxCallsPerConnection = 256;

/// A body that nobody needs is read for this long, so that its connection can be used again.
constexpr Milliseconds skippedBodyTimeout{250};

/// How often a call checks whether its peer has taken the whole request.
constexpr Milliseconds acknowledgementPollInterval{2};

/// Bytes of response bodies that readBody() holds, for all calls of the process.
std::atomic<std::size_t> totalBodyBytes{0};
std::atomic<std::size_t> maxTotalBodyBytes{std::numeric_limits<std::size_t>::max()};
Counter skippedResponseCount;

struct PooledConnection
{
    explicit PooledConnection(boost::asio::io_context &context)
        : stream(context)
        , buffer(connectionBufferBytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    TimePoint idleSince;
    Duration idleTimeout = idleConnectionTimeout;
    /// Hashes of the ids of the calls that it has carried, for calls that have ids.
    std::vector<std::uint64_t> callIds;
};

using ConnectionPointer = std::unique_ptr<PooledConnection>;

/// The idle keep-alive connections of one thread.
class ConnectionPool
{
public:
    static ConnectionPool &ofThread()
    {
        // Never destroyed: its sockets belong to an I/O context that is never destroyed either.
        thread_local auto *pool = new ConnectionPool;
        return *pool;
    }

    /// Returns an idle connection that can carry a call; null if there is none.
    ///
    /// A connection carries no two calls with the same id: a faulty peer may write a response once
    /// more, and the id would not tell the copy from the response to the later call.
    ConnectionPointer acquire(const Endpoint &endpoint, const ResponseMatch &match)
    {
        auto &idle = m_idle[endpoint];
        const auto now = SteadyClock().now();
        for (auto index = idle.size(); index-- > 0;) {
            const auto position = idle.begin() + static_cast<std::ptrdiff_t>(index);
            const bool isUsable = !isExpired(**position, now) && isReusable(**position);
            if (isUsable && hasCarried(**position, match))
                continue;
            auto connection = std::move(*position);
            idle.erase(position);
            if (isUsable)
                return connection;
        }
        return {};
    }

    void release(const Endpoint &endpoint, ConnectionPointer connection)
    {
        closeExpired();
        auto &idle = m_idle[endpoint];
        if (idle.size() >= idleConnectionsPerEndpoint)
            return;
        connection->idleSince = SteadyClock().now();
        idle.push_back(std::move(connection));
    }

private:
    /// Closes expired connections to every endpoint, because acquire() is never called again for an
    /// endpoint that is no longer in use.
    void closeExpired()
    {
        const auto now = SteadyClock().now();
        if (now < m_nextClosing)
            return;
        m_nextClosing = now + expiryScanInterval;
        for (auto entry = m_idle.begin(); entry != m_idle.end();) {
            auto &idle = entry->second;
            std::erase_if(idle,
                          [&](const auto &connection) { return isExpired(*connection, now); });
            entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
        }
    }

    static bool isExpired(const PooledConnection &connection, TimePoint now)
    {
        return now - connection.idleSince >= connection.idleTimeout;
    }

    static bool hasCarried(const PooledConnection &connection, const ResponseMatch &match)
    {
        const auto &ids = connection.callIds;
        return !match.header.empty()
               && std::find(ids.begin(), ids.end(), stableHash(match.value)) != ids.end();
    }

    /// Returns whether the peer has neither closed the connection nor sent unexpected bytes.
    static bool isReusable(PooledConnection &connection)
    {
        if (connection.buffer.size() > 0)
            return false;
        auto &socket = connection.stream.socket();
        boost::system::error_code code;
        socket.non_blocking(true, code);
        char byte = 0;
        socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, code);
        return code == boost::asio::error::would_block;
    }

    std::map<Endpoint, std::vector<ConnectionPointer>> m_idle;
    TimePoint m_nextClosing{};
};

Error callError(std::string_view action, const Endpoint &endpoint,
                const boost::system::error_code &code)
{
    const bool isTimeout = code == beast::error::timeout;
    return {isTimeout ? ErrorKind::Timeout : ErrorKind::Unavailable,
            std::string(action) + " " + endpoint.text() + ": " + code.message()};
}

/// Returns how long to keep an idle connection, given the peer's `Keep-Alive: timeout=SECONDS`.
Duration idleTimeoutOf(const HttpHeaders &headers)
{
    constexpr std::string_view parameter = "timeout=";
    const auto field = headers.find("Keep-Alive").value_or("");
    const auto position = field.find(parameter);
    if (position == std::string_view::npos)
        return idleConnectionTimeout;
    const auto digits = field.substr(position + parameter.size());
    unsigned seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc())
        return idleConnectionTimeout;
    const Duration advertisedEndpoint = std::chrono::seconds(seconds) - idleTimeoutMargin;
    return std::min<Duration>(advertisedEndpoint, idleConnectionTimeout);
}

bool isCancelled(const HttpCallOptions &options)
{
    return options.cancellation != nullptr && options.cancellation->isCancelled();
}

/// Returns the error of a connection that no operation has reported yet.
boost::system::error_code pendingError(int socket)
{
    int error = 0;
    socklen_t length = sizeof error;
    if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
        error = errno;
    return {error, boost::system::system_category()};
}

/// Returns how many sent bytes the peer's host has not acknowledged.
int unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

/// Registers an interrupt function with a call's cancellation for the lifetime of this object.
class InterruptGuard
{
public:
    InterruptGuard(CallCancellation *cancellation, std::function<void()> interrupt)
        : m_cancellation(cancellation)
    {
        if (m_cancellation != nullptr)
            m_cancellation->setInterrupt(std::move(interrupt));
    }
    ~InterruptGuard()
    {
        if (m_cancellation != nullptr)
            m_cancellation->setInterrupt({});
    }
    InterruptGuard(const InterruptGuard &) = delete;
    InterruptGuard &operator=(const InterruptGuard &) = delete;

private:
    CallCancellation *m_cancellation;
};

class PooledResponseStream : public HttpResponseStream
{
public:
    PooledResponseStream(ConnectionPointer connection, Endpoint endpoint,
                         const HttpCallOptions &options)
        : m_connection(std::move(connection))
        , m_endpoint(std::move(endpoint))
        , m_options(options)
        , m_interruptGuard(options.cancellation, [this] { abort(); })
        , m_calls(m_connection->callIds.size())
    {
        resetParser();
    }

    ~PooledResponseStream() override { totalBodyBytes -= m_bodyBytes; }

    boost::system::error_code readHead()
    {
        const auto deadline = SteadyClock().now() + m_options.readTimeout;
        for (unsigned skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
            if (const auto code = readNextHead(deadline))
                return code;
            if (!isInterim() && isResponseToThisCall()) {
                releaseIfDone();
                return {};
            }
            // An interim response or a late one to an earlier call; the response to this call
            // follows it.
            if (!isInterim())
                skippedResponseCount.increase();
            if (const auto code = discardBody(deadline))
                return code;
            resetParser();
        }
        return http::error::unexpected_body;
    }

    [[nodiscard]] unsigned status() const override { return m_status; }
    [[nodiscard]] const HttpHeaders &headers() const override { return m_headers; }
    [[nodiscard]] std::size_t earlierCalls() const override
    {
        return m_calls > 0 ? m_calls - 1 : 0;
    }

    Result<std::string> readChunk() override
    {
        return readChunkUntil(SteadyClock().now() + m_options.readTimeout);
    }

    Result<std::string> readBody() override
    {
        const auto deadline
                = SteadyClock().now() + std::max(m_options.bodyTimeout, m_options.readTimeout);
        BodyBuffer body;
        while (true) {
            const auto chunk = TRY(readChunkUntil(
                    std::min<TimePoint>(deadline, SteadyClock().now() + m_options.readTimeout)));
            if (chunk.empty())
                return body.take();
            TRY(reserveBodyBytes(chunk.size()));
            body.append(chunk);
        }
    }

    void skipBody() override
    {
        if (!m_parser->is_done() && !discardBody(SteadyClock().now() + skippedBodyTimeout))
            releaseIfDone();
    }

    void abort() override
    {
        if (m_connection)
            m_connection->stream.cancel();
    }

private:
    void resetParser()
    {
        m_parser.emplace();
        m_parser->header_limit(responseHeaderBytes);
        m_parser->body_limit(boost::none);
        m_headers = {};
    }

    /// Returns the next bytes of the body. The deadline is for the whole call, so that a peer that
    /// sends framing without content cannot prolong it.
    Result<std::string> readChunkUntil(TimePoint deadline)
    {
        while (!m_parser->is_done()) {
            if (isCancelled(m_options))
                return callError("reading from", m_endpoint, boost::asio::error::operation_aborted);
            // Reads once, so that a token is forwarded as soon as it arrives.
            std::string chunk;
            if (const auto code = readOnce(chunk, deadline))
                return callError("reading from", m_endpoint, code);
            releaseIfDone();
            if (!chunk.empty())
                return chunk;
        }
        return std::string();
    }

    /// Reads from the socket once and stores the bytes of the body; there may be none.
    boost::system::error_code readOnce(std::string &chunk, TimePoint deadline)
    {
        chunk.resize(bodyChunkBytes);
        auto &body = m_parser->get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        body.more = true;
        m_connection->stream.expires_at(deadline);
        const auto outcome = awaitIo([&](auto handler) {
            http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser,
                                  std::move(handler));
        });
        if (outcome.code && outcome.code != http::error::need_buffer)
            return outcome.code;
        chunk.resize(chunk.size() - body.size);
        if (m_parser->is_done() && m_parser->need_eof())
            return confirmEnd(deadline);
        return {};
    }

    /// Returns an error if the connection was reset although it has ended in order before that.
    ///
    /// A peer that closes its sending side may still reset the connection when it leaves the rest
    /// of the request unread. The kernel reports the end first, so that reads do not show the
    /// reset. Once the peer's host has acknowledged the request as a whole, there is nothing left
    /// that would be answered with a reset.
    boost::system::error_code confirmEnd(TimePoint deadline)
    {
        const int socket = m_connection->stream.socket().native_handle();
        while (true) {
            // In this order, as a reset in between discards the bytes.
            const int unacknowledged = unacknowledgedBytes(socket);
            if (const auto code = pendingError(socket))
                return code;
            if (unacknowledged == 0)
                return {};
            if (isCancelled(m_options))
                return boost::asio::error::operation_aborted;
            if (SteadyClock().now() >= deadline)
                return beast::error::timeout;
            boost::this_fiber::sleep_for(acknowledgementPollInterval);
        }
    }

    Result<void> reserveBodyBytes(std::size_t bytes)
    {
        m_bodyBytes += bytes;
        const auto total = totalBodyBytes.fetch_add(bytes) + bytes;
        if (m_bodyBytes > m_options.bodyBytes)
            return Error{ErrorKind::TooLarge,
                         "the answer of " + m_endpoint.text() + " is too large"};
        // The upstream has run the call: its answer makes others give way, and has its own limit.
        m_account.hold(m_bodyBytes, SteadyClock().now());
        if (total > maxTotalBodyBytes) {
            return Error{ErrorKind::Unavailable, "reading from " + m_endpoint.text()
                                                         + ": too many bytes of answers are held"};
        }
        return {};
    }

    [[nodiscard]] bool isInterim() const
    {
        constexpr unsigned switchingProtocols = 101;
        return m_status >= 100 && m_status < 200 && m_status != switchingProtocols;
    }

    boost::system::error_code readNextHead(TimePoint deadline)
    {
        m_connection->stream.expires_at(deadline);
        const auto outcome = awaitIo([&](auto handler) {
            http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser,
                                    std::move(handler));
        });
        if (outcome.code)
            return outcome.code;
        m_headers = m_parser->takeHeaders();
        m_status = m_parser->get().result_int();
        // The parser takes any three digits.
        if (!isInterim() && (m_status < 200 || m_status > 599))
            return http::error::bad_status;
        return {};
    }

    /// Returns whether the connection can carry another call. A faulty peer may write a response
    /// once more, and one without the header would be taken for the response to that call.
    [[nodiscard]] bool isReusable() const
    {
        const auto &match = m_options.match;
        const bool isIdentified = match.header.empty() || m_headers.find(match.header).has_value();
        return isIdentified && m_connection->callIds.size() < maxCallsPerConnection
               && m_parser->keep_alive();
    }

    [[nodiscard]] bool isResponseToThisCall() const
    {
        const auto &match = m_options.match;
        return match.header.empty()
               || m_headers.find(match.header).value_or(match.value) == match.value;
    }

    boost::system::error_code discardBody(TimePoint deadline)
    {
        std::string chunk;
        while (!m_parser->is_done()) {
            if (const auto code = readOnce(chunk, deadline))
                return code;
            m_skippedBytes += chunk.size();
            if (m_skippedBytes > m_options.bodyBytes)
                return http::error::body_limit;
        }
        if (!m_parser->keep_alive())
            return http::error::end_of_stream;
        return {};
    }

    void releaseIfDone()
    {
        if (!m_parser->is_done() || !m_connection)
            return;
        m_connection->stream.expires_never();
        m_connection->idleTimeout = idleTimeoutOf(m_headers);
        if (isReusable())
            ConnectionPool::ofThread().release(m_endpoint, std::move(m_connection));
        m_connection.reset();
    }

    ConnectionPointer m_connection;
    Endpoint m_endpoint;
    HttpCallOptions m_options;
    InterruptGuard m_interruptGuard;
    /// Calls with ids that the connection has carried, with this one.
    const std::size_t m_calls;
    std::optional<HeadParser<false>> m_parser;
    HttpHeaders m_headers;
    unsigned m_status = 0;
    /// Bytes that readBody() has read.
    std::size_t m_bodyBytes = 0;
    MemoryAccount m_account{MemoryBudget::ofProcess()};
    std::size_t m_skippedBytes = 0;
};

/// Makes the kernel detect a peer that stops responding without resetting the connection.
void enableDeadPeerDetection(tcp::socket &socket, Milliseconds timeout)
{
    const int handle = socket.native_handle();
    const int enabled = 1;
    const int probeSeconds = 1;
    const int probes = std::max(1, static_cast<int>(timeout.count() / 1'000) - 1);
    const auto userTimeout = static_cast<unsigned>(timeout.count());
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof probeSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof probeSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof userTimeout);
}

std::variant<ConnectionPointer, HttpCallError> connect(const Endpoint &endpoint,
                                                       const HttpCallOptions &options)
{
    auto connection = std::make_unique<PooledConnection>(FiberThreads::currentContext());
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(endpoint.address, code);
    if (code)
        return HttpCallError{callError("connecting to", endpoint, code), CallProgress::NotSent};
    const InterruptGuard guard(options.cancellation,
                               [stream = &connection->stream] { stream->cancel(); });
    connection->stream.expires_after(options.connectTimeout);
    const auto outcome = awaitIo([&](auto handler) {
        connection->stream.async_connect(
                tcp::endpoint(address, endpoint.port),
                [handler](boost::system::error_code result) mutable { handler(result, 0); });
    });
    if (outcome.code) {
        return HttpCallError{callError("connecting to", endpoint, outcome.code),
                             CallProgress::NotSent};
    }
    connection->stream.socket().set_option(tcp::no_delay(true), code);
    enableDeadPeerDetection(connection->stream.socket(), options.unacknowledgedTimeout);
    return connection;
}

/// Returns whether a field frames the body, which the client does itself.
bool isFraming(std::string_view name)
{
    return boost::algorithm::iequals(name, "Content-Length")
           || boost::algorithm::iequals(name, "Transfer-Encoding");
}

/// Returns whether a request with this method states the length of its body even if that is 0.
bool statesEmptyBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "OPTIONS";
}

/// Returns the request line and headers of a valid request as they are sent. Beast's message throws
/// for long fields, and for some bodies.
std::string serializeHead(const Endpoint &endpoint, const HttpRequest &request)
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
    const auto add = [&](std::string_view name, std::string_view value) {
        head.append(name).append(": ").append(value).append("\r\n");
    };
    if (!request.headers.find("Host"))
        add("Host", endpoint.text());
    for (const auto &header : request.headers.all()) {
        if (!isFraming(header.name))
            add(header.name, header.value);
    }
    if (!request.body.empty() || statesEmptyBody(request.method))
        add("Content-Length", std::to_string(request.body.size()));
    head += "\r\n";
    return head;
}

HttpClient::OpenResult sendOn(ConnectionPointer connection, const Endpoint &endpoint,
                              const HttpRequest &request, const HttpCallOptions &options)
{
    if (isCancelled(options)) {
        return HttpCallError{
                callError("sending to", endpoint, boost::asio::error::operation_aborted),
                CallProgress::NotSent};
    }
    if (!options.match.header.empty())
        connection->callIds.push_back(stableHash(options.match.value));
    {
        const InterruptGuard guard(options.cancellation,
                                   [stream = &connection->stream] { stream->cancel(); });
        connection->stream.expires_after(options.readTimeout);
        const auto head = serializeHead(endpoint, request);
        const std::array<boost::asio::const_buffer, 2> message{boost::asio::buffer(head),
                                                               boost::asio::buffer(request.body)};
        const auto written = awaitIo([&](auto handler) {
            boost::asio::async_write(connection->stream, message, std::move(handler));
        });
        if (written.code) {
            return HttpCallError{callError("sending to", endpoint, written.code),
                                 CallProgress::Sent};
        }
    }
    if (isCancelled(options)) {
        return HttpCallError{
                callError("reading from", endpoint, boost::asio::error::operation_aborted),
                CallProgress::Sent};
    }
    auto response
            = std::make_unique<PooledResponseStream>(std::move(connection), endpoint, options);
    if (const auto code = response->readHead())
        return HttpCallError{callError("reading from", endpoint, code), CallProgress::Sent};
    return response;
}

} // namespace

void HttpClient::setMaxTotalBodyBytes(std::size_t bytes)
{
    maxTotalBodyBytes = bytes;
}

const Counter &HttpClient::skippedResponses()
{
    return skippedResponseCount;
}

HttpClient::OpenResult HttpClient::open(const Endpoint &endpoint, const HttpRequest &request,
                                        const HttpCallOptions &options)
{
    // Texts of callers and of the store become part of requests. A line break in one of them would
    // begin another header, or another request.
    if (auto checked = checkRequestHead(request); checked.isError())
        return HttpCallError{checked.takeError(), CallProgress::NotSent};
    ConnectionPointer connection;
    if (options.reuse == ConnectionReuse::Allowed)
        connection = ConnectionPool::ofThread().acquire(endpoint, options.match);
    if (!connection) {
        auto connected = connect(endpoint, options);
        if (auto *error = std::get_if<HttpCallError>(&connected))
            return std::move(*error);
        connection = std::move(std::get<ConnectionPointer>(connected));
    }
    return sendOn(std::move(connection), endpoint, request, options);
}

PeerState HttpClient::checkPeer(const Endpoint &endpoint, Milliseconds timeout)
{
    HttpCallOptions options;
    options.connectTimeout = timeout;
    auto connected = connect(endpoint, options);
    if (const auto *failure = std::get_if<HttpCallError>(&connected)) {
        return failure->error.kind == ErrorKind::Timeout ? PeerState::Silent : PeerState::Refusing;
    }
    auto &connection = std::get<ConnectionPointer>(connected);
    connection->stream.expires_never();
    ConnectionPool::ofThread().release(endpoint, std::move(connection));
    return PeerState::Listening;
}

std::variant<HttpResponse, HttpCallError> HttpClient::call(const Endpoint &endpoint,
                                                           const HttpRequest &request,
                                                           const HttpCallOptions &options)
{
    auto opened = open(endpoint, request, options);
    if (auto *error = std::get_if<HttpCallError>(&opened))
        return std::move(*error);
    auto &response = *std::get<std::unique_ptr<HttpResponseStream>>(opened);
    auto body = response.readBody();
    if (body.isError())
        return HttpCallError{body.takeError(), CallProgress::Sent};
    return HttpResponse{response.status(), response.headers(), body.takeValue()};
}

Result<HttpResponse> HttpClient::fetch(const Endpoint &endpoint, const HttpRequest &request,
                                       const HttpCallOptions &options)
{
    auto result = call(endpoint, request, options);
    if (auto *failure = std::get_if<HttpCallError>(&result))
        return std::move(failure->error);
    return std::move(std::get<HttpResponse>(result));
}

} // namespace Radishplank
