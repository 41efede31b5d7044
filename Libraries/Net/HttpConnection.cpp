#include <Net/HttpConnection.h>

#include <Core/Log.h>
#include <Net/BodyBuffer.h>
#include <Net/HttpGrammar.h>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace Radishplank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t bodyChunkBytes = std::size_t{8} * 1024;
/// Buffered bytes beyond the largest head: the parser cannot process the size line of a chunk with
/// its extensions, or the trailers, before it has them all.
constexpr std::size_t framingBytes = std::size_t{16} * 1024;
/// What a connection holds besides its buffers: the used part of its fiber's stack, and the parser
/// with the head.
constexpr std::size_t connectionBytes = std::size_t{24} * 1024;
/// Buffer that an idle connection keeps, which is enough for most heads.
constexpr std::size_t idleBufferBytes = std::size_t{4} * 1024;
/// Shorter responses fit in the kernel's buffer and do not wait for the client.
constexpr std::size_t countedResponseBytes = std::size_t{16} * 1024;
/// How long a client may go on sending after the last response on its connection.
constexpr Milliseconds lingerTime{1'000};

/// Beast throws for longer names and values of a response's headers.
constexpr std::size_t maxResponseFieldBytes = 65'533;

/// InvalidInput if a response with this status and these headers cannot be sent.
Result<void> checkResponseHead(unsigned status, const HttpHeaders &headers)
{
    if (status < 200 || status > 599) {
        return Error{ErrorKind::InvalidInput,
                     std::to_string(status) + " is not the status of a response"};
    }
    for (const auto &header : headers.all()) {
        if (std::max(header.name.size(), header.value.size()) > maxResponseFieldBytes)
            return Error{ErrorKind::InvalidInput, "a header of the response is too long"};
    }
    return checkHeaders(headers);
}

bool mayHaveBody(unsigned status)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    return status != noContent && status != notModified;
}

Error ioError(std::string_view action, const boost::system::error_code &code)
{
    const bool isTimeout = code == beast::error::timeout;
    return {isTimeout ? ErrorKind::Timeout : ErrorKind::Unavailable,
            std::string(action) + ": " + code.message()};
}

} // namespace

HttpConnection::HttpConnection(tcp::socket socket, const HttpServerLimitsHolder &limits,
                               const std::atomic<ServerPhase> &phase, MemoryBudget &bodyBudget)
    : m_stream(std::move(socket))
    , m_limitsHolder(limits)
    , m_limits(limits.load())
    , m_phase(phase)
    , m_self(std::make_shared<HttpConnection *>(this))
    , m_account(MemoryBudget::ofProcess(), evictor())
    , m_bodyAccount(bodyBudget, evictor())
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
}

bool HttpConnection::tryConnect()
{
    const auto now = SteadyClock().now();
    return m_account.tryConnect(now) && m_account.tryEnter(HolderStage::Idle, now)
           && m_account.tryHold(ownBytes(), now);
}

std::function<void()> HttpConnection::evictor()
{
    return [executor = m_stream.get_executor(), self = std::weak_ptr(m_self)] {
        boost::asio::post(executor, [self] {
            // The connection is destroyed on this thread only.
            const auto connection = self.lock();
            if (connection && (*connection)->m_isInterruptible)
                (*connection)->m_stream.cancel();
        });
    };
}

template<typename Initiator>
IoResult HttpConnection::awaitInterruptible(Initiator &&initiate)
{
    m_isInterruptible = true;
    const auto outcome = awaitIo(std::forward<Initiator>(initiate));
    m_isInterruptible = false;
    return outcome;
}

bool HttpConnection::isEvicted() const
{
    return m_account.isEvicted() || m_bodyAccount.isEvicted();
}

std::size_t HttpConnection::ownBytes() const
{
    return connectionBytes + m_buffer.capacity();
}

