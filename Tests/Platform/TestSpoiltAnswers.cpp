#include "PlatformDeployment.h"
#include "SpoiltServer.h"

#include <catch2/catch.hpp>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

std::string answer(const std::string &attempt, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
           + "\r\nX-Response-Seal: spoilt\r\nContent-Type: text/event-stream\r\n" + headers + "\r\n"
           + body;
}

std::string lengthOf(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

} // namespace

TEST_CASE("A server's spoilt answers reach no caller as whole ones", "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = ServerStandin::answerBytes("hello");
    std::string spoilt;
    SpoiltServer::Script script = [&](const std::string &) { return spoilt; };

    SECTION("Bytes that are no answer")
    {
        spoilt = "\x16\x03\x01 this is no HTTP\r\n\r\n";
    }
    SECTION("The answer to another request")
    {
        spoilt = answer("another", lengthOf(whole), whole);
    }
    SECTION("An answer that ends before its length")
    {
        spoilt = answer("a1", lengthOf(whole + whole), whole);
    }
    SECTION("A piece of an answer whose size is no number")
    {
        spoilt = answer("a1", "Transfer-Encoding: chunked\r\n", "zz\r\nid: 1\r\n");
    }
    SECTION("Pieces without the last one")
    {
        spoilt = answer("a1", "Transfer-Encoding: chunked\r\n", "7\r\nid: 1\r\n\r\n");
    }
    SECTION("A header that never ends")
    {
        spoilt = "HTTP/1.1 200 OK\r\nX-Long: " + std::string(200'000, 'x');
    }
    SpoiltServer server(deployment.freeAddress(), std::move(script));
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");

    const auto plain = deployment.post("entry1", "/plain/x", "hello", "a1");
    const bool isCutOff = plain.status == 0;
    CHECK((isCutOff || plain.status == 502));
    CHECK(server.requests() == 1);

    // A stream that may be resumed is asked of a sound server.
    auto &sound = deployment.addServer("i-1");
    REQUIRE(eventually([&] {
        const auto resumed = deployment.post("entry1", "/resume/x", "hello", "a1");
        CHECK((resumed.status == 0 || resumed.status == 502 || resumed.body == whole));
        return resumed.body == whole;
    }));
    CHECK_FALSE(sound.served().empty());
}

TEST_CASE("An answer without end is left after a bounded time and number of bytes", "[Platform]")
{
    PlatformDeployment deployment;
    std::string begin;
    SpoiltServer server(deployment.freeAddress(), [&](const std::string &attempt) {
        return begin.empty() ? answer(attempt, "", "") : begin;
    });
    // Far more than a head or an event of a sound server.
    constexpr std::size_t mostBytes = std::size_t{16} * 1024 * 1024;

    SECTION("Bytes without end in the head")
    {
        begin = "HTTP/1.1 200 OK\r\nX-Long: ";
        server.repeatUntilClosed(std::string(65'536, 'x'));
    }
    SECTION("Bytes without end in the body")
    {
        server.repeatUntilClosed(std::string(65'536, 'x'));
    }
    SECTION("Lines without end that are no event")
    {
        server.repeatUntilClosed("data: x\n");
    }
    SECTION("Events without end that belong to no stream")
    {
        server.repeatUntilClosed("data: x\n\n");
    }
    SECTION("Many such events at once")
    {
        std::string events;
        while (events.size() < 65'536)
            events += "data: x\n\n";
        server.repeatUntilClosed(std::move(events));
    }
    SECTION("A byte now and then")
    {
        server.repeatUntilClosed("x", Milliseconds(100));
    }
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");

    // The items' first runs are at the spoilt server.
    REQUIRE(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
    REQUIRE(eventually([&] { return server.requests() > 0; }));
    auto &sound = deployment.addServer("i-1");
    CHECK(deployment.waitForResults("entry1", "job1", 2).size() == 2);
    const auto whole = ServerStandin::answerBytes("hello");
    REQUIRE(eventually([&] {
        const auto resumed = deployment.post("entry1", "/resume/x", "hello", "a1");
        return resumed.status == 200 && resumed.body == whole;
    }));
    CHECK_FALSE(sound.served().empty());
    CHECK(server.repeatedBytes() < mostBytes * server.requests());
}

TEST_CASE("Bytes behind a whole answer belong to no request", "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = ServerStandin::answerBytes("hello");
    SpoiltServer server(deployment.freeAddress(), [&](const std::string &attempt) {
        return answer(attempt, lengthOf(whole), whole) + answer("another", lengthOf("x"), "x");
    });
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    for (const auto *attempt : {"a1", "a2", "a3"}) {
        const auto answered = deployment.post("entry1", "/plain/x", "hello", attempt);
        CHECK(answered.status == 200);
        CHECK(answered.body == whole);
        CHECK(answered.headers.value("X-Attempt-Id") == attempt);
    }
}
