#include "Deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

std::int64_t executionsOf(Deployment &deployment, const std::string &service,
                          const std::string &body)
{
    return integerField(deployment.executions(service), body, 0);
}

std::string outcomeOf(const HttpResponse &answer)
{
    return answer.headers.value("Radishplank-Outcome");
}

} // namespace

TEST_CASE("Online calls never wait behind batch work")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.tokenIntervalMs = 25});
    deployment.addAgent("agent2", {.tokenIntervalMs = 25});
    deployment.addEntry("entry1");
    deployment.putCatalogue(2);
    constexpr std::size_t items = 8;
    constexpr std::size_t tokens = 200;
    REQUIRE(deployment
                    .call("entry1",
                          {"PUT", "/v1/batches/lot?entry=captions", {}, jobLines(items, tokens)})
                    .status
            == 201);
    REQUIRE(eventually([&] {
        return runningRequests(deployment, "agent1") + runningRequests(deployment, "agent2") == 4;
    }));

    std::vector<RunningCall> burst;
    for (int i = 0; i < 4; ++i)
        burst.push_back(deployment.start("entry1", completion("counter " + std::to_string(i), 3)));
    for (int i = 0; i < 4; ++i)
        CHECK(completionText(burst[i].answer.get())
              == expectedText("counter " + std::to_string(i), 3));
    // All four were answered before any of the items that filled every slot completed.
    CHECK(deployment.metric("entry1", "radishplank_items_completed_total") == 0);

    CHECK(deployment.runControlTool({"--wait=true", "batch", "status", "lot"}).status == 0);
    CHECK(deployment.metric("entry1", "radishplank_items_preempted_total") > 0);
    const auto results = deployment.call("entry1", {"GET", "/v1/batches/lot/results", {}, ""});
    for (std::size_t i = 0; i < items; ++i)
        CHECK(results.body.find(expectedText("proof " + std::to_string(i), tokens))
              != std::string::npos);
    // Preempted items were resumed; generating them again from the start would take far more
    // tokens.
    const auto generated = integerField(deployment.engineStats("agent1"), "tokens", 0)
                           + integerField(deployment.engineStats("agent2"), "tokens", 0);
    CHECK(generated <= static_cast<std::int64_t>(items * tokens + 4 * 3 + 4 * 2));
}

TEST_CASE("A full online queue refuses calls at once with Retry-After")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 1, .onlineQueue = 1, .tokenIntervalMs = 50});
    deployment.addEntry("entry1");
    deployment.putCatalogue(1);
    const auto first = deployment.start("entry1", completion("one", 100));
    REQUIRE(eventually([&] { return runningRequests(deployment, "agent1") == 1; }));
    const auto second = deployment.start("entry1", completion("two", 1));
    const auto agent = deployment.agent("agent1").operators;
    REQUIRE(eventually(
            [&] { return integerField(deployment.state(agent), "onlineQueued", 0) == 1; }));
    const auto refused = deployment.call("entry1", completion("three", 1));
    CHECK(refused.status == 429);
    CHECK(outcomeOf(refused) == "not-run");
    CHECK(refused.headers.value("Retry-After") == "1");
    CHECK(first.answer.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    CHECK(completionText(second.answer.get()) == expectedText("two", 1));
    CHECK(integerField(deployment.engineStats("agent1"), "executions", 0) == 2);
}

TEST_CASE("A caller that disconnects frees its slot")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 1});
    deployment.addEntry("entry1");
    deployment.putCatalogue(1);
    constexpr std::size_t tokens = 5'000;
    const auto checkFreed = [&] {
        CHECK(eventually([&] { return runningRequests(deployment, "agent1") == 0; }));
        CHECK(integerField(deployment.engineStats("agent1"), "executions", 0) == 1);
        // A response generated to its end has all of its tokens.
        CHECK(integerField(deployment.engineStats("agent1"), "tokens", 0)
              < static_cast<std::int64_t>(tokens));
    };
    SECTION("while it waits for a whole response")
    {
        auto request = completion("left alone", tokens);
        request.headers.add("Authorization", std::string("Bearer ") + Deployment::token);
        constexpr Milliseconds patience{500};
        CHECK(deployment.client.call(deployment.entry("entry1").callers, request, patience).status
              == 0);
        checkFreed();
    }
    SECTION("while it reads a stream")
    {
        const auto stream = deployment.start("entry1", completion("left alone", tokens, true));
        REQUIRE(eventually([&] { return *stream.bytes > 0; }));
        *stream.mustDisconnect = true;
        CHECK(stream.answer.get().status == 0);
        checkFreed();
    }
}

