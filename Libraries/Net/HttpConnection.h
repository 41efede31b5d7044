#pragma once

#include <Net/Await.h>
#include <Net/HeadParser.h>
#include <Net/HttpServer.h>
#include <Net/MemoryBudget.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <span>

namespace Radishplank {

/// Reads requests from one server connection and writes the responses; used by one fiber.
class HttpConnection : public HttpExchange
{
public:
    /// `bodyBudget` counts the bodies that the server holds.
    HttpConnection(boost::asio::ip::tcp::socket socket, const HttpServerLimitsHolder &limits,
                   const std::atomic<ServerPhase> &phase, MemoryBudget &bodyBudget);

    /// Counts this connection among those of the process; returns false if there are too many.
    bool tryConnect();
    /// Waits for the next request line and headers; returns false if the connection must close.
    bool readHead(bool isFirst);
    /// Discards the rest of the request body so that the next request can follow; returns false if
    /// the rest is too large or the connection must close.
    bool finishExchange();
    /// Closes the connection, after the client has had some time to read a last response.
    void close();
    /// Cancels the wait for a request if the server's phase closes the connection; called on the
    /// connection's own thread.
    void cancelIfIdle();

    auto executor() { return m_stream.get_executor(); }

    [[nodiscard]] const HttpRequest &request() const override { return m_request; }
    [[nodiscard]] bool hasResponded() const override { return m_hasResponded; }

    Result<std::string> readBody() override;
    Result<std::string> readBodyChunk() override;
    Result<void> respond(HttpResponse response) override;
    Result<void> beginStream(unsigned status, HttpHeaders headers) override;
    Result<void> writeStream(std::string_view chunk) override;
    Result<void> endStream() override;
    void abandon() override
    {
        m_isAbandoned = true;
        m_mustClose = true;
    }
    bool isClientDisconnected() override;
    void onClientDisconnect(std::function<void()> notify) override;

private:
    Result<std::string> readChunkUntil(TimePoint deadline);
    /// Reads the next bytes of the body and returns their number; 0 marks the end of the body.
    Result<std::size_t> readInto(std::span<char> space, TimePoint deadline);
    /// Counts further bytes of the body against all limits.
    Result<void> holdBody(std::size_t bytes);
    void releaseBody();
    /// Returns the error with which a request is refused that has to give its memory back.
    Error refuseForMemory();
    /// Marks the request as handed on; fails if it has to give its memory back instead.
    Result<void> enterRunning();
    /// Returns the function by which the budgets interrupt this connection.
    std::function<void()> evictor();
    /// As awaitIo(), but an eviction cancels the operation.
    template<typename Initiator>
    IoResult awaitInterruptible(Initiator &&initiate);
    [[nodiscard]] bool isEvicted() const;
    /// Returns the bytes of this connection besides bodies.
    [[nodiscard]] std::size_t ownBytes() const;
    /// Counts a response while the client takes it.
    void beginSending(std::size_t bytes);
    void endSending();
    /// Discards what the client still sends until it closes the connection, for a limited time.
    void discardInput();
    /// Returns whether the client has sent bytes that have not been read.
    bool hasPendingBytes();
    IoResult readByte(char &byte);
    /// Waits for the first byte of a request; returns false if the connection must close.
    bool waitForRequest(TimePoint deadline);
    /// Returns whether the server closes the connection while it waits for a request.
    [[nodiscard]] bool isClosedWhileIdle() const;
    void storeHead();
    /// Responds to bytes that are not a valid HTTP request; timeouts and closed connections get no
    /// response.
    void rejectMalformed(const boost::system::error_code &code);
    Result<void> sendContinue();
    template<typename Message>
    void fillHead(Message &message, const HttpHeaders &headers);
    Result<void> afterWrite(const boost::system::error_code &code);

    boost::beast::tcp_stream m_stream;
    const HttpServerLimitsHolder &m_limitsHolder;
    /// The limits in force when the current request began.
    std::shared_ptr<const HttpServerLimits> m_limits;
    const std::atomic<ServerPhase> &m_phase;
    /// Lets the budgets find out whether this connection still exists.
    std::shared_ptr<HttpConnection *> m_self;
    MemoryAccount m_account;
    MemoryAccount m_bodyAccount;
    /// Bytes of the body that are held for the current exchange.
    std::size_t m_bodyBytes = 0;
    boost::beast::flat_buffer m_buffer;
    std::optional<HeadParser<true>> m_parser;
    HttpRequest m_request;
    bool m_hasResponded = false;
    bool m_mustClose = false;
    bool m_isAbandoned = false;
    bool m_expectsContinue = false;
    bool m_isIdle = false;
    /// Whether the fiber waits for I/O that an eviction cancels.
    bool m_isInterruptible = false;
    /// Whether the connection has received a request.
    bool m_isUsed = false;
    /// Shared with the wait for the client's disconnect, which can complete after the exchange.
    std::shared_ptr<std::function<void()>> m_disconnectCallback;
};

} // namespace Radishplank
