#include "Deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

std::string entryText(int deadlineMilliseconds)
{
    return R"({"pool":"captions","deadlineMs":)" + std::to_string(deadlineMilliseconds) + "}";
}

std::int64_t revision(Deployment &deployment, const std::string &entry)
{
    return integerField(deployment.state(deployment.entry(entry).operators),
                        "configurationRevision", 0);
}

bool servesEntry(Deployment &deployment, const std::string &entry, const std::string &name)
{
    return deployment.call(entry, {"GET", "/v1/models", {}, ""}).body.find("\"" + name + "\"")
           != std::string::npos;
}

} // namespace

TEST_CASE("A catalogue change takes effect at every entry process and is never reverted")
{
    Deployment deployment;
    deployment.addAgent("agent1");
    const EntryOptions options{.isStoreBehindProxy = true};
    for (const auto *name : {"entry1", "entry2", "entry3", "entry4"})
        deployment.addEntry(name, options);
    deployment.putCatalogue(1);
    const std::vector<std::string> entries{"entry1", "entry2", "entry3", "entry4"};
    const auto isServedEverywhere = [&](const std::string &name) {
        return eventually([&] {
            return std::all_of(entries.begin(), entries.end(), [&](const std::string &entry) {
                return servesEntry(deployment, entry, name);
            });
        });
    };

    SECTION("Two processes of a zone watch the store, and the others receive changes from peers")
    {
        deployment.putObject("entries/lotka/new", entryText(1'000));
        CHECK(isServedEverywhere("new"));
        CHECK(eventually([&] {
            int watching = 0;
            for (const auto &entry : entries)
                watching += deployment.state(deployment.entry(entry).operators)
                                            .at("watchesStore")
                                            .as_bool()
                                    ? 1
                                    : 0;
            return watching == 2;
        }));
        const auto state = deployment.state(deployment.entry("entry1").operators);
        CHECK(state.at("members").as_array().size() == entries.size());
        const auto status = deployment.runControlTool({"catalogue", "status"});
        CHECK(status.status == 0);
        for (const auto &entry : entries)
            CHECK(status.output.find(entry) != std::string::npos);
    }
    SECTION("A process that cannot reach the store receives changes from its peers")
    {
        deployment.configureLink("entry1-store", R"({"mode":"cut"})");
        deployment.configureLink("entry2-store", R"({"mode":"cut"})");
        HttpRequest put{"PUT", "/catalogue/entries%2Flotka%2Fnew", {}, entryText(1'000)};
        put.headers.add("Authorization", std::string("Bearer ") + Deployment::operatorToken);
        put.headers.add("If-Version", "0");
        REQUIRE(deployment.client.call(deployment.entry("entry3").operators, put).status == 200);
        CHECK(isServedEverywhere("new"));
    }
    SECTION("A change whose watch events are lost still reaches every process")
    {
        deployment.setPlatformSwitches(R"({"loseWatches":true})");
        deployment.putObject("entries/lotka/new", entryText(1'000));
        CHECK(isServedEverywhere("new"));
    }
    SECTION("A process that starts during an outage gets the newest known version from a peer")
    {
        deployment.putObject("entries/lotka/new", entryText(1'000));
        CHECK(isServedEverywhere("new"));
        deployment.setPlatformSwitches(R"({"outage":true})");
        const auto seed = deployment.entry("entry1").control.text();
        deployment.addEntry("entry5", {.arguments = {"--seeds=" + seed}});
        CHECK(eventually([&] { return servesEntry(deployment, "entry5", "new"); }));
        deployment.waitForUpstreams("entry5", 1);
        CHECK(completionText(deployment.call("entry5", completion("in the outage", 2)))
              == expectedText("in the outage", 2));
    }
    SECTION("A process frozen during a change catches up, and no process reverts to its old state")
    {
        deployment.entry("entry2").process->freeze();
        deployment.putObject("entries/lotka/new", entryText(1'000));
        const auto after = revision(deployment, "entry1");
        deployment.entry("entry2").process->thaw();
        CHECK(isServedEverywhere("new"));
        for (const auto &entry : entries)
            CHECK(eventually([&] { return revision(deployment, entry) >= after; }));
        CHECK(isServedEverywhere("new"));
    }
    SECTION("A process that resumes answers the calls that arrived while it was frozen")
    {
        deployment.waitForUpstreams("entry2", 1);
        deployment.entry("entry2").process->freeze();
        std::vector<RunningCall> calls;
        for (int call = 0; call < 8; ++call)
            calls.push_back(deployment.start("entry2", completion("while frozen", 2)));
        std::this_thread::sleep_for(std::chrono::seconds(5));
        deployment.entry("entry2").process->thaw();
        for (auto &call : calls)
            CHECK(completionText(call.answer.get()) == expectedText("while frozen", 2));
    }
    SECTION("A process frozen for a minute catches up with all changes")
    {
        deployment.entry("entry2").process->freeze();
        const auto thawAt = SteadyClock().now() + std::chrono::minutes(1);
        for (int deadline = 1'000; deadline < 1'020; ++deadline) {
            deployment.putObject("entries/lotka/new", entryText(deadline));
            std::this_thread::sleep_until(thawAt - std::chrono::seconds(1'020 - deadline));
        }
        std::this_thread::sleep_until(thawAt);
        const auto after = revision(deployment, "entry1");
        deployment.entry("entry2").process->thaw();
        CHECK(eventually([&] { return revision(deployment, "entry2") >= after; }));
        CHECK(isServedEverywhere("new"));
        CHECK(completionText(deployment.call("entry2", completion("resumed", 2)))
              == expectedText("resumed", 2));
    }
    SECTION("A process isolated from the store and its peers continues with half its share of each "
            "limit")
    {
        deployment.putObject("owners/lotka", R"({"tokenDigest":")" + sha256Hex(Deployment::token)
                                                     + R"(","limits":{"requestsPerSecond":400}})");
        const auto ownedPerSecond = [&] {
            const auto state = deployment.state(deployment.entry("entry1").operators);
            for (const auto &limit : state.at("limits").as_array()) {
                if (textField(limit.as_object(), "key") == "lotka")
                    return limit.at("ownedPerSecond").to_number<double>();
            }
            return 0.0;
        };
        const auto callAndRead = [&] {
            (void)deployment.call("entry1", completion("isolated", 1));
            return ownedPerSecond();
        };
        REQUIRE(eventually([&] { return callAndRead() == 100; }));
        deployment.configureLink("entry1-store", R"({"mode":"cut"})");
        for (const auto *name : {"entry2", "entry3", "entry4"})
            deployment.entry(name).process->freeze();
        CHECK(eventually([&] { return callAndRead() == 50; }));
        CHECK(completionText(deployment.call("entry1", completion("isolated", 2)))
              == expectedText("isolated", 2));
        for (const auto *name : {"entry2", "entry3", "entry4"})
            deployment.entry(name).process->thaw();
        deployment.configureLink("entry1-store", R"({"mode":"pass"})");
        CHECK(eventually([&] { return callAndRead() == 100; }));
    }
    SECTION("Of two operators who change the same version, one gets a conflict error")
    {
        const auto put = [&](const std::string &entry, int deadline) {
            HttpRequest request{
                    "PUT", "/catalogue/entries%2Flotka%2Frace", {}, entryText(deadline)};
            request.headers.add("Authorization",
                                std::string("Bearer ") + Deployment::operatorToken);
            request.headers.add("If-Version", "0");
            return deployment.client.start(deployment.entry(entry).operators, request);
        };
        const auto first = put("entry1", 1'000);
        const auto second = put("entry2", 2'000);
        const auto statuses = std::minmax(first.answer.get().status, second.answer.get().status);
        CHECK(statuses.first == 200);
        CHECK(statuses.second == 409);
    }
    SECTION("An invalid object is refused with all its errors and changes nothing")
    {
        HttpRequest request{"PUT", "/catalogue/entries%2Flotka%2Fbad", {}, R"({"kind":"x","a":1})"};
        request.headers.add("Authorization", std::string("Bearer ") + Deployment::operatorToken);
        request.headers.add("If-Version", "0");
        const auto refused = deployment.client.call(deployment.entry("entry1").operators, request);
        CHECK(refused.status == 400);
        for (const auto *error :
             {"bad.kind: 'x' is none of", "bad.pool: is required", "bad.a: is not a known field"})
            CHECK(refused.body.find(error) != std::string::npos);
    }
}

TEST_CASE("An owner stays within its rate limit whichever entry processes it calls")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 64, .tokenIntervalMs = 1});
    for (const auto *name : {"entry1", "entry2", "entry3"})
        deployment.addEntry(name);
    deployment.putCatalogue(1);
    constexpr double rate = 30;
    constexpr double burst = 6;
    deployment.putObject("owners/lotka",
                         R"({"tokenDigest":")" + sha256Hex(Deployment::token)
                                 + R"(","limits":{"requestsPerSecond":30,"burstRequests":6}})");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const auto begin = SteadyClock().now();
    std::size_t admitted = 0;
    std::size_t refused = 0;
    for (int round = 0; round < 60; ++round) {
        std::vector<RunningCall> calls;
        for (const auto *entry : {"entry1", "entry1", "entry1", "entry2", "entry3", "entry1"})
            calls.push_back(deployment.start(entry, completion("limited", 1)));
        for (const auto &call : calls) {
            const auto answer = call.answer.get();
            if (answer.status == 200) {
                admitted += 1;
                continue;
            }
            CHECK(answer.status == 429);
            CHECK(answer.headers.value("Radishplank-Outcome") == "not-run");
            CHECK_FALSE(answer.headers.value("Retry-After").empty());
            refused += 1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    const std::chrono::duration<double> seconds = SteadyClock().now() - begin;
    // The rate over the elapsed time, one burst, and one request at each of the three processes,
    // because each rounds its share of the burst up.
    CHECK(static_cast<double>(admitted) <= rate * seconds.count() + burst + 3);
    CHECK(refused > 0);
}

TEST_CASE("An owner that calls only one entry process can use most of its rate limit")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 64, .tokenIntervalMs = 1});
    for (const auto *name : {"entry1", "entry2", "entry3"})
        deployment.addEntry(name);
    deployment.putCatalogue(1);
    constexpr double rate = 60;
    deployment.putObject("owners/lotka",
                         R"({"tokenDigest":")" + sha256Hex(Deployment::token)
                                 + R"(","limits":{"requestsPerSecond":60,"burstRequests":6}})");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    // Counting starts once the other processes have had time to lend quota.
    std::size_t admitted = 0;
    auto begin = SteadyClock().now();
    for (int round = 0; round < 160; ++round) {
        if (round == 60) {
            admitted = 0;
            begin = SteadyClock().now();
        }
        std::vector<RunningCall> calls;
        for (int i = 0; i < 8; ++i)
            calls.push_back(deployment.start("entry1", completion("limited", 1)));
        for (const auto &call : calls)
            admitted += call.answer.get().status == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
    const std::chrono::duration<double> seconds = SteadyClock().now() - begin;
    // Without loans, the process would be limited to its share of a third.
    CHECK(static_cast<double>(admitted) >= 0.7 * rate * seconds.count());
}

TEST_CASE("An owner limited to one concurrent call can run it at any entry process")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 8});
    const std::vector<std::string> entries{"entry1", "entry2", "entry3"};
    for (const auto &name : entries)
        deployment.addEntry(name);
    deployment.putCatalogue(1);
    deployment.putObject("owners/lotka", R"({"tokenDigest":")" + sha256Hex(Deployment::token)
                                                 + R"(","limits":{"concurrentRequests":1}})");
    for (const auto &entry : entries) {
        CHECK(eventually(
                [&] { return deployment.call(entry, completion("one", 1)).status == 200; }));
    }
    SECTION("and a second concurrent call is refused at once by every entry process")
    {
        RunningCall first;
        REQUIRE(eventually([&] {
            first = deployment.start("entry1", completion("first", 300));
            return eventually([&] {
                       const bool hasEnded = first.answer.wait_for(std::chrono::seconds(0))
                                             == std::future_status::ready;
                       return hasEnded
                              || integerField(deployment.engineStats("agent1"), "running", 0) == 1;
                   })
                   && integerField(deployment.engineStats("agent1"), "running", 0) == 1;
        }));
        for (const auto &entry : entries) {
            const auto refused = deployment.call(entry, completion("second", 1));
            CHECK(refused.status == 429);
            CHECK(refused.headers.value("Radishplank-Outcome") == "not-run");
            CHECK_FALSE(refused.headers.value("Retry-After").empty());
        }
        CHECK(completionText(first.answer.get()) == expectedText("first", 300));
    }
}

TEST_CASE("An agent refuses orders to its engine with an outdated fencing number")
{
    Deployment deployment;
    // This engine does not check the fencing number itself.
    deployment.addAgent("agent1");
    const auto order = [&](int fencing) {
        HttpRequest request{"POST",
                            "/orders",
                            {},
                            R"({"fencing":)" + std::to_string(fencing) + R"(,"load":"m"})"};
        request.headers.add("Radishplank-Secret", "secret-of-the-cluster");
        return deployment.client.call(deployment.agentData("agent1"), request).status;
    };
    // The agent refuses orders until it knows the fencing number issued last.
    REQUIRE(eventually([&] { return order(5) == 200; }));
    CHECK(order(4) == 409);
    CHECK(order(6) == 200);
    CHECK(integerField(deployment.engineStats("agent1"), "staleOrders", -1) == 0);
}
