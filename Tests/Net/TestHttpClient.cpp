#include <Net/Net.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace Radishplank;
using boost::asio::ip::tcp;

namespace {

/// A server that answers each request on its one connection with bytes that a test has chosen.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<std::string> answers)
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this, script = std::move(answers)] { serve(script); })
    {
    }
    ~ScriptedServer() { m_thread.join(); }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve(const std::vector<std::string> &answers)
    {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        std::string received;
        for (const auto &answer : answers) {
            boost::system::error_code code;
            const auto length = boost::asio::read_until(
                    socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", code);
            if (code)
                return;
            received.erase(0, length);
            boost::asio::write(socket, boost::asio::buffer(answer), code);
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

std::string answerTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nAttempt: " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Makes the calls one after the other on one thread, and returns the bodies; "" for a failure.
std::vector<std::string> callEach(const Endpoint &server, const std::vector<std::string> &ids)
{
    FiberThreads threads(1);
    std::promise<std::vector<std::string>> result;
    threads.spawnOn(0, [&] {
        std::vector<std::string> bodies;
        for (const auto &id : ids) {
            HttpCallOptions options;
            options.match = {"Attempt", id};
            const auto response
                    = HttpClient::fetch(server, {"GET", "/", {{"Attempt", id}}, ""}, options);
            bodies.push_back(response.isError() ? "" : response.value().body);
        }
        result.set_value(bodies);
    });
    return result.get_future().get();
}

} // namespace

TEST_CASE("An answer belongs to the call that it names", "[HttpClient]")
{
    SECTION("A late answer to an earlier call is passed over")
    {
        ScriptedServer server(
                {answerTo("a", "first"), answerTo("a", "late") + answerTo("b", "second")});
        CHECK(callEach(server.endpoint(), {"a", "b"})
              == std::vector<std::string>{"first", "second"});
    }
    SECTION("An answer that names no call is taken")
    {
        ScriptedServer server({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
        CHECK(callEach(server.endpoint(), {"a"}) == std::vector<std::string>{"ok"});
    }
    SECTION("Bytes that are no answer are a failure")
    {
        ScriptedServer server({"NONSENSE\r\n\r\n"});
        CHECK(callEach(server.endpoint(), {"a"}) == std::vector<std::string>{""});
    }
}

TEST_CASE("Idle connections to servers that are not called again are closed")
{
    auto &threads = *new FiberThreads(1); // Its fibers run until the test program ends.
    const auto answer = [](HttpExchange &exchange) {
        (void)exchange.respond({200, {{"Keep-Alive", "timeout=2"}}, "hello"});
    };
    const auto replaced = HttpServer::listen(threads, {"127.0.0.1", 0}, {}, answer).takeValue();
    const auto current = HttpServer::listen(threads, {"127.0.0.1", 0}, {}, answer).takeValue();
    const auto call = [&](const HttpServer &server) {
        std::promise<bool> isAnswered;
        threads.spawnOn(0, [&] {
            const auto answered = HttpClient::fetch(server.endpoint(), {"GET", "/", {}, ""}, {});
            isAnswered.set_value(!answered.isError());
        });
        return isAnswered.get_future().get();
    };
    REQUIRE(call(*replaced));
    CHECK(replaced->openConnections() == 1);
    // The caller keeps the connection for a second less than the server.
    std::this_thread::sleep_for(Milliseconds(1'500));
    REQUIRE(call(*current));
    // The server notices a little later.
    for (int i = 0; i < 100 && replaced->openConnections() > 0; ++i)
        std::this_thread::sleep_for(Milliseconds(20));
    CHECK(replaced->openConnections() == 0);
    CHECK(current->openConnections() == 1);
}