bool HttpConnection::readHead(bool isFirst)
{
    m_limits = m_limitsHolder.load();
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits->headerBytes));
    m_parser->body_limit(boost::none);
    m_buffer.max_size(std::max(m_buffer.size(), m_limits->headerBytes + framingBytes));
    m_isUsed = !isFirst;
    auto now = SteadyClock().now();
    if (m_buffer.size() == 0 && m_buffer.capacity() > idleBufferBytes)
        m_buffer.shrink_to_fit();
    if (!m_account.tryEnter(HolderStage::Idle, now) || !m_account.tryHold(ownBytes(), now))
        return false;
    const auto firstHeadDeadline = now + m_limits->headerTimeout;
    if (m_buffer.size() == 0) {
        if (!waitForRequest(isFirst ? firstHeadDeadline : now + m_limits->idleTimeout))
            return false;
        // The next request has arrived; an eviction in the meantime was for an idle connection.
        m_account.keep();
        now = SteadyClock().now();
    }
    m_stream.expires_at(isFirst ? firstHeadDeadline : now + m_limits->headerTimeout);
    const auto outcome = awaitInterruptible([&](auto handler) {
        http::async_read_header(m_stream, m_buffer, *m_parser, std::move(handler));
    });
    if (outcome.code) {
        rejectMalformed(outcome.code);
        return false;
    }
    storeHead();
    m_account.keep();
    return m_account.tryEnter(HolderStage::Running, SteadyClock().now());
}

bool HttpConnection::finishExchange()
{
    if (m_disconnectCallback)
        *m_disconnectCallback = {};
    m_disconnectCallback.reset();
    releaseBody();
    if (!m_hasResponded && !m_isAbandoned)
        (void)respond({500, {}, ""});
    m_stream.expires_never();
    if (m_mustClose || isEvicted())
        return false;
    // One deadline for the whole rest, as in readBody().
    const auto deadline = SteadyClock().now() + m_limits->bodyTimeout;
    std::size_t discarded = 0;
    while (!m_parser->is_done()) {
        const auto chunk = readChunkUntil(deadline);
        if (chunk.isError())
            return false;
        discarded += chunk.value().size();
        if (discarded > m_limits->bodyBytes)
            return false;
    }
    return true;
}

void HttpConnection::close()
{
    boost::system::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (m_hasResponded && m_mustClose && !m_isAbandoned)
        discardInput();
    m_stream.close();
}

void HttpConnection::cancelIfIdle()
{
    if (m_isIdle && isClosedWhileIdle())
        m_stream.cancel();
}

Result<std::string> HttpConnection::readBody()
{
    // One deadline for the whole body, so that a slow sender cannot hold the connection forever.
    const auto deadline = SteadyClock().now() + m_limits->bodyTimeout;
    TRY(sendContinue());
    if (m_parser->is_done())
        return std::string();
    const auto now = SteadyClock().now();
    if (!m_account.tryEnter(HolderStage::Receiving, now)
        || !m_bodyAccount.tryEnter(HolderStage::Receiving, now))
        return refuseForMemory();
    // Beast reads no more at once than the buffer has room for.
    if (m_parser->content_length().value_or(bodyChunkBytes) > idleBufferBytes)
        m_buffer.reserve(bodyChunkBytes);
    BodyBuffer body;
    while (true) {
        const auto count = TRY(readInto(body.prepare(), deadline));
        if (count == 0)
            break;
        body.commit(count);
        TRY(holdBody(count));
    }
    TRY(enterRunning());
    return body.take();
}

Result<void> HttpConnection::enterRunning()
{
    const auto now = SteadyClock().now();
    if (!m_account.tryEnter(HolderStage::Running, now)
        || !m_bodyAccount.tryEnter(HolderStage::Running, now))
        return refuseForMemory();
    return {};
}

Result<std::string> HttpConnection::readBodyChunk()
{
    return readChunkUntil(SteadyClock().now() + m_limits->bodyTimeout);
}

Result<void> HttpConnection::respond(HttpResponse response)
{
    m_hasResponded = true;
    if (const auto checked = checkResponseHead(response.status, response.headers);
        checked.isError()) {
        logFailure("response-not-sendable", {{"reason", checked.error().message}});
        response = {500, {}, ""};
    }
    if (!mayHaveBody(response.status))
        response.body.clear();
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    fillHead(message, response.headers);
    message.body() = std::move(response.body);
    message.prepare_payload();
    beginSending(message.body().size());
    m_stream.expires_after(m_limits->writeTimeout);
    const auto outcome = awaitInterruptible(
            [&](auto handler) { http::async_write(m_stream, message, std::move(handler)); });
    endSending();
    return afterWrite(outcome.code);
}

