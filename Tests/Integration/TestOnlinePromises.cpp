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
    // All four were answered while the items that held every slot were still far from their end.
    CHECK(deployment.metric("entry1", "radishplank_items_completed_total") == 0);

    CHECK(deployment.runControlTool({"--wait=true", "batch", "status", "lot"}).status == 0);
    CHECK(deployment.metric("entry1", "radishplank_items_preempted_total") > 0);
    const auto results = deployment.call("entry1", {"GET", "/v1/batches/lot/results", {}, ""});
    for (std::size_t i = 0; i < items; ++i)
        CHECK(results.body.find(expectedText("proof " + std::to_string(i), tokens))
              != std::string::npos);
    // Preempted items were resumed: made again from the start, they would cost far more.
    const auto generated = integerField(deployment.engineStats("agent1"), "tokens", 0)
                           + integerField(deployment.engineStats("agent2"), "tokens", 0);
    CHECK(generated <= static_cast<std::int64_t>(items * tokens + 4 * 3 + 4 * 2));
}

TEST_CASE("Past its bound, the online queue refuses at once and says when to come back")
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

TEST_CASE("A caller that goes away frees its slot")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 1});
    deployment.addEntry("entry1");
    deployment.putCatalogue(1);
    constexpr std::size_t tokens = 5'000;
    const auto checkFreed = [&] {
        CHECK(eventually([&] { return runningRequests(deployment, "agent1") == 0; }));
        CHECK(integerField(deployment.engineStats("agent1"), "executions", 0) == 1);
        // Generated to its end, the answer would have all of its tokens.
        CHECK(integerField(deployment.engineStats("agent1"), "tokens", 0)
              < static_cast<std::int64_t>(tokens));
    };
    SECTION("while it waits for a whole answer")
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

TEST_CASE("Not-run is said only where it is proved")
{
    Deployment deployment;
    deployment.addAgent("service1", {.pool = "booking", .kind = "service", .isBehindProxy = true});
    deployment.addEntry("entry1");
    deployment.putCatalogue(1);

    SECTION("An attempt stuck on the way is cancelled, and refused when it arrives late")
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
    SECTION("An attempt whose answer is stuck has run, and its fate is said to be unknown")
    {
        deployment.configureLink("service1-data", R"({"mode":"stall","direction":"backward"})");
        const auto lost = deployment.call("entry1", booking("answer stuck"));
        CHECK(lost.status == 502);
        CHECK(outcomeOf(lost) == "unknown");
        CHECK(executionsOf(deployment, "service1", "answer stuck") == 1);
    }
    SECTION("With the agent frozen, the fate is unknown; when it wakes, the call runs once at most")
    {
        deployment.agent("service1").process->freeze();
        const auto lost = deployment.call("entry1", booking("frozen"));
        // The agent may have been found silent before the call was sent.
        CHECK((outcomeOf(lost) == "unknown" || outcomeOf(lost) == "not-run"));
        deployment.agent("service1").process->thaw();
        deployment.waitForUpstreams("entry1", 1);
        const auto ran = executionsOf(deployment, "service1", "frozen");
        CHECK(ran <= (outcomeOf(lost) == "not-run" ? 0 : 1));
    }
    SECTION("An attempt for an agent's earlier incarnation is refused by the next one")
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
        SECTION("and one without the cluster's secret by any")
        {
            CHECK(deployment.client.call(data, {"POST", "/attempts/x", {}, "x"}).status == 401);
        }
    }
}

TEST_CASE("A call that must not be repeated runs once at most, whoever dies")
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

    SECTION("The entry process dies: the key finds the first attempt at another one")
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
    SECTION("The key is sent again while the first attempt runs, and after it has ended")
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
    SECTION("The agent dies: the fate is unknown, also to those who ask again")
    {
        const auto lost = deployment.start("entry1", booking("slot 4", "key-4"));
        REQUIRE(eventually([&] { return total("slot 4") == 1; }));
        deployment.agent(runningAt("slot 4")).process->kill();
        CHECK(outcomeOf(lost.answer.get()) == "unknown");
        CHECK(outcomeOf(deployment.call("entry2", booking("slot 4", "key-4"))) == "unknown");
        CHECK(total("slot 4") == 1);
    }
    SECTION("The upstream dies: the fate is unknown, and no other upstream runs the call")
    {
        const auto lost = deployment.start("entry1", booking("slot 5"));
        REQUIRE(eventually([&] { return total("slot 5") == 1; }));
        const auto *at = runningAt("slot 5");
        const auto *other = std::string(at) == "service1" ? "service2" : "service1";
        deployment.upstream(at).process->kill();
        CHECK(outcomeOf(lost.answer.get()) == "unknown");
        CHECK(executionsOf(deployment, other, "slot 5") == 0);
    }
    SECTION("The store is out: a call with a key is refused, because it could not be recorded")
    {
        deployment.setPlatformSwitches(R"({"outage":true})");
        const auto refused = deployment.call("entry1", booking("slot 6", "key-6"));
        CHECK(refused.status == 503);
        CHECK(outcomeOf(refused) == "not-run");
        CHECK_FALSE(refused.headers.value("Retry-After").empty());
        CHECK(total("slot 6") == 0);
    }
    SECTION("The store loses the answer to the record: the call runs once all the same")
    {
        deployment.setPlatformSwitches(R"({"loseAnswers":1})");
        CHECK(deployment.call("entry1", booking("slot 7", "key-7")).status == 200);
        CHECK(total("slot 7") == 1);
    }
}

