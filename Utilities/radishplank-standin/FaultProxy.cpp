#include "FaultProxy.h"

#include <Net/Await.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <deque>
#include <set>

namespace Radishplank {

using boost::asio::ip::tcp;

namespace {

constexpr std::size_t maxChunkBytes = std::size_t{16} * 1024;
constexpr std::size_t maxQueuedChunks = 256;

enum class LinkMode { Pass, Cut, Stall };
enum class Direction { Forward, Backward };

struct DirectionState
{
    LinkMode mode = LinkMode::Pass;
    std::uint64_t bytes = 0;
    /// Time at which the link has transmitted all bytes queued so far.
    TimePoint idleAt;
};

struct Chunk
{
    std::string bytes;
    TimePoint dueAt;
};

} // namespace

struct ProxiedConnection;

struct FaultProxy::Link
{
    std::string name;
    Milliseconds delay{0};
    std::uint64_t bytesPerSecond = 0;
    std::array<DirectionState, 2> directions;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    std::set<ProxiedConnection *> connections;

    DirectionState &state(Direction direction)
    {
        return directions[static_cast<std::size_t>(direction)];
    }
};

struct FaultProxy::Route
{
    explicit Route(boost::asio::io_context &context)
        : acceptor(context)
    {
    }

    tcp::acceptor acceptor;
    std::shared_ptr<Link> link;
    /// Has no address until the target is set.
    Endpoint target;
};

/// A caller's connection and the corresponding connection to the target.
struct ProxiedConnection : std::enable_shared_from_this<ProxiedConnection>
{
    ProxiedConnection(boost::asio::io_context &context, std::shared_ptr<FaultProxy::Link> proxyLink)
        : link(std::move(proxyLink))
        , sockets{tcp::socket(context), tcp::socket(context)}
    {
    }

    std::shared_ptr<FaultProxy::Link> link;
    std::array<tcp::socket, 2> sockets;
    std::array<bool, 2> isDirectionStalled{false, false};
    bool isClosed = false;

    tcp::socket &source(Direction direction)
    {
        return sockets[static_cast<std::size_t>(direction)];
    }
    tcp::socket &sink(Direction direction)
    {
        return sockets[1 - static_cast<std::size_t>(direction)];
    }