void HttpConnection::beginSending(std::size_t bytes)
{
    if (bytes < countedResponseBytes)
        return;
    const auto now = SteadyClock().now();
    (void)m_account.tryEnter(HolderStage::Sending, now);
    m_account.hold(ownBytes() + m_bodyBytes + bytes, now);
}

void HttpConnection::endSending()
{
    const auto now = SteadyClock().now();
    (void)m_account.tryEnter(HolderStage::Running, now);
    m_account.hold(ownBytes() + m_bodyBytes, now);
}

Result<void> HttpConnection::beginStream(unsigned status, HttpHeaders headers)
{
    if (auto checked = checkResponseHead(status, headers); checked.isError()) {
        // Sent in place of the stream, with the reason in the log.
        (void)respond({status, std::move(headers), ""});
        return checked.takeError();
    }
    m_hasResponded = true;
    http::response<http::empty_body> message(static_cast<http::status>(status), 11);
    fillHead(message, headers);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    m_stream.expires_after(m_limits->writeTimeout);
    const auto outcome = awaitIo([&](auto handler) {
        http::async_write_header(m_stream, serializer, std::move(handler));
    });
    return afterWrite(outcome.code);
}

Result<void> HttpConnection::writeStream(std::string_view chunk)
{
    if (chunk.empty())
        return {};
    beginSending(chunk.size());
    m_stream.expires_after(m_limits->writeTimeout);
    const auto outcome = awaitInterruptible([&](auto handler) {
        boost::asio::async_write(
                m_stream, http::make_chunk(boost::asio::const_buffer(chunk.data(), chunk.size())),
                std::move(handler));
    });
    if (chunk.size() >= countedResponseBytes)
        endSending();
    return afterWrite(outcome.code);
}

Result<void> HttpConnection::endStream()
{
    m_stream.expires_after(m_limits->writeTimeout);
    const auto outcome = awaitIo([&](auto handler) {
        boost::asio::async_write(m_stream, http::make_chunk_last(), std::move(handler));
    });
    return afterWrite(outcome.code);
}

bool HttpConnection::isClientDisconnected()
{
    // A pending byte belongs to the client's next request, so it is only peeked at.
    char next = 0;
    const auto received
            = ::recv(m_stream.socket().native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool isOpen = received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR));
    return !isOpen;
}

void HttpConnection::onClientDisconnect(std::function<void()> notify)
{
    auto callback = std::make_shared<std::function<void()>>(std::move(notify));
    m_disconnectCallback = callback;
    m_stream.socket().async_wait(tcp::socket::wait_read,
                                 [this, callback](const boost::system::error_code &code) {
                                     // finishExchange() clears the callback before this object is
                                     // destroyed.
                                     if (!code && *callback && isClientDisconnected())
                                         (*callback)();
                                 });
}

Result<std::string> HttpConnection::readChunkUntil(TimePoint deadline)
{
    std::string chunk(bodyChunkBytes, '\0');
    chunk.resize(TRY(readInto(chunk, deadline)));
    return chunk;
}

Result<std::size_t> HttpConnection::readInto(std::span<char> space, TimePoint deadline)
{
    TRY(sendContinue());
    if (m_parser->is_done())
        return std::size_t{0};
    if (isEvicted())
        return refuseForMemory();
    auto &body = m_parser->get().body();
    body.data = space.data();
    body.size = space.size();
    body.more = true;
    m_stream.expires_at(deadline);
    const auto outcome = awaitInterruptible([&](auto handler) {
        http::async_read(m_stream, m_buffer, *m_parser, std::move(handler));
    });
    if (outcome.code == http::error::buffer_overflow) {
        m_mustClose = true;
        return Error{ErrorKind::TooLarge, "the framing of the body is too large"};
    }
    if (outcome.code == boost::asio::error::operation_aborted && isEvicted())
        return refuseForMemory();
    if (outcome.code && outcome.code != http::error::need_buffer) {
        m_mustClose = true;
        return ioError("reading the body", outcome.code);
    }
    return space.size() - body.size;
}

Result<void> HttpConnection::holdBody(std::size_t bytes)
{
    m_bodyBytes += bytes;
    if (m_bodyBytes > m_limits->bodyBytes) {
        m_mustClose = true;
        return Error{ErrorKind::TooLarge,
                     "the body is larger than " + std::to_string(m_limits->bodyBytes) + " bytes"};
    }
    const auto now = SteadyClock().now();
    if (!m_bodyAccount.tryHold(m_bodyBytes, now)
        || !m_account.tryHold(ownBytes() + m_bodyBytes, now))
        return refuseForMemory();
    return {};
}