TEST_CASE("Each caller gets its own whole answer while connections fall silent and agents die")
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
    SECTION("Open connections go silent for good, while new ones work")
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
    SECTION("An agent is killed, and the streams are resumed elsewhere")
    {
        deployment.agent("agent1").process->kill();
        checkAnswers();
        CHECK(deployment.metric("entry1", "radishplank_streams_resumed_total") > 0);
    }
    SECTION("An agent freezes, and the streams are resumed elsewhere")
    {
        deployment.agent("agent2").process->freeze();
        checkAnswers();
        deployment.agent("agent2").process->thaw();
    }
    SECTION("An engine is killed, and the streams are resumed elsewhere")
    {
        deployment.upstream("agent3").process->kill();
        checkAnswers();
    }
}

TEST_CASE("Streams of lost upstreams go on wherever there is room")
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
    std::size_t whole = 0;
    for (std::size_t i = 0; i < callers; ++i) {
        const auto text = streamedText(calls[i].answer.get().body);
        const auto expected = expectedText("caller " + std::to_string(i), tokens);
        CHECK(expected.starts_with(text));
        whole += text == expected ? 1 : 0;
    }
    CHECK(whole >= callers * 98 / 100);
    deployment.agent("agent2").process->thaw();
}

TEST_CASE("A request that crashes upstreams is stopped after two, and innocents are answered")
{
    Deployment deployment;
    const std::vector<std::string> agents{"agent1", "agent2", "agent3", "agent4"};
    for (const auto &name : agents)
        deployment.addAgent(name, {.slots = 8, .tokenIntervalMs = 20});
    deployment.addEntry("entry1");
    deployment.addEntry("entry2");
    deployment.putCatalogue(agents.size());
    std::vector<RunningCall> innocents;
    for (int i = 0; i < 12; ++i)
        innocents.push_back(
                deployment.start("entry1", completion("innocent " + std::to_string(i), 200)));
    REQUIRE(eventually([&] {
        std::int64_t total = 0;
        for (const auto &name : agents)
            total += runningRequests(deployment, name);
        return total == 12;
    }));
    const auto bad = completion("please crash-the-engine now", 5);
    const auto dead = [&] {
        return std::count_if(agents.begin(), agents.end(), [&](const std::string &name) {
            return !deployment.upstream(name).process->isRunning();
        });
    };
    const auto refused = deployment.call("entry1", bad);
    CHECK(refused.status == 422);
    CHECK(outcomeOf(refused) == "ran");
    CHECK_FALSE(refused.headers.value("Retry-After").empty());
    // An engine's connections end a moment before its process has.
    CHECK(eventually([&] { return dead() == 2; }));
    for (int i = 0; i < 12; ++i)
        CHECK(completionText(innocents[i].answer.get())
              == expectedText("innocent " + std::to_string(i), 200));

    // Its caller sends it again, to every entry process.
    for (const auto *entry : {"entry1", "entry2"}) {
        REQUIRE(eventually([&] {
            const auto state = deployment.state(deployment.entry(entry).operators);
            return state.at("crashes").as_array().size() >= 2;
        }));
        const auto again = deployment.call(entry, bad);
        CHECK(again.status == 422);
        CHECK(outcomeOf(again) == "not-run");
    }
    CHECK(dead() == 2);
}

TEST_CASE("A crashing request sent to two entry processes at once costs three upstreams at most")
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
        const auto dead = std::count_if(agents.begin(), agents.end(), [&](const auto &name) {
            return !deployment.upstream(name).process->isRunning();
        });
        // One for each process that did not know of the other's, and one that either may try.
        CHECK(dead <= 3);
    }
}

TEST_CASE("An upstream that leaves gets no new work and finishes what it has")
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

    const auto checkLeft = [&] {
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
    SECTION("told by its agent's SIGTERM")
    {
        deployment.agent("agent1").process->signal(SIGTERM);
        checkLeft();
        CHECK(deployment.agent("agent1").process->waitForEnd() == 0);
        CHECK(deployment.metric("entry1", "radishplank_retries_total") == 0);
    }
    SECTION("told by the platform's list")
    {
        deployment.setVmState("agent1", "leaving");
        checkLeft();
    }
    SECTION("told by silence")
    {
        deployment.agent("agent1").process->freeze();
        checkLeft();
        deployment.agent("agent1").process->thaw();
    }
    SECTION("cut off from control one way, after which it comes back")
    {
        const auto direction = GENERATE(as<std::string>(), "forward", "backward");
        deployment.configureLink("agent1-control",
                                 R"({"mode":"stall","direction":")" + direction + R"("})");
        checkLeft();
        deployment.configureLink("agent1-control", R"({"mode":"pass"})");
        deployment.waitForUpstreams("entry1", 2);
    }
}

TEST_CASE("Members that come and go again and again lose no call")
{
    Deployment deployment;
    for (const auto *name : {"agent1", "agent2", "agent3"})
        deployment.addAgent(name, {.slots = 4, .isBehindProxy = true});
    // With the others all away, a refusal would be the right answer.
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
    // One that was told to leave does not come back by itself; its VM is replaced.
    deployment.waitForUpstreams("entry1", 3);
    deployment.waitForUpstreams("entry2", 3);
}

TEST_CASE("A planned stop of an entry process cuts off no request")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 8, .tokenIntervalMs = 20});
    // Long enough for the late call on a busy machine.
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
    // The balancer has not noticed yet.
    const auto late = deployment.call("entry1", completion("late", 2));
    CHECK(completionText(late) == expectedText("late", 2));
    CHECK(late.headers.value("Connection") == "close");
    CHECK(completionText(whole.answer.get()) == expectedText("whole", 60));
    CHECK(streamedText(stream.answer.get().body) == expectedText("stream", 60));
    CHECK(process.waitForEnd() == 0);
}
