#include "RepeatingServer.h"

#include <Net/Net.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <future>
#include <limits>
#include <thread>

using namespace Radishplank;
using boost::asio::ip::tcp;
using Radishplank::Test::RepeatingServer;

namespace {

/// Accepts connections one after the other and responds to each request on them with the given
/// bytes.
class ScriptedServer
{
public:
    using Responses = std::vector<std::string>;

    explicit ScriptedServer(std::vector<Responses> connections)
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this, scripts = std::move(connections)] {
            for (const auto &script : scripts)
                serve(script);
        })
    {
    }
    explicit ScriptedServer(Responses responses)
        : ScriptedServer(std::vector<Responses>{std::move(responses)})
    {
    }
    /// Sends `repeated` after the responses, with a pause each time, until the client closes.
    ScriptedServer(const std::string &response, std::string repeated, Milliseconds pause)
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_repeated(std::move(repeated))
        , m_pause(pause)
        , m_thread([this, response] { serve({response}); })
    {
    }
    ~ScriptedServer()
    {
        // Ends the wait for connections that the client has not opened.
        boost::system::error_code ignored;
        tcp::socket socket(m_context);
        socket.connect(m_acceptor.local_endpoint(), ignored);
        socket.close(ignored);
        m_thread.join();
    }

    [[nodiscard]] std::size_t repeatedBytes() const { return m_repeatedBytes; }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve(const std::vector<std::string> &responses)
    {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        std::string received;
        for (const auto &scripted : responses) {
            boost::system::error_code code;
            const auto length = boost::asio::read_until(
                    socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", code);
            if (code)
                return;
            received.erase(0, length);
            boost::asio::write(socket, boost::asio::buffer(scripted), code);
        }
        boost::system::error_code code;
        while (!m_repeated.empty() && !code) {
            m_repeatedBytes += boost::asio::write(socket, boost::asio::buffer(m_repeated), code);
            std::this_thread::sleep_for(m_pause);
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::string m_repeated;
    Milliseconds m_pause{0};
    std::atomic<std::size_t> m_repeatedBytes{0};
    std::thread m_thread;
};

/// Returns a script that responds with the given bytes in turn.
RepeatingServer::Script respondInTurn(std::deque<std::string> responses)
{
    return [responses = std::move(responses)](const std::string &) mutable {
        auto response = std::move(responses.front());
        responses.pop_front();
        return response;
    };
}

std::string makeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nAttempt: " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Makes the calls in sequence on one thread and returns their bodies, "" for a failed call.
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

bool isFailedCall(const Endpoint &server)
{
    static auto &threads = *new FiberThreads(1); // Its fibers run until the test program ends.
    std::promise<bool> result;
    threads.spawnOn(0, [&] {
        result.set_value(HttpClient::fetch(server, {"GET", "/", {}, ""}, {}).isError());
    });
    return result.get_future().get();
}

} // namespace

TEST_CASE("A response is matched to its call by the echoed header", "[HttpClient]")
{
    SECTION("A late response to an earlier call is skipped")
    {
        ScriptedServer server({makeResponse("a", "first"),
                               makeResponse("a", "late") + makeResponse("b", "second")});
        CHECK(callEach(server.endpoint(), {"a", "b"})
              == std::vector<std::string>{"first", "second"});
    }
    SECTION("A response without the header is accepted")
    {
        ScriptedServer server({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
        CHECK(callEach(server.endpoint(), {"a"}) == std::vector<std::string>{"ok"});
    }
    SECTION("A response without the header that is written once more is not taken for another call")
    {
        const std::string refusal = "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno";
        ScriptedServer server(std::vector<ScriptedServer::Responses>{
                {refusal, refusal + makeResponse("b", "run twice")},
                {makeResponse("b", "second")}});
        CHECK(callEach(server.endpoint(), {"a", "b"}) == std::vector<std::string>{"no", "second"});
    }
    SECTION("A malformed response fails the call")
    {
        ScriptedServer server({"NONSENSE\r\n\r\n"});
        CHECK(callEach(server.endpoint(), {"a"}) == std::vector<std::string>{""});
    }
}

// Guards against bytes that are passed on although they are no answer of HTTP.
TEST_CASE("A response whose status HTTP does not know fails the call", "[HttpClient]")
{
    const std::string status = GENERATE("000", "001", "099", "101", "600", "999");
    const auto response = "HTTP/1.1 " + status + " Odd"
                          + "\r\nAttempt: a\r\nX-Not-Executed: full\r\nContent-Length: 2\r\n\r\nno";
    ScriptedServer server(ScriptedServer::Responses{response});
    CHECK(isFailedCall(server.endpoint()));
}

TEST_CASE("A copy of an earlier response is not taken for the response when a call is sent again",
          "[HttpClient]")
{
    using Bodies = std::vector<std::string>;
    const std::string loopback = "127.0.0.1";
    const auto responseWith = [](const std::string &status) {
        return "HTTP/1.1 " + status + "\r\nAttempt: a\r\nContent-Length: 5\r\n\r\nfirst";
    };
    const auto second = makeResponse("a", "second");

    SECTION("The copy of a refusal")
    {
        const auto refusal = responseWith("503 Full");
        RepeatingServer server(loopback, respondInTurn({refusal, second}));
        CHECK(callEach(server.endpoint(), {"a", "a"}) == Bodies{"first", "second"});
        CHECK(server.connections() == 2);
    }
    SECTION("The copy of a refusal, after another call on the connection")
    {
        RepeatingServer server(loopback, respondInTurn({responseWith("503 Full"),
                                                        makeResponse("b", "other"), second}));
        CHECK(callEach(server.endpoint(), {"a", "b", "a"}) == Bodies{"first", "other", "second"});
        CHECK(server.connections() == 2);
    }
    SECTION("The copy of a failure")
    {
        RepeatingServer server(loopback, respondInTurn({responseWith("500 Failed"), second}));
        CHECK(callEach(server.endpoint(), {"a", "a"}) == Bodies{"first", "second"});
    }
    SECTION("The copy of a success")
    {
        RepeatingServer server(loopback, respondInTurn({responseWith("200 OK"), second}));
        CHECK(callEach(server.endpoint(), {"a", "a"}) == Bodies{"first", "second"});
    }
}

TEST_CASE("The framing of a response is limited like its head", "[HttpClient]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto bodyWith = [&](std::size_t extensionBytes, std::size_t trailerBytes) {
        ScriptedServer server(ScriptedServer::Responses{
                head + "2;x=" + std::string(extensionBytes, 'x')
                + "\r\nok\r\n0\r\nTrailer: " + std::string(trailerBytes, 'x') + "\r\n\r\n"});
        return callEach(server.endpoint(), {"a"}).front();
    };
    constexpr std::size_t allowed = std::size_t{32} * 1024;
    constexpr std::size_t excessive = std::size_t{96} * 1024;
    CHECK(bodyWith(allowed, 1) == "ok");
    CHECK(bodyWith(excessive, 1).empty());
    CHECK(bodyWith(1, excessive).empty());
}

TEST_CASE("Bytes without end that are no body fail the call before they fill the memory",
          "[HttpClient]")
{
    constexpr std::size_t maxSentBytes = std::size_t{32} * 1024 * 1024;
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(16'384, '7');
    std::string start;
    std::string repeated = filler;
    Milliseconds pause(0);

    SECTION("in a head")
    {
        start = head + "X: ";
    }
    SECTION("where the size of a chunk is due")
    {
        start = chunked;
    }
    SECTION("in the extensions of a chunk")
    {
        start = chunked + "2;x=";
    }
    SECTION("in the trailers")
    {
        start = chunked + "0\r\nX: ";
    }
    SECTION("as interim responses")
    {
        repeated = "HTTP/1.1 103 Early Hints\r\n\r\n";
    }
    SECTION("as late responses to another call")
    {
        repeated = makeResponse("b", filler);
    }
    SECTION("slowly, in the extensions of a chunk")
    {
        start = chunked + "2;x=";
        repeated = "7";
        pause = Milliseconds(100);
    }
    SECTION("slowly, as a body")
    {
        start = head + "Content-Length: 100000\r\n\r\n";
        repeated = "7";
        pause = Milliseconds(100);
    }
    SECTION("slowly, as a late response to another call")
    {
        start = "HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 100000\r\n\r\n";
        repeated = "7";
        pause = Milliseconds(100);
    }
    HttpCallOptions options;
    options.match = {"Attempt", "a"};
    options.readTimeout = Milliseconds(500);
    options.bodyTimeout = Milliseconds(1'000);
    auto &threads = *new FiberThreads(1); // Its fibers run until the test program ends.
    auto result = std::make_shared<std::promise<bool>>();
    auto isFailure = result->get_future();
    ScriptedServer server(start, repeated, pause);
    threads.spawnOn(0, [&options, result, endpoint = server.endpoint()] {
        result->set_value(HttpClient::fetch(endpoint, {"GET", "/", {}, ""}, options).isError());
    });
    REQUIRE(isFailure.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(isFailure.get());
    CHECK(server.repeatedBytes() < maxSentBytes);
}

TEST_CASE("A response that ends in its head fails the call, wherever it ends", "[HttpClient]")
{
    for (const auto *framing : {"Content-Length: 2", "Transfer-Encoding: chunked", "X: y"}) {
        const auto head = "HTTP/1.1 200 OK\r\nAttempt: a\r\n" + std::string(framing) + "\r\n\r\n";
        for (std::size_t length = 1; length < head.size(); ++length) {
            CAPTURE(framing, length);
            ScriptedServer server(ScriptedServer::Responses{head.substr(0, length)});
            CHECK(isFailedCall(server.endpoint()));
        }
    }
}

TEST_CASE("A process can limit the bodies that all of its calls hold together", "[HttpClient]")
{
    constexpr std::size_t limit = 1'000;
    const auto callWith = [](std::size_t bytes) {
        ScriptedServer server({makeResponse("a", std::string(bytes, 'x'))});
        return callEach(server.endpoint(), {"a"}).front().size();
    };
    HttpClient::setMaxTotalBodyBytes(limit);
    CHECK(callWith(limit + 1) == 0);
    // The bytes of an ended call do not count.
    for (int i = 0; i < 3; ++i)
        CHECK(callWith(limit) == limit);
    HttpClient::setMaxTotalBodyBytes(std::numeric_limits<std::size_t>::max());
    CHECK(callWith(limit + 1) == limit + 1);
}

TEST_CASE("Interim responses before the response to a call are skipped", "[HttpClient]")
{
    ScriptedServer server(
            {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + makeResponse("a", "ok")});
    CHECK(callEach(server.endpoint(), {"a"}) == std::vector<std::string>{"ok"});
}

TEST_CASE("Idle connections to endpoints no longer in use are closed")
{
    auto &threads = *new FiberThreads(1); // Its fibers run until the test program ends.
    const auto handler = [](HttpExchange &exchange) {
        (void)exchange.respond({200, {{"Keep-Alive", "timeout=2"}}, "hello"});
    };
    const auto replaced = HttpServer::listen(threads, {"127.0.0.1", 0}, {}, handler).takeValue();
    const auto current = HttpServer::listen(threads, {"127.0.0.1", 0}, {}, handler).takeValue();
    const auto call = [&](const HttpServer &server) {
        std::promise<bool> isSuccessful;
        threads.spawnOn(0, [&] {
            const auto fetched = HttpClient::fetch(server.endpoint(), {"GET", "/", {}, ""}, {});
            isSuccessful.set_value(!fetched.isError());
        });
        return isSuccessful.get_future().get();
    };
    REQUIRE(call(*replaced));
    CHECK(replaced->openConnections() == 1);
    // The client keeps an idle connection one second less than the server's keep-alive timeout.
    std::this_thread::sleep_for(Milliseconds(1'500));
    REQUIRE(call(*current));
    // The server detects the close asynchronously.
    for (int i = 0; i < 100 && replaced->openConnections() > 0; ++i)
        std::this_thread::sleep_for(Milliseconds(20));
    CHECK(replaced->openConnections() == 0);
    CHECK(current->openConnections() == 1);
}

// Guards against texts of callers that become further headers or requests.
TEST_CASE("A request that its receiver would read as something else is not sent", "[HttpClient]")
{
    ScriptedServer server(ScriptedServer::Responses{makeResponse("1", "whole")});
    HttpRequest request{"POST", "/x", {{"Attempt", "1"}}, "body"};
    SECTION("because of its method")
    {
        request.method = GENERATE("", "GET /y HTTP/1.1\r\n\r\nPOST", "PO ST");
    }
    SECTION("because of its target")
    {
        request.target
                = GENERATE("", "/x y", "/x HTTP/1.1\r\nA: b\r\n\r\nGET /y", "/x\ny", "/x\x7f");
    }
    SECTION("because of the name of a header")
    {
        const std::string name = GENERATE("", "A b", "A:", "A ", "A: b\r\nC", "A\nB");
        request.headers.add(name, "value");
    }
    SECTION("because of the value of a header")
    {
        const std::string value = GENERATE(as<std::string>(), "a\r\nB: c", "a\nB: c", "a\rb",
                                           std::string("a\0b", 3));
        request.headers.add("A", value);
    }
    FiberThreads threads(1);
    std::promise<std::pair<ErrorKind, CallProgress>> result;
    threads.spawnOn(0, [&] {
        const auto answer = HttpClient::call(server.endpoint(), request, {});
        const auto *failure = std::get_if<HttpCallError>(&answer);
        result.set_value(failure == nullptr ? std::pair(ErrorKind::Internal, CallProgress::Sent)
                                            : std::pair(failure->error.kind, failure->progress));
    });
    const auto [kind, progress] = result.get_future().get();
    CHECK(kind == ErrorKind::InvalidInput);
    CHECK(progress == CallProgress::NotSent);
}

// Guards against requests that end the process: Beast's message throws for them.
TEST_CASE("A request that the HTTP library would not make is sent as it stands", "[HttpClient]")
{
    std::string received;
    RepeatingServer server("127.0.0.1", [&](const std::string &head) {
        received = head;
        return makeResponse("1", "whole");
    });
    HttpRequest request{"POST", "/x", {{"Attempt", "1"}}, "body"};
    const std::string longText(70'000, 'x');
    SECTION("with the value of a header beyond 64 KB")
    {
        request.headers.add("A", longText);
    }
    SECTION("with the name of a header beyond 64 KB")
    {
        request.headers.add(longText, "a");
    }
    SECTION("with a method that usually has no body")
    {
        request.method = "TRACE";
    }
    FiberThreads threads(1);
    std::promise<std::string> body;
    threads.spawnOn(0, [&] {
        const auto answer = HttpClient::call(server.endpoint(), request, {});
        const auto *response = std::get_if<HttpResponse>(&answer);
        body.set_value(response == nullptr ? "" : response->body);
    });
    CHECK(body.get_future().get() == "whole");
    CHECK(received.starts_with(request.method + " /x HTTP/1.1\r\n"));
    for (const auto &header : request.headers.all())
        CHECK(RepeatingServer::fieldOf(received, header.name) == header.value);
}

namespace {

/// Answers an upload before it has read it, with a body that ends with the connection.
class EarlyAnswerServer
{
public:
    enum class End {
        Reset,          ///< Resets the connection.
        CloseThenReset, ///< Closes the sending side, and then resets the connection.
        CloseThenRead,  ///< Closes the sending side, and reads the upload to its end.
    };

    explicit EarlyAnswerServer(End end)
        : m_acceptor(m_context, tcp::v4())
    {
        // The upload does not fit, so that a part of it stays with the client.
        constexpr int receiveBufferBytes = 4'096;
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        m_acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        m_acceptor.listen();
        m_thread = std::thread([this, end] { serve(end); });
    }
    ~EarlyAnswerServer() { m_thread.join(); }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve(End end)
    {
        constexpr Milliseconds pause{100};
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        std::string received;
        boost::system::error_code ignored;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", ignored);
        const std::string answer = "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\npart";
        boost::asio::write(socket, boost::asio::buffer(answer), ignored);
        std::this_thread::sleep_for(pause);
        if (end != End::Reset)
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        std::this_thread::sleep_for(pause);
        if (end == End::CloseThenRead) {
            boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
            return;
        }
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

// Guards against a part of an answer that is taken for the whole.
TEST_CASE("A body that ends with its connection is complete unless the connection is reset",
          "[HttpClient]")
{
    const std::size_t uploadBytes
            = GENERATE(std::size_t{20'000}, std::size_t{150'000}, std::size_t{400'000});
    const auto bodyAfter = [&](EarlyAnswerServer::End end) {
        EarlyAnswerServer server(end);
        FiberThreads threads(1);
        std::promise<std::string> body;
        threads.spawnOn(0, [&] {
            const auto response = HttpClient::fetch(
                    server.endpoint(),
                    {"POST", "/", {{"Attempt", "a"}}, std::string(uploadBytes, 'x')}, {});
            body.set_value(response.isError() ? "" : response.value().body);
        });
        return body.get_future().get();
    };
    CAPTURE(uploadBytes);

    SECTION("A reset before the end fails the call")
    {
        CHECK(bodyAfter(EarlyAnswerServer::End::Reset).empty());
    }
    SECTION("A reset behind the end, with a part of the upload unread, fails the call")
    {
        CHECK(bodyAfter(EarlyAnswerServer::End::CloseThenReset).empty());
    }
    SECTION("A server that reads the upload after its answer has answered")
    {
        CHECK(bodyAfter(EarlyAnswerServer::End::CloseThenRead) == "part");
    }
}