TEST_CASE("The outcome not-run is reported only when the call certainly did not run")
{
    Deployment deployment;
    deployment.addAgent("service1", {.pool = "booking", .kind = "service", .isBehindProxy = true});
    deployment.addEntry("entry1");
    deployment.putCatalogue(1);

    SECTION("An attempt delayed on its way to the agent is cancelled, and refused when it arrives "
            "late")
    {
        deployment.configureLink("service1-data", R"({"mode":"stall","direction":"forward"})");
        const auto refused = deployment.call("entry1", booking("stuck"));
        CHECK(refused.status == 503);
        CHECK(outcomeOf(refused) == "not-run");
        deployment.configureLink("service1-data", R"({"mode":"pass"})");
        const auto agent = deployment.agent("service1").operators;
        REQUIRE(eventually([&] {
            const auto metrics = deployment.client.call(agent, {"GET", "/metrics", {}, ""}).body;
            return metrics.find("attempts_refused_total 1\n") != std::string::npos;
        }));
        CHECK(executionsOf(deployment, "service1", "stuck") == 0);
    }
    SECTION("An attempt whose response is delayed has run, and its outcome is reported as unknown")
    {
        deployment.configureLink("service1-data", R"({"mode":"stall","direction":"backward"})");
        const auto lost = deployment.call("entry1", booking("answer stuck"));
        CHECK(lost.status == 502);
        CHECK(outcomeOf(lost) == "unknown");
        CHECK(executionsOf(deployment, "service1", "answer stuck") == 1);
    }
    SECTION("With the agent frozen, the outcome is unknown; after it resumes, the call runs at "
            "most once")
    {
        deployment.agent("service1").process->freeze();
        const auto lost = deployment.call("entry1", booking("frozen"));
        // The agent may already count as unreachable when the call is sent.
        CHECK((outcomeOf(lost) == "unknown" || outcomeOf(lost) == "not-run"));
        deployment.agent("service1").process->thaw();
        deployment.waitForUpstreams("entry1", 1);
        const auto ran = executionsOf(deployment, "service1", "frozen");
        CHECK(ran <= (outcomeOf(lost) == "not-run" ? 0 : 1));
    }
    SECTION("An attempt for an earlier incarnation of an agent is refused")
    {
        deployment.restartAgent("service1");
        HttpRequest late{"POST", "/attempts/late", {}, "late"};
        late.headers.add("Radishplank-Secret", "secret-of-the-cluster");
        late.headers.add("Radishplank-Incarnation", "agent-of-before");
        late.headers.add("Radishplank-Kind", "service");
        late.headers.add("Radishplank-Method", "POST");
        late.headers.add("Radishplank-Target", "/book");
        late.headers.add("Radishplank-Deadline-Ms", "5000");
        const auto data = deployment.agentData("service1");
        CHECK(deployment.client.call(data, late).status == 409);
        CHECK(executionsOf(deployment, "service1", "late") == 0);
        SECTION("and so is an attempt without the secret of the cluster")
        {
            CHECK(deployment.client.call(data, {"POST", "/attempts/x", {}, "x"}).status == 401);
        }
    }
}

