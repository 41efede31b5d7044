#include <Net/Net.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <poll.h>
#include <thread>

using namespace Radishplank;
using boost::asio::ip::tcp;

namespace {

/// A caller that sends what a test tells it to, byte for byte.
class RawCaller
{
public:
    explicit RawCaller(const Endpoint &to)
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::make_address(to.address), to.port});
    }

    /// Returns false if the server has closed the connection.
    bool send(std::string_view bytes)
    {
        boost::system::error_code code;
        boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), code);
        return !code;
    }

    /// Returns what arrives until the server closes the connection; nothing if it does not.
    std::optional<std::string> readToEnd()
    {
        constexpr int patienceMilliseconds = 20'000;
        std::string text;
        std::array<char, 4096> bytes{};
        while (true) {
            pollfd readable{m_socket.native_handle(), POLLIN, 0};
            if (::poll(&readable, 1, patienceMilliseconds) == 0)
                return {};
            boost::system::error_code code;
            const auto count = m_socket.read_some(boost::asio::buffer(bytes), code);
            text.append(bytes.data(), count);
            if (code)
                return text;
        }
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

} // namespace

TEST_CASE("Slow and greedy callers are bounded in time and memory")
{
    FiberThreads threads(1);
    HttpServerLimits limits;
    limits.headerTimeout = Milliseconds(300);
    limits.bodyTimeout = Milliseconds(400);
    const auto serve = [&] {
        return HttpServer::listen(threads, {"127.0.0.1", 0}, limits,
                                  [](HttpExchange &exchange) {
                                      const auto body = exchange.readBody();
                                      const auto *const answer
                                              = body.isError() ? "refused" : "taken";
                                      (void)exchange.respond({200, {}, answer});
                                  })
                .takeValue();
    };
    const auto head = [](std::size_t bytes) {
        return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes)
               + "\r\n\r\n";
    };
    constexpr int longEnough = 200;
    /// Sends a byte now and then; returns how many the server took.
    const auto drip = [](RawCaller &caller) {
        int sent = 0;
        while (sent < longEnough && caller.send("x")) {
            sent += 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return sent;
    };

    SECTION("A request line that does not end is cut off")
    {
        const auto server = serve();
        RawCaller caller(server->endpoint());
        caller.send("POST / HT");
        CHECK(caller.readToEnd());
    }
    SECTION("Headers that come a byte at a time are cut off, however steadily they come")
    {
        const auto server = serve();
        RawCaller caller(server->endpoint());
        caller.send("POST / HTTP/1.1\r\nX: ");
        CHECK(drip(caller) < longEnough);
    }
    SECTION("So is a body, of which every piece comes in time, but not the whole")
    {
        const auto server = serve();
        constexpr int pieces = 11;
        constexpr std::size_t pieceBytes = 9'000;
        RawCaller caller(server->endpoint());
        caller.send(head(pieces * pieceBytes));
        int sent = 0;
        while (sent < pieces && caller.send(std::string(pieceBytes, 'x'))) {
            sent += 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
        CHECK(sent < pieces);
    }
    SECTION("Bodies that are too large together are refused, and others taken afterwards")
    {
        limits.totalBodyBytes = 800;
        const auto server = serve();
        const auto answerTo = [&](std::size_t bytes) {
            RawCaller caller(server->endpoint());
            caller.send("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                        + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'));
            return caller.readToEnd().value_or("");
        };
        CHECK(answerTo(900).find("refused") != std::string::npos);
        // More than fit together, one after the other.
        for (int i = 0; i < 5; ++i)
            CHECK(answerTo(400).find("taken") != std::string::npos);
    }
}

TEST_CASE("An exchange that is abandoned ends without an answer")
{
    auto &threads = *new FiberThreads(1); // Its fibers run until the test program ends.
    const auto server
            = HttpServer::listen(threads, {"127.0.0.1", 0}, {}, [](HttpExchange &exchange) {
                  exchange.abandon();
              }).takeValue();
    RawCaller caller(server->endpoint());
    REQUIRE(caller.send("GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"));
    CHECK(caller.readToEnd() == "");
}
