#include <Net/HttpServer.h>

#include <Core/CaughtException.h>
#include <Core/Log.h>
#include <Net/Await.h>
#include <Net/HttpConnection.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <mutex>
#include <thread>
#include <unordered_set>

namespace Radishplank {

using boost::asio::ip::tcp;

namespace {

constexpr Milliseconds acceptRetryDelay{50};
constexpr Milliseconds closingPollInterval{1};
/// A connection that a handler holds up may close late; new ones are then accepted again.
constexpr int maxClosingPolls = 100;
/// Clients that connect for a request send it within this time.
constexpr Milliseconds firstRequestTime{200};
constexpr Milliseconds closePollInterval{20};

} // namespace

struct HttpServer::Implementation
{
    Implementation(FiberThreads &fiberThreads, HttpServerLimits serverLimits,
                   Handler requestHandler)
        : threads(fiberThreads)
        , limits(std::make_shared<const HttpServerLimits>(serverLimits))
        , handler(std::move(requestHandler))
        , acceptor(fiberThreads.context(0))
        , bodyBudget({serverLimits.totalBodyBytes})
    {
    }

    FiberThreads &threads;
    HttpServerLimitsHolder limits;
    Handler handler;
    tcp::acceptor acceptor;
    std::atomic<ServerPhase> phase{ServerPhase::Serving};
    std::atomic<bool> isAccepting{true};
    std::atomic<std::size_t> activeExchanges{0};
    std::atomic<std::size_t> openConnections{0};
    MemoryBudget bodyBudget;
    std::mutex connectionsMutex;
    std::unordered_set<HttpConnection *> connections;
};

namespace {

/// An exception ends the exchange and its connection, and nothing else: handlers return what they
/// hold by destructors.
void serveExchange(const HttpServer::Handler &handler, HttpConnection &connection)
{
    const auto exception = exceptionOf([&] { handler(connection); });
    if (!exception)
        return;
    logFailure("exchange-failed",
               {{"target", connection.request().target}, {"reason", *exception}});
    if (!connection.hasResponded())
        (void)connection.respond({500, {}, ""});
    connection.abandon();
}

template<typename State>
void serveConnection(const std::shared_ptr<State> &state, tcp::socket socket)
{
    HttpConnection connection(std::move(socket), state->limits, state->phase, state->bodyBudget);
    if (!connection.tryConnect()) {
        state->openConnections -= 1;
        return;
    }
    {
        const std::scoped_lock lock(state->connectionsMutex);
        state->connections.insert(&connection);
    }
    bool isFirst = true;
    while (connection.readHead(isFirst)) {
        isFirst = false;
        state->activeExchanges += 1;
        serveExchange(state->handler, connection);
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
void spawnConnection(const std::shared_ptr<State> &state, std::size_t threadIndex,
                     const std::shared_ptr<tcp::socket> &socket)
{
    if (state->openConnections >= state->limits.load()->connections)
        return;
    state->openConnections += 1;
    state->threads.spawnOn(threadIndex,
                           [state, socket] { serveConnection(state, std::move(*socket)); });
}

/// Takes the connections that the kernel has already accepted, whose clients may have sent
/// requests, and then listens no more.
template<typename State>
void finishAccepting(const std::shared_ptr<State> &state)
{
    boost::system::error_code code;
    state->acceptor.non_blocking(true, code);
    while (!code) {
        auto socket = std::make_shared<tcp::socket>(state->threads.context(0));
        state->acceptor.accept(*socket, code);
        if (!code)
            spawnConnection(state, 0, socket);
    }
    state->acceptor.close(code);
    state->isAccepting = false;
}

void pause(Milliseconds duration)
{
    boost::asio::steady_timer timer(FiberThreads::currentContext(), duration);
    (void)awaitIo([&](auto handler) {
        timer.async_wait([handler](boost::system::error_code code) mutable { handler(code, 0); });
    });
}

/// Waits while idle connections are being closed for new ones. Otherwise a burst of connections
/// would reach the limit above which new ones are closed, those of ordinary clients among them.
void waitForClosingConnections()
{
    for (int i = 0; i < maxClosingPolls && MemoryBudget::ofProcess().isClosingConnections(); ++i)
        pause(closingPollInterval);
}

template<typename State>
void acceptConnections(const std::shared_ptr<State> &state)
{
    std::size_t nextThread = 0;
    while (state->phase < ServerPhase::ClosingIdle) {
        waitForClosingConnections();
        // A cancellation during the wait has not reached the accept operation below.
        if (state->phase >= ServerPhase::ClosingIdle)
            break;
        const std::size_t threadIndex = nextThread++ % state->threads.threadCount();
        auto socket = std::make_shared<tcp::socket>(state->threads.context(threadIndex));
        const auto outcome = awaitIo([&](auto handler) {
            state->acceptor.async_accept(
                    *socket,
                    [handler](boost::system::error_code code) mutable { handler(code, 0); });
        });
        if (outcome.code == boost::asio::error::operation_aborted)
            break;
        if (outcome.code) {
            // Most likely out of file descriptors; retry after a delay.
            pause(acceptRetryDelay);
            continue;
        }
        spawnConnection(state, threadIndex, socket);
    }
    finishAccepting(state);
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
    // Accepted connections inherit the buffer's size, which must be known when they are opened.
    const int receiveBufferBytes = MemoryBudget::ofProcess().limits().receiveBufferBytes;
    if (!code && receiveBufferBytes > 0) {
        state->acceptor.set_option(
                boost::asio::socket_base::receive_buffer_size(receiveBufferBytes), code);
    }
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

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_implementation->bodyBudget.setLimits({limits.totalBodyBytes});
    m_implementation->limits.store(std::make_shared<const HttpServerLimits>(limits));
}

void HttpServer::beginDrain()
{
    auto serving = ServerPhase::Serving;
    m_implementation->phase.compare_exchange_strong(serving, ServerPhase::Draining);
}

void HttpServer::closeIdle()
{
    closeConnections(ServerPhase::ClosingIdle);
}

void HttpServer::closeAll(TimePoint deadline)
{
    closeIdle();
    std::this_thread::sleep_until(
            std::min<TimePoint>(SteadyClock().now() + firstRequestTime, deadline));
    closeConnections(ServerPhase::ClosingAllIdle);
    while ((m_implementation->isAccepting || openConnections() > 0)
           && SteadyClock().now() < deadline)
        std::this_thread::sleep_for(closePollInterval);
}

void HttpServer::closeConnections(ServerPhase phase)
{
    auto state = m_implementation;
    if (state->phase < phase)
        state->phase = phase;
    state->threads.spawnOn(0, [state] {
        boost::system::error_code ignored;
        state->acceptor.cancel(ignored);
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
