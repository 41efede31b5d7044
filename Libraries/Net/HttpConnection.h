#pragma once

#include <Net/Await.h>
#include <Net/HttpServer.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace Radishplank {

/// Reads requests from one connection of a server and answers them; lives in one fiber.
class HttpConnection : public HttpExchange
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, const HttpServerLimitsHolder &limits,
                   const std::atomic<bool> &isDraining, const std::atomic<bool> &isClosing,
                   std::atomic<std::size_t> &bodyBytesHeld);

    /// Waits for the next request line and headers; false when the connection is done.
    bool readHead(bool isFirst);
    /// Reads what is left of a body so that the next request can follow; false if it is too much.
    bool finishExchange();
    void close();
    /// Ends the wait for a next request; called on the connection's own thread.
    void cancelIfIdle();

    auto executor() { return m_stream.get_executor(); }

    [[nodiscard]] const HttpRequest &request() const override { return m_request; }
    [[nodiscard]] bool hasResponded() const override { return m_hasResponded; }

    Result<std::string> readBody() override;
    Result<std::string> readBodyChunk() override;
    Result<void> respond(HttpResponse response) override;
    Result<void> beginStream(unsigned status, HttpHeaders headers) override;
    Result<void> writeStream(std::string_view piece) override;
    Result<void> endStream() override;
    void abandon() override
    {
        m_isAbandoned = true;
        m_mustClose = true;
    }
    bool isClientDisconnected() override;
    void onClientDisconnect(std::function<void()> notify) override;

private:
    Result<std::string> readPieceUntil(TimePoint until);
    /// Counts bytes of a body that is read whole against the bounds.
    Result<void> holdBodyBytes(std::size_t bytes);
    void releaseBodyBytes();
    /// Tells whether bytes of the caller wait to be read.
    bool hasArrived();
    IoOutcome readByte(char &byte);
    /// Waits for the first byte of a next request.
    bool waitReadable();
    void takeHead();
    /// Answers bytes that are not an HTTP request; silence and closed connections get no answer.
    void refuseMalformed(const boost::system::error_code &code);
    Result<void> sendContinue();
    template<typename Message>
    void fillHead(Message &message, const HttpHeaders &headers);
    Result<void> afterWrite(const boost::system::error_code &code);

    boost::beast::tcp_stream m_stream;
    const HttpServerLimitsHolder &m_limitsHolder;
    /// As they were when the present request began.
    std::shared_ptr<const HttpServerLimits> m_limits;
    const std::atomic<bool> &m_isDraining;
    const std::atomic<bool> &m_isClosing;
    std::atomic<std::size_t> &m_allBodyBytes;
    std::size_t m_bodyBytesHeld = 0;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> m_parser;
    HttpRequest m_request;
    bool m_hasResponded = false;
    bool m_mustClose = false;
    bool m_isAbandoned = false;
    bool m_mustContinue = false;
    bool m_isIdle = false;
    /// Shared with the wait for the caller's close, which can end after the exchange.
    std::shared_ptr<std::function<void()>> m_callerGoneNotice;
};

} // namespace Radishplank
