#include "../Net/RawClient.h"
#include "PlatformDeployment.h"
#include "RawResponseServer.h"

#include <catch2/catch.hpp>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

std::string buildResponse(const std::string &attempt, const std::string &headers,
                          const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
           + "\r\nX-Response-Seal: spoilt\r\nContent-Type: text/event-stream\r\n" + headers + "\r\n"
           + body;
}

std::string contentLength(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

} // namespace

TEST_CASE("A server's malformed response never reaches a caller as a complete response",
          "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = FakeServer::responseBytes("hello");
    std::string malformed;
    RawResponseServer::Script script = [&](const std::string &) { return malformed; };

    SECTION("Bytes that are not HTTP")
    {
        malformed = "\x16\x03\x01 this is no HTTP\r\n\r\n";
    }
    SECTION("A response to another request")
    {
        malformed = buildResponse("another", contentLength(whole), whole);
    }
    SECTION("A response shorter than its Content-Length")
    {
        malformed = buildResponse("a1", contentLength(whole + whole), whole);
    }
    SECTION("A chunk with an invalid size")
    {
        malformed = buildResponse("a1", "Transfer-Encoding: chunked\r\n", "zz\r\nid: 1\r\n");
    }
    SECTION("A chunked response without the last chunk")
    {
        malformed = buildResponse("a1", "Transfer-Encoding: chunked\r\n", "7\r\nid: 1\r\n\r\n");
    }
    SECTION("A response header without an end")
    {
        malformed = "HTTP/1.1 200 OK\r\nX-Long: " + std::string(200'000, 'x');
    }
    SECTION("A stream that ends with its connection inside an event")
    {
        malformed = buildResponse("a1", "", whole.substr(0, whole.size() - 3));
    }
    SECTION("A chunked stream that ends inside an event")
    {
        malformed = buildResponse("a1", "Transfer-Encoding: chunked\r\n",
                                  "6\r\nid: 1\n\r\n0\r\n\r\n");
    }
    SECTION("A stream that ends with its connection before the first event")
    {
        malformed = buildResponse("a1", "", "");
    }
    RawResponseServer server(deployment.freeAddress(), std::move(script));
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");

    const auto plain = deployment.post("entry1", "/plain/x", "hello", "a1");
    const bool isCutOff = plain.status == 0;
    CHECK((isCutOff || plain.status == 502));
    CHECK(server.requests() == 1);

    // A resumable stream is retried at a healthy server.
    auto &healthy = deployment.addServer("i-1");
    REQUIRE(eventually([&] {
        const auto resumed = deployment.post("entry1", "/resume/x", "hello", "a1");
        CHECK((resumed.status == 0 || resumed.status == 502 || resumed.body == whole));
        return resumed.body == whole;
    }));
    CHECK_FALSE(healthy.served().empty());
}

TEST_CASE("A status that HTTP does not know never reaches a caller", "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = FakeServer::responseBytes("hello");
    std::string statusLine;
    SECTION("alone")
    {
        statusLine = GENERATE("000 Odd", "099 Odd", "600 Odd", "999 Odd");
    }
    SECTION("beside the statement that the call has not run")
    {
        statusLine = "999 Odd\r\nX-Not-Executed: full";
    }
    SECTION("or as a switch of protocols that nobody has asked for")
    {
        statusLine = "101 Switching\r\nUpgrade: x";
    }
    RawResponseServer server(deployment.freeAddress(), [&](const std::string &attempt) {
        return "HTTP/1.1 " + statusLine + "\r\nX-Attempt-Id: " + attempt
               + "\r\nX-Response-Seal: spoilt\r\n" + contentLength(whole) + "\r\n" + whole;
    });
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    RawClient caller(deployment.callers("entry1"));
    caller.send("POST /plain/x HTTP/1.1\r\nHost: " + std::string(PlatformDeployment::host)
                + "\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 9000\r\nContent-Length: 5\r\n"
                  "Connection: close\r\n\r\nhello");
    CHECK(caller.readToEnd().value_or("").starts_with("HTTP/1.1 502 "));
}

TEST_CASE("A stream without length or chunks that ends with its connection is complete",
          "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = FakeServer::responseBytes("hello");
    RawResponseServer server(deployment.freeAddress(), [&](const std::string &attempt) {
        return buildResponse(attempt, "", whole);
    });
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");

    for (const auto *path : {"/plain/x", "/resume/x"}) {
        const auto response = deployment.post("entry1", path, "hello", "a1");
        CHECK(response.status == 200);
        CHECK(response.body == whole);
    }
}

TEST_CASE("An endless response is aborted after a bounded time and number of bytes", "[Platform]")
{
    PlatformDeployment deployment;
    std::string responseStart;
    RawResponseServer server(deployment.freeAddress(), [&](const std::string &attempt) {
        return responseStart.empty() ? buildResponse(attempt, "", "") : responseStart;
    });
    // Far more than a response header or an event of a healthy server.
    constexpr std::size_t maxBytes = std::size_t{16} * 1024 * 1024;

    SECTION("An endless response header")
    {
        responseStart = "HTTP/1.1 200 OK\r\nX-Long: ";
        server.repeatUntilClosed(std::string(65'536, 'x'));
    }
    SECTION("An endless response body")
    {
        server.repeatUntilClosed(std::string(65'536, 'x'));
    }
    SECTION("Endless lines that do not form an event")
    {
        server.repeatUntilClosed("data: x\n");
    }
    SECTION("Endless events without an id")
    {
        server.repeatUntilClosed("data: x\n\n");
    }
    SECTION("Endless events without an id in large blocks")
    {
        std::string events;
        while (events.size() < 65'536)
            events += "data: x\n\n";
        server.repeatUntilClosed(std::move(events));
    }
    SECTION("Endless bytes where the size of a chunk is due")
    {
        responseStart = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        server.repeatUntilClosed(std::string(65'536, '7'));
    }
    SECTION("Single bytes at intervals, as the body of a refusal")
    {
        responseStart = "HTTP/1.1 503 Full\r\nX-Not-Executed: full\r\nContent-Length: 9999\r\n\r\n";
        server.repeatUntilClosed("x", Milliseconds(100));
    }
    SECTION("Single bytes at intervals, as the body of a failure")
    {
        responseStart = "HTTP/1.1 502 Broken\r\nTransfer-Encoding: chunked\r\n\r\n";
        server.repeatUntilClosed("1\r\nx\r\n", Milliseconds(100));
    }
    SECTION("Single bytes at intervals")
    {
        server.repeatUntilClosed("x", Milliseconds(100));
    }
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");

    // The first runs of the items are at the faulty server.
    REQUIRE(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
    REQUIRE(eventually([&] { return server.requests() > 0; }));
    auto &healthy = deployment.addServer("i-1");
    CHECK(deployment.waitForResults("entry1", "job1", 2).size() == 2);
    const auto whole = FakeServer::responseBytes("hello");
    REQUIRE(eventually([&] {
        const auto resumed = deployment.post("entry1", "/resume/x", "hello", "a1");
        return resumed.status == 200 && resumed.body == whole;
    }));
    CHECK_FALSE(healthy.served().empty());
    CHECK(server.repeatedBytes() < maxBytes * server.requests());
}

TEST_CASE("An item that a server turns away with an endless body runs at another server",
          "[Platform]")
{
    PlatformDeployment deployment;
    std::string head;
    std::string piece = "x";
    SECTION("of a given length, as a refusal")
    {
        head = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 9999\r\n";
    }
    SECTION("in chunks, as a refusal")
    {
        head = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n";
        piece = "9\r\nno answer\r\n";
    }
    SECTION("that ends with its connection, as a refusal of another server's request")
    {
        head = "HTTP/1.1 421 Misdirected\r\n";
    }
    SECTION("in chunks, as a failure")
    {
        head = "HTTP/1.1 502 Broken\r\nTransfer-Encoding: chunked\r\n";
        piece = "9\r\nno answer\r\n";
    }
    RawResponseServer server(deployment.freeAddress(), [&](const std::string &attempt) {
        return head + "X-Attempt-Id: " + attempt + "\r\n\r\n";
    });
    server.repeatUntilClosed(piece, Milliseconds(500));
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    REQUIRE(deployment.submit("entry1", "job1", {"held"}).status == 202);
    REQUIRE(eventually([&] { return server.requests() > 0; }));
    deployment.addServer("i-1");
    const auto results = deployment.waitForResults("entry1", "job1", 1);
    REQUIRE(results.size() == 1);
    CHECK(results.at(0).at("id").as_string() == "held");
    CHECK(results.at(0).at("output").as_string() == FakeServer::responseData("held"));
}

TEST_CASE("Bytes after a complete response are not taken as the response to another request",
          "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = FakeServer::responseBytes("hello");
    RawResponseServer server(deployment.freeAddress(), [&](const std::string &attempt) {
        return buildResponse(attempt, contentLength(whole), whole)
               + buildResponse("another", contentLength("x"), "x");
    });
    deployment.registerAt("i-9", server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    for (const auto *attempt : {"a1", "a2", "a3"}) {
        const auto response = deployment.post("entry1", "/plain/x", "hello", attempt);
        CHECK(response.status == 200);
        CHECK(response.body == whole);
        CHECK(response.headers.value("X-Attempt-Id") == attempt);
    }
}
