#include "PlatformDeployment.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace json = boost::json;

namespace {

json::object tenant(const std::string &name, const std::vector<std::string> &keys)
{
    json::array list;
    for (const auto &key : keys)
        list.emplace_back(key);
    return {{"name", name}, {"api_keys", std::move(list)}, {"priority", 1}};
}

/// One of the platform's time limits.
constexpr Milliseconds revocationTime{5'000};
const std::vector<std::string> failClosed{"--revocation-time=5000"};

/// Fails if a request of a server carries a key, or another organisation than expected.
void checkOwners(FakeServer &server, const std::string &id, const std::string &owner)
{
    bool isServed = false;
    for (const auto &served : server.served()) {
        CHECK_FALSE(served.request.headers.find("Authorization"));
        if (served.request.headers.value("X-Attempt-Id") != id)
            continue;
        isServed = true;
        CHECK(served.request.headers.value("X-Tenant") == owner);
    }
    CHECK(isServed);
}

std::string jobOf(const std::string &item)
{
    return json::serialize(json::object{
            {"items", json::array{json::object{{"id", item},
                                               {"path", "/batch/x"},
                                               {"headers", json::object{{"X-Tenant", "forged"}}},
                                               {"body", encodeBase64(item)},
                                               {"token_count", 10}}}}});
}

} // namespace

TEST_CASE("Calls run in the name of the organisation that holds their key", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1, {tenant("north", {"k1", "k2"}), tenant("south", {"k3"})});
    deployment.startEntry("entry1", failClosed);
    deployment.startEntry("entry2", failClosed);
    deployment.waitUntilReady("entry1");
    deployment.waitUntilReady("entry2");
    REQUIRE(eventually([&] {
        return deployment.post("entry1", "/plain/x", "a", "first", "k1").status == 200
               && deployment.post("entry2", "/plain/x", "a", "first", "k1").status == 200;
    }));

    SECTION("The key and a forged name reach no server")
    {
        CHECK(deployment.post("entry1", "/plain/x", "a", "a1", "k2").status == 200);
        CHECK(deployment.post("entry1", "/resume/x", "a", "a2", "k3").status == 200);
        CHECK(deployment.post("entry1", "/open/x", "a", "a3", "k1").status == 200);
        CHECK(deployment.post("entry1", "/open/x", "a", "a4", "").status == 200);
        checkOwners(server, "a1", "north");
        checkOwners(server, "a2", "south");
        checkOwners(server, "a3", "");
        checkOwners(server, "a4", "");
    }
    SECTION("Calls without a known key are rejected and run nowhere")
    {
        CHECK(deployment.post("entry1", "/plain/x", "a", "b1", "").status == 401);
        CHECK(deployment.post("entry1", "/plain/x", "a", "b2", "k9").status == 401);
        CHECK(deployment.post("entry1", "/batch/x", jobOf("i1"), "b3", "k9").status == 401);
        for (const auto &served : server.served())
            CHECK(served.request.headers.value("X-Attempt-Id") == "first");
    }
    SECTION("A job belongs to the organisation that submitted it, at each process")
    {
        REQUIRE(deployment.callWithKey("entry1", "POST", "/batch/x", "k1", jobOf("item1"), "job1")
                        .status
                == 202);
        for (const auto *entry : {"entry1", "entry2"}) {
            const auto read = [&](const std::string &key) {
                return deployment.callWithKey(entry, "GET", "/-/lots/job1?after=0", key);
            };
            REQUIRE(eventually(
                    [&] { return read("k2").body.find("\"completed\"") != std::string::npos; }));
            CHECK(read("k3").status == 404);
            CHECK(read("k9").status == 401);
            CHECK(read("").status == 401);
            CHECK(deployment.callWithKey(entry, "DELETE", "/-/lots/job1", "k3").status == 404);
        }
        checkOwners(server, "item1", "north");
        CHECK(deployment.callWithKey("entry2", "DELETE", "/-/lots/job1", "k2").status == 200);
    }
}

TEST_CASE("A revoked key is refused within the revocation time", "[Platform]")
{
    PlatformDeployment deployment;
    deployment.addServer("i-1");
    deployment.writeConfiguration(1, {tenant("north", {"k1", "k2"})});
    deployment.startEntry("entry1", failClosed);
    deployment.waitUntilReady("entry1");
    const auto statusOf = [&](const std::string &key) {
        return deployment.post("entry1", "/plain/x", "a", makeUniqueId("a"), key).status;
    };
    REQUIRE(eventually([&] { return statusOf("k1") == 200; }));

    SECTION("A new key works as soon as it is in the store")
    {
        deployment.writeConfiguration(2, {tenant("north", {"k1", "k2", "k4"})});
        CHECK(statusOf("k4") == 200);
    }
    SECTION("at a process that learns of it")
    {
        deployment.writeConfiguration(2, {tenant("north", {"k2"})});
        CHECK(eventually([&] { return statusOf("k1") == 401; }));
        CHECK(statusOf("k2") == 200);
    }
    SECTION("and at a process that the store no longer answers, with every other key")
    {
        deployment.store.setBehaviour(StoreBehaviour::Unresponsive);
        deployment.writeConfiguration(2, {tenant("north", {"k2"})});
        std::this_thread::sleep_for(revocationTime);
        CHECK(statusOf("k1") == 503);
        CHECK(statusOf("k2") == 503);
        CHECK(deployment.post("entry1", "/open/x", "a", "a2", "").status == 200);

        SECTION("until the store answers again")
        {
            deployment.store.setBehaviour(StoreBehaviour::Normal);
            CHECK(eventually([&] { return statusOf("k2") == 200; }));
            CHECK(statusOf("k1") == 401);
        }
    }
}
