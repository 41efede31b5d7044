#include "RawClient.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <stdexcept>
#include <thread>

using namespace Radishplank;
using Radishplank::Test::RawClient;

TEST_CASE("Server limits bound the time and memory used by slow or large requests")
{
    FiberThreads threads(1);
    HttpServerLimits limits;
    limits.headerTimeout = Milliseconds(300);
    limits.bodyTimeout = Milliseconds(400);
    const auto serve = [&] {
        return HttpServer::listen(threads, {"127.0.0.1", 0}, limits,
                                  [](HttpExchange &exchange) {
                                      const auto body = exchange.readBody();
                                      const auto *const verdict
                                              = body.isError() ? "refused" : "taken";
                                      (void)exchange.respond({200, {}, verdict});
                                  })
                .takeValue();
    };
    const auto head = [](std::size_t bytes) {
        return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes)
               + "\r\n\r\n";
    };
    constexpr int maxBytes = 200;
    /// Sends one byte every 50 ms; returns how many were sent before the server closed.
    const auto sendSlowly = [](RawClient &client) {
        int sent = 0;
        while (sent < maxBytes && client.send("x")) {
            sent += 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return sent;
    };
    /// Sends a body of 9 KB every 250 ms; returns how many pieces were sent before the server
    /// closed.
    const auto sendBodySlowly = [&](const Endpoint &endpoint, int pieceCount) {
        const std::string piece(9'000, 'x');
        RawClient client(endpoint);
        client.send(head(static_cast<std::size_t>(pieceCount) * piece.size()));
        int sent = 0;
        while (sent < pieceCount && client.send(piece)) {
            sent += 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
        return sent;
    };

    SECTION("An incomplete request line times out")
    {
        const auto server = serve();
        RawClient client(server->endpoint());
        client.send("POST / HT");
        CHECK(client.readToEnd());
    }
    SECTION("Headers sent one byte at a time time out even if bytes keep arriving")
    {
        const auto server = serve();
        RawClient client(server->endpoint());
        client.send("POST / HTTP/1.1\r\nX: ");
        CHECK(sendSlowly(client) < maxBytes);
    }
    SECTION("A body times out as a whole even if each chunk arrives in time")
    {
        const auto server = serve();
        constexpr int chunkCount = 11;
        CHECK(sendBodySlowly(server->endpoint(), chunkCount) < chunkCount);
    }
    SECTION("The rest of a body that nobody reads times out as a whole")
    {
        const auto server
                = HttpServer::listen(threads, {"127.0.0.1", 0}, limits, [](HttpExchange &exchange) {
                      (void)exchange.respond({404, {}, ""});
                  }).takeValue();
        constexpr int chunkCount = 20;
        CHECK(sendBodySlowly(server->endpoint(), chunkCount) < chunkCount);
    }
    SECTION("Bytes without end that are no body are cut off before they fill the memory")
    {
        // The connection is closed by a limit on size, not on time.
        limits.headerTimeout = limits.bodyTimeout = std::chrono::seconds(60);
        constexpr std::size_t maxSentBytes = std::size_t{32} * 1024 * 1024;
        const std::string chunked
                = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto server = serve();
        for (const auto &start : {std::string("POST / HTTP/1.1\r\nX: "), chunked,
                                  chunked + "2;x=", chunked + "0\r\nX: "}) {
            CAPTURE(start);
            RawClient client(server->endpoint());
            client.send(start);
            const std::string filler(16'384, '7');
            std::size_t sent = 0;
            while (sent < maxSentBytes && client.send(filler))
                sent += filler.size();
            CHECK(sent < maxSentBytes);
        }
    }
    SECTION("A body over the total limit is rejected, and its bytes are released afterwards")
    {
        limits.totalBodyBytes = 800;
        const auto server = serve();
        const auto sendBody = [&](std::size_t bytes) {
            RawClient client(server->endpoint());
            client.send("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                        + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'));
            return client.readToEnd().value_or("");
        };
        CHECK(sendBody(900).find("refused") != std::string::npos);
        // In sequence, these bodies add up to more than the limit.
        for (int i = 0; i < 5; ++i)
            CHECK(sendBody(400).find("taken") != std::string::npos);
    }
}

TEST_CASE("An abandoned exchange closes the connection without a response")
{
    auto &threads = *new FiberThreads(1); // Its fibers run until the test program ends.
    const auto server
            = HttpServer::listen(threads, {"127.0.0.1", 0}, {}, [](HttpExchange &exchange) {
                  exchange.abandon();
              }).takeValue();
    RawClient client(server->endpoint());
    REQUIRE(client.send("GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"));
    CHECK(client.readToEnd() == "");
}

TEST_CASE("A stopping server's response is not taken away from a client that is still sending")
{
    FiberThreads threads(1);
    // More than the buffers of the connection hold.
    const std::string largeBody(std::size_t{16} * 1024 * 1024, 'b');
    const auto server
            = HttpServer::listen(threads, {"127.0.0.1", 0}, {}, [&](HttpExchange &exchange) {
                  const bool isLarge = exchange.request().target == "/large";
                  (void)exchange.respond({404, {}, isLarge ? largeBody : "none"});
              }).takeValue();
    server->beginDrain();
    RawClient client(server->endpoint());

    SECTION("the rest of the request's body")
    {
        const std::string piece(10'000, 'x');
        REQUIRE(client.send("POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"));
        for (int i = 0; i < 10; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            CHECK(client.send(piece));
        }
        CHECK(client.readToEnd().value_or("").ends_with("none"));
    }
    SECTION("its next request, while it reads slowly")
    {
        const std::string request = "GET /large HTTP/1.1\r\nHost: x\r\n\r\n";
        REQUIRE(client.send(request));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        REQUIRE(client.send(request));
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CHECK(client.readToEnd().value_or("").size() > largeBody.size());
    }
}

// Guards against single calls that end the process.
TEST_CASE("A call that cannot be served ends nothing but itself", "[HttpServer]")
{
    FiberThreads threads(1);
    HttpServerLimits limits;
    limits.headerBytes = 131'072;
    HttpServer::Handler handler = [](HttpExchange &exchange) {
        (void)exchange.respond({200, {}, exchange.request().headers.value("A")});
    };
    std::string headers;
    std::string expectedStatus;
    const std::string longText(70'000, 'x');

    SECTION("A header's value is longer than 64 KB, within the limit")
    {
        headers = "A: " + longText + "\r\n";
        expectedStatus = "HTTP/1.1 200 ";
    }
    SECTION("A header's name is longer than 64 KB, within the limit")
    {
        headers = longText + ": a\r\n";
        expectedStatus = "HTTP/1.1 200 ";
    }
    SECTION("A header is beyond the limit")
    {
        headers = "A: " + longText + longText + "\r\n";
        expectedStatus = "HTTP/1.1 431 ";
    }
    SECTION("The response would have a header beyond 64 KB")
    {
        handler = [&](HttpExchange &exchange) {
            (void)exchange.respond({200, {{"A", longText}}, ""});
        };
        expectedStatus = "HTTP/1.1 500 ";
    }
    SECTION("The response would have a header with a line break")
    {
        handler = [&](HttpExchange &exchange) {
            (void)exchange.beginStream(200, {{"A", "a\r\nB: c"}});
        };
        expectedStatus = "HTTP/1.1 500 ";
    }
    SECTION("The response would have a body that its status does not allow")
    {
        handler = [&](HttpExchange &exchange) { (void)exchange.respond({204, {}, "body"}); };
        expectedStatus = "HTTP/1.1 204 ";
    }
    SECTION("The handler throws")
    {
        handler = [](HttpExchange &) { throw std::length_error("too long"); };
        expectedStatus = "HTTP/1.1 500 ";
    }
    const auto server = HttpServer::listen(threads, {"127.0.0.1", 0}, limits, handler).takeValue();
    for (int call = 0; call < 2; ++call) {
        RawClient client(server->endpoint());
        client.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n");
        CHECK(client.readToEnd().value_or("").starts_with(expectedStatus));
    }
    CHECK(server->activeExchanges() == 0);
}
