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

TEST_CASE("A catalogue change comes into force everywhere and never goes back")
{
    Deployment deployment;
    deployment.addAgent("agent1");
    const EntryOptions options{.isStoreBehindProxy = true};
    for (const auto *name : {"entry1", "entry2", "entry3", "entry4"})
        deployment.addEntry(name, options);
    deployment.putCatalogue(1);
    const std::vector<std::string> entries{"entry1", "entry2", "entry3", "entry4"};
    const auto servedEverywhere = [&](const std::string &name) {
        return eventually([&] {
            return std::all_of(entries.begin(), entries.end(), [&](const std::string &entry) {
                return servesEntry(deployment, entry, name);
            });
        });
    };

    SECTION("Two processes of a zone watch the store, the others learn from peers")
    {
        deployment.putObject("entries/lotka/new", entryText(1'000));
        CHECK(servedEverywhere("new"));
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
    SECTION("A process cut off from the store learns from its peers")
    {
        deployment.configureLink("entry1-store", R"({"mode":"cut"})");
        deployment.configureLink("entry2-store", R"({"mode":"cut"})");
        HttpRequest put{"PUT", "/catalogue/entries%2Flotka%2Fnew", {}, entryText(1'000)};
        put.headers.add("Authorization", std::string("Bearer ") + Deployment::operatorToken);
        put.headers.add("If-Version", "0");
        REQUIRE(deployment.client.call(deployment.entry("entry3").operators, put).status == 200);
        CHECK(servedEverywhere("new"));
    }
    SECTION("Those that watch the store are told of later changes, but not of this one")
    {
        deployment.setPlatformSwitches(R"({"loseWatches":true})");
        deployment.putObject("entries/lotka/new", entryText(1'000));
        CHECK(servedEverywhere("new"));
    }
    SECTION("A process that starts during an outage gets the newest known version from a peer")
    {
        deployment.putObject("entries/lotka/new", entryText(1'000));
        CHECK(servedEverywhere("new"));
        deployment.setPlatformSwitches(R"({"outage":true})");
        const auto seed = deployment.entry("entry1").control.text();
        deployment.addEntry("entry5", {.arguments = {"--seeds=" + seed}});
        CHECK(eventually([&] { return servesEntry(deployment, "entry5", "new"); }));
        deployment.waitForUpstreams("entry5", 1);
        CHECK(completionText(deployment.call("entry5", completion("in the outage", 2)))
              == expectedText("in the outage", 2));
    }
    SECTION("A process frozen meanwhile catches up, and nobody goes back to its state")
    {
        deployment.entry("entry2").process->freeze();
        deployment.putObject("entries/lotka/new", entryText(1'000));
        const auto after = revision(deployment, "entry1");
        deployment.entry("entry2").process->thaw();
        CHECK(servedEverywhere("new"));
        for (const auto &entry : entries)
            CHECK(eventually([&] { return revision(deployment, entry) >= after; }));
        CHECK(servedEverywhere("new"));
    }
    SECTION("A process that wakes up answers the calls that came meanwhile")
    {
        deployment.waitForUpstreams("entry2", 1);
        deployment.entry("entry2").process->freeze();
        std::vector<RunningCall> calls;
        for (int call = 0; call < 8; ++call)
            calls.push_back(deployment.start("entry2", completion("while asleep", 2)));
        std::this_thread::sleep_for(std::chrono::seconds(5));
        deployment.entry("entry2").process->thaw();
        for (auto &call : calls)
            CHECK(completionText(call.answer.get()) == expectedText("while asleep", 2));
    }
    SECTION("A process frozen for a minute catches up with all that has changed meanwhile")
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
        CHECK(servedEverywhere("new"));
        CHECK(completionText(deployment.call("entry2", completion("awake", 2)))
              == expectedText("awake", 2));
    }
    SECTION("A process cut off from everybody goes on, with half of its parts of the limits")
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
            (void)deployment.call("entry1", completion("alone", 1));
            return ownedPerSecond();
        };
        REQUIRE(eventually([&] { return callAndRead() == 100; }));
        deployment.configureLink("entry1-store", R"({"mode":"cut"})");
        for (const auto *name : {"entry2", "entry3", "entry4"})
            deployment.entry(name).process->freeze();
        CHECK(eventually([&] { return callAndRead() == 50; }));
        CHECK(completionText(deployment.call("entry1", completion("alone", 2)))
              == expectedText("alone", 2));
        for (const auto *name : {"entry2", "entry3", "entry4"})
            deployment.entry(name).process->thaw();
        deployment.configureLink("entry1-store", R"({"mode":"pass"})");
        CHECK(eventually([&] { return callAndRead() == 100; }));
    }
    SECTION("Of two operators who change one version, one is told of the conflict")
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
    SECTION("An object that is not valid is refused with all its faults, and changes nothing")
    {
        HttpRequest request{"PUT", "/catalogue/entries%2Flotka%2Fbad", {}, R"({"kind":"x","a":1})"};
        request.headers.add("Authorization", std::string("Bearer ") + Deployment::operatorToken);
        request.headers.add("If-Version", "0");
        const auto refused = deployment.client.call(deployment.entry("entry1").operators, request);
        CHECK(refused.status == 400);
        for (const auto *fault :
             {"bad.kind: 'x' is none of", "bad.pool: is required", "bad.a: is not a known field"})
            CHECK(refused.body.find(fault) != std::string::npos);
    }
}

TEST_CASE("An owner stays within the rate it bought, whichever entry processes it calls")
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
    // The rate for the time, one burst, and the one request that a part of a burst is rounded up to
    // at each of the three processes.
    CHECK(static_cast<double>(admitted) <= rate * seconds.count() + burst + 3);
    CHECK(refused > 0);
}

TEST_CASE("An owner that calls one entry process only can use most of the rate it bought")
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
    // Counted from when the others have had time to lend.
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
    // Its fixed part would be a third.
    CHECK(static_cast<double>(admitted) >= 0.7 * rate * seconds.count());
}

TEST_CASE("An owner that may run one call at once can run it at any entry process")
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
    SECTION("and a second beside it is refused at once, everywhere")
    {
        RunningCall first;
        REQUIRE(eventually([&] {
            first = deployment.start("entry1", completion("first", 300));
            return eventually([&] {
                       const bool isOver = first.answer.wait_for(std::chrono::seconds(0))
                                           == std::future_status::ready;
                       return isOver
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

TEST_CASE("Orders to an engine with an old fencing number are refused by its agent")
{
    Deployment deployment;
    // This engine ignores the number.
    deployment.addAgent("agent1");
    const auto order = [&](int fencing) {
        HttpRequest request{"POST",
                            "/orders",
                            {},
                            R"({"fencing":)" + std::to_string(fencing) + R"(,"load":"m"})"};
        request.headers.add("Radishplank-Secret", "secret-of-the-cluster");
        return deployment.client.call(deployment.agentData("agent1"), request).status;
    };
    // Refused until the agent knows which number has been given out.
    REQUIRE(eventually([&] { return order(5) == 200; }));
    CHECK(order(4) == 409);
    CHECK(order(6) == 200);
    CHECK(integerField(deployment.engineStats("agent1"), "staleOrders", -1) == 0);
}