TEST_CASE("A non-idempotent call runs at most once, whichever process dies")
{
    Deployment deployment;
    deployment.addAgent("service1", {.pool = "booking", .kind = "service", .serviceTimeMs = 1'500});
    deployment.addAgent("service2", {.pool = "booking", .kind = "service", .serviceTimeMs = 1'500});
    deployment.addEntry("entry1");
    deployment.addEntry("entry2");
    deployment.putCatalogue(2);
    const auto total = [&](const std::string &body) {
        return executionsOf(deployment, "service1", body)
               + executionsOf(deployment, "service2", body);
    };
    const auto runningAt = [&](const std::string &body) {
        return executionsOf(deployment, "service1", body) == 1 ? "service1" : "service2";
    };

    SECTION("The entry process dies: another one finds the first attempt by its idempotency key")
    {
        const auto lost = deployment.start("entry1", booking("slot 1", "key-1"));
        REQUIRE(eventually([&] { return total("slot 1") == 1; }));
        deployment.entry("entry1").process->kill();
        CHECK(lost.answer.get().status == 0);
        const auto again = deployment.call("entry2", booking("slot 1", "key-1"));
        CHECK(again.status == 200);
        CHECK(again.body.find("slot 1") != std::string::npos);
        CHECK(total("slot 1") == 1);
    }
    SECTION("The same key is sent again while the first attempt runs, and after it has ended")
    {
        const auto first = deployment.start("entry1", booking("slot 2", "key-2"));
        REQUIRE(eventually([&] { return total("slot 2") == 1; }));
        CHECK(deployment.call("entry2", booking("slot 2", "key-2")).status == 200);
        CHECK(first.answer.get().status == 200);
        CHECK(deployment.call("entry2", booking("slot 2", "key-2")).status == 200);
        CHECK(total("slot 2") == 1);
        SECTION("and with another body it is refused")
        {
            CHECK(deployment.call("entry2", booking("slot 3", "key-2")).status == 422);
        }
    }
    SECTION("The agent dies: the outcome is unknown, also when the call is sent again")
    {
        const auto lost = deployment.start("entry1", booking("slot 4", "key-4"));
        REQUIRE(eventually([&] { return total("slot 4") == 1; }));
        deployment.agent(runningAt("slot 4")).process->kill();
        CHECK(outcomeOf(lost.answer.get()) == "unknown");
        CHECK(outcomeOf(deployment.call("entry2", booking("slot 4", "key-4"))) == "unknown");
        CHECK(total("slot 4") == 1);
    }
    SECTION("The upstream dies: the outcome is unknown, and no other upstream runs the call")
    {
        const auto lost = deployment.start("entry1", booking("slot 5"));
        REQUIRE(eventually([&] { return total("slot 5") == 1; }));
        const auto *at = runningAt("slot 5");
        const auto *other = std::string(at) == "service1" ? "service2" : "service1";
        deployment.upstream(at).process->kill();
        CHECK(outcomeOf(lost.answer.get()) == "unknown");
        CHECK(executionsOf(deployment, other, "slot 5") == 0);
    }
    SECTION("The store is unavailable: a call with a key is refused because it cannot be recorded")
    {
        deployment.setPlatformSwitches(R"({"outage":true})");
        const auto refused = deployment.call("entry1", booking("slot 6", "key-6"));
        CHECK(refused.status == 503);
        CHECK(outcomeOf(refused) == "not-run");
        CHECK_FALSE(refused.headers.value("Retry-After").empty());
        CHECK(total("slot 6") == 0);
    }
    SECTION("The store response to recording the key is lost: the call still runs once")
    {
        deployment.setPlatformSwitches(R"({"loseAnswers":1})");
        CHECK(deployment.call("entry1", booking("slot 7", "key-7")).status == 200);
        CHECK(total("slot 7") == 1);
    }
}

TEST_CASE("Each caller gets its own whole response while connections stall and agents die")
{
    Deployment deployment;
    for (const auto *name : {"agent1", "agent2", "agent3"})
        deployment.addAgent(name, {.slots = 8, .isBehindProxy = true});
    deployment.addEntry("entry1");
    deployment.putCatalogue(3);
    constexpr std::size_t callers = 18;
    constexpr std::size_t tokens = 400;
    std::vector<RunningCall> calls;
    for (std::size_t i = 0; i < callers; ++i)
        calls.push_back(deployment.start("entry1",
                                         completion("caller " + std::to_string(i), tokens, true)));
    REQUIRE(eventually([&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const RunningCall &call) { return *call.bytes > 0; });
    }));

    const auto checkAnswers = [&] {
        for (std::size_t i = 0; i < callers; ++i) {
            const auto answer = calls[i].answer.get();
            CHECK(streamedText(answer.body) == expectedText("caller " + std::to_string(i), tokens));
        }
    };
    SECTION("Open connections stall permanently while new ones work")
    {
        for (const auto *name : {"agent1-data", "agent2-data", "agent3-data"})
            deployment.configureLink(name, R"({"mode":"stall-open"})");
        checkAnswers();
        CHECK(deployment.metric("entry1", "radishplank_reattached_total") >= callers);
    }
    SECTION("Open connections are cut")
    {
        deployment.configureLink("agent1-data", R"({"mode":"cut"})");
        deployment.configureLink("agent1-data", R"({"mode":"pass"})");
        checkAnswers();
    }
    SECTION("An agent is killed, and its streams resume on other upstreams")
    {
        deployment.agent("agent1").process->kill();
        checkAnswers();
        CHECK(deployment.metric("entry1", "radishplank_streams_resumed_total") > 0);
    }
    SECTION("An agent freezes, and its streams resume on other upstreams")
    {
        deployment.agent("agent2").process->freeze();
        checkAnswers();
        deployment.agent("agent2").process->thaw();
    }
    SECTION("An engine is killed, and its streams resume on other upstreams")
    {
        deployment.upstream("agent3").process->kill();
        checkAnswers();
    }
}

TEST_CASE("Streams of lost upstreams resume on any upstream with free capacity")
{
    Deployment deployment;
    constexpr std::size_t callers = 200;
    for (const auto *name : {"agent1", "agent2", "agent3"})
        deployment.addAgent(name, {.slots = callers, .onlineQueue = callers});
    deployment.addEntry("entry1");
    deployment.putCatalogue(3);
    constexpr std::size_t tokens = 400;
    std::vector<RunningCall> calls;
    for (std::size_t i = 0; i < callers; ++i)
        calls.push_back(deployment.start("entry1",
                                         completion("caller " + std::to_string(i), tokens, true)));
    REQUIRE(eventually([&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const RunningCall &call) { return *call.bytes > 0; });
    }));
    deployment.agent("agent1").process->kill();
    deployment.agent("agent2").process->freeze();
    std::size_t wholeResponses = 0;
    for (std::size_t i = 0; i < callers; ++i) {
        const auto text = streamedText(calls[i].answer.get().body);
        const auto expected = expectedText("caller " + std::to_string(i), tokens);
        CHECK(expected.starts_with(text));
        wholeResponses += text == expected ? 1 : 0;
    }
    CHECK(wholeResponses >= callers * 98 / 100);
    deployment.agent("agent2").process->thaw();
}

