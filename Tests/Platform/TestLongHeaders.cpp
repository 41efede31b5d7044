#include "PlatformDeployment.h"

#include <catch2/catch.hpp>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace json = boost::json;

// Guards against headers within the operator's limit that end the process that gets them.
TEST_CASE("A call or an item with a header beyond 64 KB is served", "[Platform]")
{
    const std::string longText(67'000, 'x');

    PlatformDeployment deployment;
    deployment.maxHeaderBytes = 131'072;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &entry = deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    HttpRequest call{
            "POST",
            "/plain/x",
            {{"Host", PlatformDeployment::host}, {"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", "9000"}},
            "hello"};
    json::object itemHeaders;

    SECTION("as the value of a call's header")
    {
        call.headers.add("X-Prompt-Prefix", longText);
    }
    SECTION("as the name of a call's header")
    {
        call.headers.add(longText, "a");
    }
    SECTION("as the value of an item's header")
    {
        itemHeaders["X-Prompt-Prefix"] = longText;
    }
    SECTION("as the name of an item's header")
    {
        itemHeaders[longText] = "a";
    }
    const auto response = deployment.client.call(deployment.callers("entry1"), call);
    CHECK(response.status == 200);
    CHECK(response.body == FakeServer::responseBytes("hello"));
    const json::object item{{"id", "item1"},
                            {"path", "/batch/x"},
                            {"headers", itemHeaders},
                            {"body", encodeBase64("item1")},
                            {"token_count", 10}};
    const auto job = json::serialize(json::object{{"items", json::array{item}}});
    REQUIRE(deployment.post("entry1", "/batch/job1", job, "job1").status == 202);
    CHECK(deployment.waitForResults("entry1", "job1", 1)[0].at("state").as_string() == "completed");
    const auto served = server.served();
    REQUIRE(served.size() == 2);
    const auto &sent = served[itemHeaders.empty() ? 0 : 1].request.headers;
    CHECK((sent.value("X-Prompt-Prefix") == longText || sent.value(longText) == "a"));
    CHECK(entry.isRunning());
}

// Guards against a limit between processes that callers are held to.
TEST_CASE("A call about a job with a head that the operator allows is served at any process",
          "[Platform]")
{
    PlatformDeployment deployment;
    deployment.maxHeaderBytes = 131'072;
    deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    for (const auto *name : {"entry1", "entry2"}) {
        deployment.startEntry(name);
        deployment.waitUntilReady(name);
    }
    REQUIRE(deployment.submit("entry1", "job1", {"a"}).status == 202);
    REQUIRE(deployment.waitForResults("entry2", "job1", 1).size() == 1);
    const HttpRequest read{"GET",
                           "/-/lots/job1?after=0",
                           {{"Host", PlatformDeployment::host}, {"A", std::string(30'000, 'x')}},
                           ""};
    for (const auto *name : {"entry1", "entry2"})
        CHECK(deployment.client.call(deployment.callers(name), read).status == 200);
}
