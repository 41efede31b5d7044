#include <Net/HttpServer.h>

#include <Net/Await.h>
#include <Net/HttpConnection.h>

#include <boost/asio/ip/tcp.hpp>
#include <mutex>
#include <unordered_set>

namespace Radishplank {

using boost::asio::ip::tcp;

namespace {

constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

struct HttpServer::Implementation
{
    Implementation(FiberThreads &fiberThreads, HttpServerLimits serverLimits,
                   Handler requestHandler)
        : threads(fiberThreads)
        , limits(std::make_shared<const HttpServerLimits>(serverLimits))
        , handler(std::move(requestHandler))
        , acceptor(fiberThreads.context(0))
    {
    }

    FiberThreads &threads;
    HttpServerLimitsHolder limits;
    Handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isClosing{false};
    std::atomic<std::size_t> activeExchanges{0};
    std::atomic<std::size_t> openConnections{0};
    std::atomic<std::size_t> bufferedBodyBytes{0};
    std::mutex connectionsMutex;
    std::unordered_set<HttpConnection *> connections;
};

namespace {

template<typename State>
void serveConnection(const std::shared_ptr<State> &state, tcp::socket socket)
{
    HttpConnection connection(std::move(socket), state->limits, state->isDraining, state->isClosing,
                              state->bufferedBodyBytes);
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
            // Most likely out of file descriptors; retry after a delay.
            boost::asio::steady_timer timer(FiberThreads::currentContext(), acceptRetryDelay);
            (void)awaitIo([&](auto handler) {
                timer.async_wait(
                        [handler](boost::system::error_code code) mutable { handler(code, 0); });
            });
            continue;
        }
        if (state->openConnections >= state->limits.load()->connections)
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

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_implementation->limits.store(std::make_shared<const HttpServerLimits>(limits));
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