TEST_CASE("A request that crashes upstreams is refused after two crashes, and other calls complete")
{
    Deployment deployment;
    const std::vector<std::string> agents{"agent1", "agent2", "agent3", "agent4"};
    for (const auto &name : agents)
        deployment.addAgent(name, {.slots = 8, .tokenIntervalMs = 20});
    deployment.addEntry("entry1");
    deployment.addEntry("entry2");
    deployment.putCatalogue(agents.size());
    std::vector<RunningCall> otherCalls;
    for (int i = 0; i < 12; ++i)
        otherCalls.push_back(
                deployment.start("entry1", completion("other " + std::to_string(i), 200)));
    REQUIRE(eventually([&] {
        std::int64_t total = 0;
        for (const auto &name : agents)
            total += runningRequests(deployment, name);
        return total == 12;
    }));
    const auto bad = completion("please crash-the-engine now", 5);
    const auto crashedUpstreams = [&] {
        return std::count_if(agents.begin(), agents.end(), [&](const std::string &name) {
            return !deployment.upstream(name).process->isRunning();
        });
    };
    const auto refused = deployment.call("entry1", bad);
    CHECK(refused.status == 422);
    CHECK(outcomeOf(refused) == "ran");
    CHECK_FALSE(refused.headers.value("Retry-After").empty());
    // The connections of an engine close shortly before its process has ended.
    CHECK(eventually([&] { return crashedUpstreams() == 2; }));
    for (int i = 0; i < 12; ++i)
        CHECK(completionText(otherCalls[i].answer.get())
              == expectedText("other " + std::to_string(i), 200));

    // The caller sends the request again to every entry process.
    for (const auto *entry : {"entry1", "entry2"}) {
        REQUIRE(eventually([&] {
            const auto state = deployment.state(deployment.entry(entry).operators);
            return state.at("crashes").as_array().size() >= 2;
        }));
        const auto again = deployment.call(entry, bad);
        CHECK(again.status == 422);
        CHECK(outcomeOf(again) == "not-run");
    }
    CHECK(crashedUpstreams() == 2);
}