    void close()
    {
        isClosed = true;
        boost::system::error_code ignored;
        for (auto &socket : sockets)
            socket.close(ignored);
    }
};

namespace {

using ConnectionPointer = std::shared_ptr<ProxiedConnection>;

/// Queue between the reading and the writing fiber of one direction.
struct ChunkQueue
{
    std::deque<Chunk> chunks;
    bool isEnded = false;
};

TimePoint dueTime(FaultProxy::Link &link, Direction direction, std::size_t bytes)
{
    const auto now = SteadyClock().now();
    auto &state = link.state(direction);
    state.bytes += bytes;
    state.idleAt = std::max(state.idleAt, now);
    if (link.bytesPerSecond > 0) {
        const double seconds
                = static_cast<double>(bytes) / static_cast<double>(link.bytesPerSecond);
        state.idleAt
                += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    return state.idleAt + link.delay;
}

void readChunks(const ConnectionPointer &connection, Direction direction,
                const std::shared_ptr<ChunkQueue> &queue)
{
    auto &link = *connection->link;
    while (true) {
        std::string bytes(maxChunkBytes, '\0');
        const auto outcome = awaitIo([&](auto handler) {
            connection->source(direction).async_read_some(boost::asio::buffer(bytes),
                                                          std::move(handler));
        });
        std::unique_lock lock(link.mutex);
        if (outcome.code) {
            queue->isEnded = true;
            link.changed.notify_all();
            return;
        }
        bytes.resize(outcome.byteCount);
        queue->chunks.push_back({std::move(bytes), dueTime(link, direction, outcome.byteCount)});
        link.changed.notify_all();
        link.changed.wait(lock, [&] {
            return queue->chunks.size() < maxQueuedChunks || connection->isClosed;
        });
    }
}

bool isStalled(const ProxiedConnection &connection, Direction direction)
{
    return connection.isDirectionStalled[static_cast<std::size_t>(direction)]
           || connection.link->state(direction).mode == LinkMode::Stall;
}

void writeChunks(const ConnectionPointer &connection, Direction direction,
                 const std::shared_ptr<ChunkQueue> &queue)
{
    auto &link = *connection->link;
    while (true) {
        Chunk chunk;
        {
            std::unique_lock lock(link.mutex);
            link.changed.wait(lock, [&] {
                const bool hasWork = !queue->chunks.empty() || queue->isEnded;
                return connection->isClosed || (hasWork && !isStalled(*connection, direction));
            });
            if (connection->isClosed || queue->chunks.empty())
                break;
            chunk = std::move(queue->chunks.front());
            queue->chunks.pop_front();
            link.changed.notify_all();
        }
        boost::this_fiber::sleep_until(chunk.dueAt);
        const auto outcome = awaitIo([&](auto handler) {
            boost::asio::async_write(connection->sink(direction), boost::asio::buffer(chunk.bytes),
                                     std::move(handler));
        });
        if (outcome.code)
            break;
    }
    // Close both directions: none of the forwarded protocols uses half-closed connections.
    const std::scoped_lock lock(link.mutex);
    connection->close();
    link.changed.notify_all();
}

void forward(const ConnectionPointer &connection, const Endpoint &target)
{
    auto &link = *connection->link;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(target.address), target.port);
    const auto outcome = awaitIo([&](auto handler) {
        connection->sockets[1].async_connect(
                endpoint, [handler](boost::system::error_code code) mutable { handler(code, 0); });
    });
    if (outcome.code) {
        connection->close();
        return;
    }
    for (auto &socket : connection->sockets)
        socket.set_option(tcp::no_delay(true));
    {
        const std::scoped_lock lock(link.mutex);
        link.connections.insert(connection.get());
    }
    std::vector<boost::fibers::fiber> fibers;
    for (const auto direction : {Direction::Forward, Direction::Backward}) {
        const auto queue = std::make_shared<ChunkQueue>();
        fibers.emplace_back([=] { readChunks(connection, direction, queue); });
        fibers.emplace_back([=] { writeChunks(connection, direction, queue); });
    }
    for (auto &fiber : fibers)
        fiber.join();
    const std::scoped_lock lock(link.mutex);
    link.connections.erase(connection.get());
}

void acceptRoute(const std::shared_ptr<FaultProxy::Route> &route)
{
    while (true) {
        auto connection
                = std::make_shared<ProxiedConnection>(FiberThreads::currentContext(), route->link);
        const auto outcome = awaitIo([&](auto handler) {
            route->acceptor.async_accept(
                    connection->sockets[0],
                    [handler](boost::system::error_code code) mutable { handler(code, 0); });
        });
        if (outcome.code)
            continue;
        const bool isCut = route->link->state(Direction::Forward).mode == LinkMode::Cut;
        if (isCut || route->target.address.empty()) {
            connection->close();
            continue;
        }
        boost::fibers::fiber([connection, target = route->target] {
            forward(connection, target);
        }).detach();
    }
}

void respondText(HttpExchange &exchange, unsigned status, std::string text)
{
    (void)exchange.respond({status, {}, std::move(text)});
}

} // namespace

Result<std::shared_ptr<FaultProxy::Route>> FaultProxy::openRoute(const std::string &link)
{
    auto &shared = m_links[link];
    if (!shared) {
        shared = std::make_shared<Link>();
        shared->name = link;
    }
    auto route = std::make_shared<Route>(m_threads.context(0));
    route->link = shared;
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), 0);
    boost::system::error_code code;
    route->acceptor.open(endpoint.protocol(), code);
    if (!code)
        route->acceptor.bind(endpoint, code);
    if (!code)
        route->acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
    if (code)
        return Error{ErrorKind::Unavailable, code.message()};
    m_threads.spawnOn(0, [route] { acceptRoute(route); });
    return route;
}

