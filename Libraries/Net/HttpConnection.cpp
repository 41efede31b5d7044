#include <Net/HttpConnection.h>

#include <cerrno>
#include <sys/socket.h>

namespace Radishplank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t bodyPieceBytes = std::size_t{8} * 1024;

Error ioError(std::string_view action, const boost::system::error_code &code)
{
    const bool isTimeout = code == beast::error::timeout;
    return {isTimeout ? ErrorKind::Timeout : ErrorKind::Unavailable,
            std::string(action) + ": " + code.message()};
}

} // namespace

HttpConnection::HttpConnection(tcp::socket socket, const HttpServerLimitsHolder &limits,
                               const std::atomic<bool> &isDraining,
                               const std::atomic<bool> &isClosing,
                               std::atomic<std::size_t> &bodyBytesHeld)
    : m_stream(std::move(socket))
    , m_limitsHolder(limits)
    , m_limits(limits.load())
    , m_isDraining(isDraining)
    , m_isClosing(isClosing)
    , m_allBodyBytes(bodyBytesHeld)
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
}

bool HttpConnection::readHead(bool isFirst)
{
    m_limits = m_limitsHolder.load();
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits->headerBytes));
    m_parser->body_limit(boost::none);
    if (!isFirst && m_buffer.size() == 0 && !waitReadable())
        return false;
    m_stream.expires_after(m_limits->headerTimeout);
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

bool HttpConnection::finishExchange()
{
    if (m_callerGoneNotice)
        *m_callerGoneNotice = {};
    m_callerGoneNotice.reset();
    releaseBodyBytes();
    if (!m_hasResponded && !m_isAbandoned)
        (void)respond({500, {}, ""});
    m_stream.expires_never();
    if (m_mustClose)
        return false;
    std::size_t skipped = 0;
    while (!m_parser->is_done()) {
        const auto piece = readBodyChunk();
        if (piece.isError())
            return false;
        skipped += piece.value().size();
        if (skipped > m_limits->bodyBytes)
            return false;
    }
    return true;
}

void HttpConnection::close()
{
    boost::system::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

void HttpConnection::cancelIfIdle()
{
    if (m_isIdle)
        m_stream.cancel();
}

Result<std::string> HttpConnection::readBody()
{
    // For the whole of it, so that a sender who is slow enough cannot hold it for ever.
    const auto until = SteadyClock().now() + m_limits->bodyTimeout;
    std::string body;
    while (true) {
        auto piece = TRY(readPieceUntil(until));
        if (piece.empty())
            return body;
        TRY(holdBodyBytes(piece.size()));
        body += piece;
    }
}

Result<std::string> HttpConnection::readBodyChunk()
{
    return readPieceUntil(SteadyClock().now() + m_limits->bodyTimeout);
}

Result<void> HttpConnection::respond(HttpResponse response)
{
    m_hasResponded = true;
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    fillHead(message, response.headers);
    message.body() = std::move(response.body);
    message.prepare_payload();
    m_stream.expires_after(m_limits->writeTimeout);
    const auto outcome = awaitIo(
            [&](auto handler) { http::async_write(m_stream, message, std::move(handler)); });
    return afterWrite(outcome.code);
}

Result<void> HttpConnection::beginStream(unsigned status, HttpHeaders headers)
{
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

Result<void> HttpConnection::writeStream(std::string_view piece)
{
    if (piece.empty())
        return {};
    m_stream.expires_after(m_limits->writeTimeout);
    const auto outcome = awaitIo([&](auto handler) {
        boost::asio::async_write(
                m_stream, http::make_chunk(boost::asio::const_buffer(piece.data(), piece.size())),
                std::move(handler));
    });
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
    // A byte that waits here belongs to the caller's next request, and is left to it.
    char next = 0;
    const auto received
            = ::recv(m_stream.socket().native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool isOpen = received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR));
    return !isOpen;
}

void HttpConnection::onClientDisconnect(std::function<void()> notify)
{
    auto notice = std::make_shared<std::function<void()>>(std::move(notify));
    m_callerGoneNotice = notice;
    m_stream.socket().async_wait(tcp::socket::wait_read,
                                 [this, notice](const boost::system::error_code &code) {
                                     // The exchange takes its notice back when it ends, before this
                                     // object goes.
                                     if (!code && *notice && isClientDisconnected())
                                         (*notice)();
                                 });
}

Result<std::string> HttpConnection::readPieceUntil(TimePoint until)
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

Result<void> HttpConnection::holdBodyBytes(std::size_t bytes)
{
    if (m_bodyBytesHeld + bytes > m_limits->bodyBytes) {
        m_mustClose = true;
        return Error{ErrorKind::TooLarge,
                     "the body is larger than " + std::to_string(m_limits->bodyBytes) + " bytes"};
    }
    m_bodyBytesHeld += bytes;
    if (m_allBodyBytes.fetch_add(bytes) + bytes <= m_limits->totalBodyBytes)
        return {};
    m_mustClose = true;
    return Error{ErrorKind::Unavailable, "too many bytes of bodies are being read now"};
}

void HttpConnection::releaseBodyBytes()
{
    m_allBodyBytes -= m_bodyBytesHeld;
    m_bodyBytesHeld = 0;
}

bool HttpConnection::hasArrived()
{
    boost::system::error_code code;
    return m_stream.socket().available(code) > 0 && !code;
}

IoOutcome HttpConnection::readByte(char &byte)
{
    return awaitIo([&](auto handler) {
        m_stream.async_read_some(boost::asio::buffer(&byte, 1), std::move(handler));
    });
}

bool HttpConnection::waitReadable()
{
    if (m_isClosing && !hasArrived())
        return false;
    m_isIdle = true;
    m_stream.expires_after(m_limits->idleTimeout);
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

void HttpConnection::takeHead()
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

void HttpConnection::refuseMalformed(const boost::system::error_code &code)
{
    const bool isTooLarge = code == http::error::header_limit;
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
    if (!m_mustContinue)
        return {};
    m_mustContinue = false;
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
    if (m_isDraining.load(std::memory_order_relaxed))
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