TEST_CASE("A crashing request sent to two entry processes at once crashes at most three upstreams")
{
    Deployment deployment;
    const std::vector<std::string> agents{"agent1", "agent2", "agent3", "agent4", "agent5"};
    for (const auto &name : agents)
        deployment.addAgent(name);
    deployment.addEntry("entry1");
    deployment.addEntry("entry2");
    for (int round = 0; round < 3; ++round) {
        for (const auto &name : agents) {
            if (!deployment.upstream(name).process->isRunning())
                deployment.restartUpstream(name);
        }
        if (round == 0)
            deployment.putCatalogue(agents.size());
        for (const auto *entry : {"entry1", "entry2"})
            deployment.waitForUpstreams(entry, agents.size());
        const auto bad = completion("crash-the-engine in round " + std::to_string(round), 5);
        const auto first = deployment.start("entry1", bad);
        const auto second = deployment.start("entry2", bad);
        CHECK(first.answer.get().status == 422);
        CHECK(second.answer.get().status == 422);
        const auto crashedUpstreams
                = std::count_if(agents.begin(), agents.end(), [&](const auto &name) {
                      return !deployment.upstream(name).process->isRunning();
                  });
        // Each process may crash one upstream before it learns of the other crash, and one of them
        // may try one more.
        CHECK(crashedUpstreams <= 3);
    }
}

TEST_CASE("A draining upstream gets no new work and finishes its running calls")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 4, .tokenIntervalMs = 20, .isBehindProxy = true});
    deployment.addAgent("agent2", {.slots = 4, .tokenIntervalMs = 20});
    deployment.addEntry("entry1");
    deployment.putCatalogue(2);
    const auto executions = [&](const std::string &name) {
        return integerField(deployment.engineStats(name), "executions", 0);
    };
    std::vector<RunningCall> streams;
    for (int i = 0; i < 6; ++i)
        streams.push_back(
                deployment.start("entry1", completion("stay " + std::to_string(i), 150, true)));
    REQUIRE(eventually([&] {
        return runningRequests(deployment, "agent1") + runningRequests(deployment, "agent2") == 6;
    }));
    REQUIRE(runningRequests(deployment, "agent1") > 0);

    const auto checkDrained = [&] {
        deployment.waitForUpstreams("entry1", 1);
        const auto before = executions("agent1");
        for (int i = 0; i < 10; ++i)
            CHECK(deployment.call("entry1", completion("new " + std::to_string(i), 1)).status
                  == 200);
        CHECK(executions("agent1") == before);
        for (int i = 0; i < 6; ++i)
            CHECK(streamedText(streams[i].answer.get().body)
                  == expectedText("stay " + std::to_string(i), 150));
    };
    SECTION("when its agent receives SIGTERM")
    {
        deployment.agent("agent1").process->signal(SIGTERM);
        checkDrained();
        CHECK(deployment.agent("agent1").process->waitForEnd() == 0);
        CHECK(deployment.metric("entry1", "radishplank_retries_total") == 0);
    }
    SECTION("when the platform lists its VM as leaving")
    {
        deployment.setVmState("agent1", "leaving");
        checkDrained();
    }
    SECTION("when its agent sends no heartbeats")
    {
        deployment.agent("agent1").process->freeze();
        checkDrained();
        deployment.agent("agent1").process->thaw();
    }
    SECTION("when its control link fails in one direction and recovers")
    {
        const auto direction = GENERATE(as<std::string>(), "forward", "backward");
        deployment.configureLink("agent1-control",
                                 R"({"mode":"stall","direction":")" + direction + R"("})");
        checkDrained();
        deployment.configureLink("agent1-control", R"({"mode":"pass"})");
        deployment.waitForUpstreams("entry1", 2);
    }
}