void FaultProxy::changeRoute(HttpExchange &exchange, const std::string &name)
{
    const auto body = exchange.readBody();
    const auto change = parseJsonObject(body.isError() ? "" : body.value());
    if (change.isError()) {
        respondText(exchange, 400, change.error().message);
        return;
    }
    auto &route = m_routes[name];
    if (!route) {
        auto opened = openRoute(textField(change.value(), "link").value_or(name));
        if (opened.isError()) {
            respondText(exchange, 500, opened.error().message);
            return;
        }
        route = opened.takeValue();
    }
    if (const auto target = textField(change.value(), "target")) {
        const auto parsed = Endpoint::parse(*target);
        if (parsed.isError()) {
            respondText(exchange, 400, parsed.error().message);
            return;
        }
        route->target = parsed.value();
    }
    const auto local = route->acceptor.local_endpoint();
    const Endpoint listen{local.address().to_string(), local.port()};
    respondText(exchange, 200,
                boost::json::serialize(boost::json::object{{"listen", listen.text()}}));
}

void FaultProxy::handle(HttpExchange &exchange)
{
    constexpr std::string_view linkPrefix = "/links/";
    const auto &target = exchange.request().target;
    constexpr std::string_view routePrefix = "/routes/";
    if (target.starts_with(routePrefix)) {
        changeRoute(exchange, target.substr(routePrefix.size()));
        return;
    }
    if (target == "/links") {
        showLinks(exchange);
        return;
    }
    const auto found = target.starts_with(linkPrefix)
                               ? m_links.find(target.substr(linkPrefix.size()))
                               : m_links.end();
    if (found == m_links.end()) {
        respondText(exchange, 404, "no such link");
        return;
    }
    changeLink(exchange, *found->second);
}

void FaultProxy::changeLink(HttpExchange &exchange, Link &link)
{
    const auto body = exchange.readBody();
    const auto change = parseJsonObject(body.isError() ? "" : body.value());
    if (change.isError()) {
        respondText(exchange, 400, change.error().message);
        return;
    }
    Findings findings;
    JsonReader reader(change.value(), "link", findings);
    reader.rejectUnknownFields({"mode", "direction", "delayMs", "bytesPerSecond"});
    const auto mode = reader.text("mode", "");
    const auto direction = reader.text("direction", "both");
    const std::scoped_lock lock(link.mutex);
    constexpr std::int64_t maxValue = 10'000'000'000;
    link.delay = Milliseconds(reader.integer("delayMs", link.delay.count(), 0, maxValue));
    link.bytesPerSecond = static_cast<std::uint64_t>(reader.integer(
            "bytesPerSecond", static_cast<std::int64_t>(link.bytesPerSecond), 0, maxValue));
    if (!findings.isEmpty()) {
        respondText(exchange, 400, findings.text());
        return;
    }
    for (const auto each : {Direction::Forward, Direction::Backward}) {
        const std::string_view name = each == Direction::Forward ? "forward" : "backward";
        if (direction != "both" && direction != name)
            continue;
        if (mode == "pass")
            link.state(each).mode = LinkMode::Pass;
        else if (mode == "stall")
            link.state(each).mode = LinkMode::Stall;
        else if (mode == "cut")
            link.state(each).mode = LinkMode::Cut;
        for (auto *connection : link.connections) {
            if (mode == "stall-open")
                connection->isDirectionStalled[static_cast<std::size_t>(each)] = true;
        }
    }
    if (mode == "cut") {
        for (auto *connection : link.connections)
            connection->close();
    }
    link.changed.notify_all();
    respondText(exchange, 200, "");
}

void FaultProxy::showLinks(HttpExchange &exchange)
{
    boost::json::object links;
    for (const auto &[name, link] : m_links) {
        const std::scoped_lock lock(link->mutex);
        links[name] = {{"forwardBytes", link->state(Direction::Forward).bytes},
                       {"backwardBytes", link->state(Direction::Backward).bytes},
                       {"connections", link->connections.size()}};
    }
    respondText(exchange, 200, boost::json::serialize(links));
}

} // namespace Radishplank