void HttpConnection::releaseBody()
{
    const auto now = SteadyClock().now();
    m_bodyBytes = 0;
    m_bodyAccount.hold(0, now);
    m_account.hold(ownBytes(), now);
}

Error HttpConnection::refuseForMemory()
{
    m_mustClose = true;
    releaseBody();
    return {ErrorKind::Unavailable, "too many bytes of bodies are being read now"};
}

void HttpConnection::discardInput()
{
    m_buffer = boost::beast::flat_buffer();
    // Bytes that are unread at the close would reset the connection, and the client would lose the
    // rest of the response.
    const auto deadline = SteadyClock().now() + lingerTime;
    std::string bytes(bodyChunkBytes, '\0');
    std::size_t discarded = 0;
    while (discarded <= m_limits->bodyBytes) {
        m_stream.expires_at(deadline);
        const auto outcome = awaitIo([&](auto handler) {
            m_stream.async_read_some(boost::asio::buffer(bytes), std::move(handler));
        });
        if (outcome.code)
            return;
        discarded += outcome.byteCount;
    }
}

bool HttpConnection::hasPendingBytes()
{
    boost::system::error_code code;
    return m_stream.socket().available(code) > 0 && !code;
}

IoResult HttpConnection::readByte(char &byte)
{
    return awaitIo([&](auto handler) {
        m_stream.async_read_some(boost::asio::buffer(&byte, 1), std::move(handler));
    });
}

bool HttpConnection::isClosedWhileIdle() const
{
    return m_phase.load() >= (m_isUsed ? ServerPhase::ClosingIdle : ServerPhase::ClosingAllIdle);
}

bool HttpConnection::waitForRequest(TimePoint deadline)
{
    if (isClosedWhileIdle() && !hasPendingBytes())
        return false;
    m_isIdle = true;
    m_stream.expires_at(deadline);
    char first = 0;
    m_isInterruptible = true;
    auto outcome = readByte(first);
    m_isInterruptible = false;
    // The server is closing idle connections, but the next request has already arrived.
    if (outcome.code == boost::asio::error::operation_aborted && hasPendingBytes())
        outcome = readByte(first);
    m_isIdle = false;
    if (outcome.code)
        return false;
    const auto space = m_buffer.prepare(1);
    boost::asio::buffer_copy(space, boost::asio::buffer(&first, 1));
    m_buffer.commit(1);
    return true;
}

void HttpConnection::storeHead()
{
    const auto &message = m_parser->get();
    m_request = {};
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    m_request.headers = m_parser->takeHeaders();
    m_hasResponded = false;
    m_mustClose = !m_parser->keep_alive();
    m_expectsContinue = m_request.headers.value("Expect") == "100-continue";
}

void HttpConnection::rejectMalformed(const boost::system::error_code &code)
{
    const bool isTooLarge
            = code == http::error::header_limit || code == http::error::buffer_overflow;
    const bool isProtocolFault
            = code.category() == make_error_code(http::error::bad_method).category()
              && code != http::error::end_of_stream && code != http::error::partial_message;
    if (!isProtocolFault)
        return;
    m_mustClose = true;
    (void)respond(
            {isTooLarge ? 431U : 400U, {{"Content-Type", "text/plain"}}, code.message() + "\n"});
}

Result<void> HttpConnection::sendContinue()
{
    if (!m_expectsContinue)
        return {};
    m_expectsContinue = false;
    http::response<http::empty_body> message(http::status::continue_, 11);
    const auto outcome = awaitIo(
            [&](auto handler) { http::async_write(m_stream, message, std::move(handler)); });
    return afterWrite(outcome.code);
}

template<typename Message>
void HttpConnection::fillHead(Message &message, const HttpHeaders &headers)
{
    for (const auto &header : headers.all())
        message.insert(header.name, header.value);
    if (m_phase.load(std::memory_order_relaxed) >= ServerPhase::Draining)
        m_mustClose = true;
    message.keep_alive(!m_mustClose);
}

Result<void> HttpConnection::afterWrite(const boost::system::error_code &code)
{
    if (!code)
        return {};
    m_mustClose = true;
    return ioError("writing the answer", code);
}

} // namespace Radishplank