TEST_CASE("No call is lost while agents repeatedly leave and return")
{
    Deployment deployment;
    for (const auto *name : {"agent1", "agent2", "agent3"})
        deployment.addAgent(name, {.slots = 4, .isBehindProxy = true});
    // Without an agent that stays reachable, refusing a call would be correct.
    deployment.addAgent("steady", {.slots = 8});
    deployment.addEntry("entry1");
    deployment.addEntry("entry2");
    deployment.putCatalogue(4);
    constexpr int rounds = 6;
    constexpr int callsOfRound = 24;
    for (int round = 0; round < rounds; ++round) {
        deployment.configureLink("agent1-control", R"({"mode":"stall"})");
        deployment.agent("agent2").process->freeze();
        std::vector<std::pair<RunningCall, std::string>> calls;
        for (int i = 0; i < callsOfRound; ++i) {
            const auto prompt = "call " + std::to_string(round * callsOfRound + i);
            const auto *entry = i % 2 == 0 ? "entry1" : "entry2";
            calls.emplace_back(deployment.start(entry, completion(prompt, 10)), prompt);
            std::this_thread::sleep_for(std::chrono::milliseconds(20 * (round % 3 + 1)));
        }
        deployment.agent("agent2").process->thaw();
        deployment.configureLink("agent1-control", R"({"mode":"pass"})");
        deployment.setVmState("agent3", round % 2 == 0 ? "live" : "leaving");
        for (const auto &[call, prompt] : calls)
            CHECK(completionText(call.answer.get()) == expectedText(prompt, 10));
    }
    // An agent whose VM was listed as leaving does not return; the platform replaces its VM.
    deployment.waitForUpstreams("entry1", 3);
    deployment.waitForUpstreams("entry2", 3);
}

TEST_CASE("A graceful shutdown of an entry process interrupts no request")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 8, .tokenIntervalMs = 20});
    // Long enough for the late call to arrive on a busy machine.
    deployment.addEntry("entry1", {.arguments = {"--lame-duck=4000"}});
    deployment.putCatalogue(1);
    const auto whole = deployment.start("entry1", completion("whole", 60));
    const auto stream = deployment.start("entry1", completion("stream", 60, true));
    REQUIRE(eventually([&] { return runningRequests(deployment, "agent1") == 2; }));
    auto &process = *deployment.entry("entry1").process;
    process.signal(SIGTERM);
    REQUIRE(eventually([&] {
        return deployment.client
                       .call(deployment.entry("entry1").operators, {"GET", "/readyz", {}, ""})
                       .status
               == 503;
    }));
    // The load balancer still sends calls until it has seen the failed readiness check.
    const auto late = deployment.call("entry1", completion("late", 2));
    CHECK(completionText(late) == expectedText("late", 2));
    CHECK(late.headers.value("Connection") == "close");
    CHECK(completionText(whole.answer.get()) == expectedText("whole", 60));
    CHECK(streamedText(stream.answer.get().body) == expectedText("stream", 60));
    CHECK(process.waitForEnd() == 0);
}

TEST_CASE("A stopping entry process refuses a call that would outlast its drain timeout")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 8, .tokenIntervalMs = 50});
    deployment.addEntry("entry1", {.arguments = {"--lame-duck=6000", "--drain-timeout=1000"}});
    deployment.putCatalogue(1);
    auto &process = *deployment.entry("entry1").process;
    process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(3'500));
    // Takes 5 s.
    auto request = completion("late", 100);
    request.headers.add("Radishplank-Deadline-Ms", "10000");
    const auto late = deployment.call("entry1", request);
    CHECK(late.status == 503);
    CHECK(late.headers.value("Radishplank-Outcome") == "not-run");
    request = completion("short", 2);
    request.headers.add("Radishplank-Deadline-Ms", "1000");
    CHECK(completionText(deployment.call("entry1", request)) == expectedText("short", 2));
    CHECK(process.waitForEnd() == 0);
}
