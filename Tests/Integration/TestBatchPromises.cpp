#include "Deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <sstream>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

struct ItemResult
{
    int count = 0;
    std::string status;
    std::string text;
};

/// Results by item identifier.
using ItemResults = std::map<std::string, ItemResult>;

ItemResults readResults(Deployment &deployment, const std::string &entry, const std::string &job)
{
    const auto answer = deployment.call(entry, {"GET", "/v1/batches/" + job + "/results", {}, ""});
    REQUIRE(answer.status == 200);
    ItemResults results;
    std::istringstream lines(answer.body);
    std::string line;
    while (std::getline(lines, line)) {
        const auto fields = boost::json::parse(line).as_object();
        auto &result = results[textField(fields, "id").value()];
        result.count += 1;
        result.status = textField(fields, "status").value();
        if (const auto *response = fields.if_contains("response"))
            result.text = textField(response->as_object(), "text")
                                  .value_or(textField(response->as_object(), "body").value_or(""));
    }
    return results;
}

/// Checks that every item of jobLines() has completed exactly once, with the text of its own
/// prompt.
void checkEachCompletedOnce(const ItemResults &results, std::size_t items, std::size_t tokens)
{
    REQUIRE(results.size() == items);
    for (std::size_t i = 0; i < items; ++i) {
        const auto &result = results.at("item" + std::to_string(i));
        REQUIRE(result.count == 1);
        REQUIRE(result.status == "completed");
        REQUIRE(result.text == expectedText("proof " + std::to_string(i), tokens));
    }
}

boost::json::object status(Deployment &deployment, const std::string &entry, const std::string &job)
{
    const auto answer = deployment.call(entry, {"GET", "/v1/batches/" + job, {}, ""});
    const auto parsed = parseJsonObject(answer.body);
    return parsed.isError() ? boost::json::object() : parsed.value();
}

void waitForState(Deployment &deployment, const std::string &entry, const std::string &job,
                  const std::string &state)
{
    REQUIRE(eventually([&] {
        return textField(status(deployment, entry, job), "state").value_or("") == state;
    }));
}

HttpRequest submission(const std::string &job, const std::string &lines,
                       const std::string &entryName = "captions")
{
    return {"PUT", "/v1/batches/" + job + "?entry=" + entryName, {}, lines};
}

constexpr std::size_t itemCount = 500;
constexpr std::size_t tokensPerItem = 4;

/// Three agents and two entry processes. The first entry process is in the middle of a job.
class RunningJob
{
public:
    explicit RunningJob(const std::string &lease = "3000")
    {
        for (const auto *name : {"agent1", "agent2", "agent3"})
            deployment.addAgent(name, {.slots = 4, .tokenIntervalMs = 25});
        const EntryOptions options{.isStoreBehindProxy = true, .arguments = {"--lease=" + lease}};
        deployment.addEntry("entry1", options);
        deployment.addEntry("entry2", options);
        deployment.putCatalogue(3);
        // Stays frozen until the first process has claimed the shard; after that it can take over
        // the shard at once.
        deployment.entry("entry2").process->freeze();
        REQUIRE(deployment.call("entry1", submission("lot", lines)).status == 201);
        REQUIRE(eventually([&] {
            return integerField(status(deployment, "entry1", "lot"), "completed", 0) > 0;
        }));
        deployment.entry("entry2").process->thaw();
        REQUIRE(integerField(status(deployment, "entry1", "lot"), "waiting", 0) > 0);
    }

    void finish()
    {
        waitForState(deployment, "entry2", "lot", "completed");
        checkEachCompletedOnce(readResults(deployment, "entry2", "lot"), itemCount, tokensPerItem);
    }

    Deployment deployment;
    std::string lines = jobLines(itemCount, tokensPerItem);
};

} // namespace

TEST_CASE("Each accepted item completes exactly once")
{
    RunningJob job;
    auto &deployment = job.deployment;

    SECTION("when the entry process that has claimed its shard is killed")
    {
        deployment.entry("entry1").process->kill();
        job.finish();
    }
    SECTION("when that process freezes until its lease has expired and then resumes")
    {
        deployment.entry("entry1").process->freeze();
        REQUIRE(eventually([&] {
            return deployment.metric("entry2", "radishplank_shards_claimed_total") > 0;
        }));
        deployment.entry("entry1").process->thaw();
        job.finish();
        CHECK(eventually(
                [&] { return deployment.metric("entry1", "radishplank_shards_lost_total") == 1; }));
    }
    SECTION("when that process cannot reach the store until its lease has expired")
    {
        deployment.configureLink("entry1-store", R"({"mode":"stall"})");
        REQUIRE(eventually([&] {
            return deployment.metric("entry2", "radishplank_shards_claimed_total") > 0;
        }));
        deployment.configureLink("entry1-store", R"({"mode":"cut"})");
        deployment.configureLink("entry1-store", R"({"mode":"pass"})");
        job.finish();
    }
    SECTION("when an agent and an engine are killed")
    {
        deployment.agent("agent1").process->kill();
        deployment.upstream("agent2").process->kill();
        deployment.restartUpstream("agent2");
        job.finish();
    }
    SECTION("when the store is unavailable until the lease has expired, and slow afterwards")
    {
        deployment.setPlatformSwitches(R"({"outage":true})");
        std::this_thread::sleep_for(std::chrono::seconds(5));
        deployment.setPlatformSwitches(R"({"outage":false,"delayMs":300})");
        job.finish();
    }
    SECTION("when responses of the store are lost after the writes took effect")
    {
        deployment.setPlatformSwitches(R"({"loseAnswers":6})");
        job.finish();
    }
    SECTION("when its job is submitted again to another entry process")
    {
        CHECK(deployment.call("entry2", submission("lot", job.lines)).status == 200);
        job.finish();
    }
}

TEST_CASE("Each accepted item completes exactly once under two concurrent failures")
{
    // Each seed selects a fixed pair of failures.
    const auto seed = GENERATE(1, 2, 3, 4, 5, 6);
    RunningJob job;
    auto &deployment = job.deployment;
    RandomEngine random(static_cast<std::uint64_t>(seed));
    const std::vector<std::pair<std::string, std::function<void()>>> failures{
            {"entry process killed", [&] { deployment.entry("entry1").process->kill(); }},
            {"entry process frozen for a while",
             [&] {
                 deployment.entry("entry1").process->freeze();
                 std::this_thread::sleep_for(std::chrono::seconds(4));
                 deployment.entry("entry1").process->thaw();
             }},
            {"agent killed", [&] { deployment.agent("agent1").process->kill(); }},
            {"engine killed",
             [&] {
                 deployment.upstream("agent2").process->kill();
                 deployment.restartUpstream("agent2");
             }},
            {"store unavailable",
             [&] {
                 deployment.setPlatformSwitches(R"({"outage":true})");
                 std::this_thread::sleep_for(std::chrono::seconds(4));
                 deployment.setPlatformSwitches(R"({"outage":false})");
             }},
            {"store responses lost",
             [&] { deployment.setPlatformSwitches(R"({"loseAnswers":5})"); }},
            {"job submitted again",
             [&] { (void)deployment.call("entry2", submission("lot", job.lines)); }}};
    for (int i = 0; i < 2; ++i) {
        const auto &[name, fail] = failures[randomBelow(random, failures.size())];
        UNSCOPED_INFO("seed " << seed << ": " << name);
        fail();
    }
    job.finish();
}

TEST_CASE("An entry process that shuts down releases its shards")
{
    // The lease is far longer than the test waits, so the other process can only claim shards that
    // were released.
    RunningJob job("600000");
    job.deployment.entry("entry1").process->signal(SIGTERM);
    job.finish();
    CHECK(job.deployment.entry("entry1").process->waitForEnd() == 0);
}

TEST_CASE("A job is accepted only when it is durable")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 8});
    deployment.addEntry("entry1");
    deployment.addEntry("entry2");
    deployment.putCatalogue(1);
    const auto job = submission("lot", jobLines(40, 1));

    SECTION("With the store unavailable, it is refused and does not exist")
    {
        deployment.setPlatformSwitches(R"({"outage":true})");
        const auto refused = deployment.call("entry1", job);
        CHECK(refused.status == 503);
        CHECK_FALSE(refused.headers.value("Retry-After").empty());
        deployment.setPlatformSwitches(R"({"outage":false})");
        CHECK(deployment.call("entry2", {"GET", "/v1/batches/lot", {}, ""}).status == 404);
        SECTION("and when submitted again, it is accepted and completes")
        {
            CHECK(deployment.call("entry2", job).status == 201);
            waitForState(deployment, "entry2", "lot", "completed");
        }
    }
    SECTION("With responses lost after the writes, it is still accepted")
    {
        deployment.setPlatformSwitches(R"({"loseAnswers":3})");
        CHECK(deployment.call("entry1", job).status == 201);
        waitForState(deployment, "entry2", "lot", "completed");
        checkEachCompletedOnce(readResults(deployment, "entry2", "lot"), 40, 1);
    }
    SECTION("Submitted to both entry processes at once, it runs as one job")
    {
        const auto first = deployment.start("entry1", job);
        const auto second = deployment.start("entry2", job);
        CHECK(first.answer.get().status / 100 == 2);
        CHECK(second.answer.get().status / 100 == 2);
        waitForState(deployment, "entry1", "lot", "completed");
        checkEachCompletedOnce(readResults(deployment, "entry1", "lot"), 40, 1);
    }
    SECTION("The entry process dies right after it has accepted the job")
    {
        REQUIRE(deployment.call("entry1", job).status == 201);
        deployment.entry("entry1").process->kill();
        waitForState(deployment, "entry2", "lot", "completed");
        checkEachCompletedOnce(readResults(deployment, "entry2", "lot"), 40, 1);
    }
}

TEST_CASE("Invalid items fail, and items that crash upstreams do not block others")
{
    Deployment deployment;
    for (const auto *name : {"agent1", "agent2", "agent3"})
        deployment.addAgent(name, {.slots = 4});
    deployment.addEntry("entry1");
    deployment.putCatalogue(3);
    auto lines = jobLines(30, 3);
    lines += R"({"id":"wrong","body":{"prompt":"x","max_tokens":-1}})"
             "\n";
    lines += R"({"id":"crash","body":{"prompt":"crash-the-engine","max_tokens":2}})"
             "\n";
    REQUIRE(deployment.call("entry1", submission("lot", lines)).status == 201);
    const std::vector<std::string> names{"agent1", "agent2", "agent3"};
    int crashes = 0;
    const auto restartCrashed = [&] {
        for (const auto &name : names) {
            if (deployment.upstream(name).process->isRunning())
                continue;
            crashes += 1;
            deployment.restartUpstream(name);
        }
    };
    REQUIRE(eventually([&] {
        restartCrashed();
        return readResults(deployment, "entry1", "lot").size() == 31;
    }));
    auto results = readResults(deployment, "entry1", "lot");
    CHECK(results.at("wrong").status == "failed");
    results.erase("wrong");
    checkEachCompletedOnce(results, 30, 3);

    // An item that crashes its upstreams is retried at a limited rate until its job is cancelled.
    crashes = 0;
    const auto watchStart = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - watchStart < std::chrono::seconds(8))
        restartCrashed();
    CHECK(crashes <= 8);
    CHECK(textField(status(deployment, "entry1", "lot"), "state").value_or("") == "accepted");
    REQUIRE(deployment.call("entry1", {"DELETE", "/v1/batches/lot", {}, ""}).status == 200);
    waitForState(deployment, "entry1", "lot", "cancelled");
}

TEST_CASE("A valid item completes even if upstreams repeatedly crash while running it")
{
    constexpr std::size_t tokens = 200;
    Deployment deployment;
    const std::vector<std::string> agents{"agent1", "agent2", "agent3"};
    for (const auto &name : agents)
        deployment.addAgent(name, {.slots = 4, .tokenIntervalMs = 20});
    deployment.addEntry("entry1");
    deployment.putCatalogue(agents.size());
    REQUIRE(deployment.call("entry1", submission("lot", jobLines(1, tokens))).status == 201);
    constexpr int crashes = 5;
    for (int crash = 0; crash < crashes; ++crash) {
        std::string busyAgent;
        REQUIRE(eventually([&] {
            for (const auto &name : agents) {
                if (runningRequests(deployment, name) > 0)
                    busyAgent = name;
            }
            return !busyAgent.empty();
        }));
        deployment.upstream(busyAgent).process->kill();
        deployment.restartUpstream(busyAgent);
    }
    waitForState(deployment, "entry1", "lot", "completed");
    checkEachCompletedOnce(readResults(deployment, "entry1", "lot"), 1, tokens);
}

TEST_CASE("Non-idempotent items run at most once, and unknown outcomes are reported")
{
    Deployment deployment;
    deployment.addAgent("service1",
                        {.pool = "booking", .kind = "service", .slots = 4, .serviceTimeMs = 100});
    deployment.addEntry("entry1", {.arguments = {"--lease=2000"}});
    deployment.addEntry("entry2", {.arguments = {"--lease=2000"}});
    deployment.putCatalogue(1);
    std::string lines;
    constexpr std::size_t bookings = 60;
    for (std::size_t i = 0; i < bookings; ++i)
        lines += R"({"id":"b)" + std::to_string(i) + R"(","path":"/book","body":"confirm )"
                 + std::to_string(i) + "\"}\n";
    REQUIRE(deployment.call("entry1", submission("morning", lines, "booking")).status == 201);
    REQUIRE(eventually([&] { return deployment.executions("service1").size() > 8; }));
    const bool isClaimedByFirst
            = deployment.metric("entry1", "radishplank_shards_claimed_total") > 0;
    const std::string holder = isClaimedByFirst ? "entry1" : "entry2";
    const std::string other = isClaimedByFirst ? "entry2" : "entry1";
    deployment.entry(holder).process->kill();
    waitForState(deployment, other, "morning", "completed");
    const auto results = readResults(deployment, other, "morning");
    const auto executions = deployment.executions("service1");
    CHECK(results.size() == bookings);
    std::size_t unknown = 0;
    for (std::size_t i = 0; i < bookings; ++i) {
        const auto &result = results.at("b" + std::to_string(i));
        const auto executionCount = integerField(executions, "confirm " + std::to_string(i), 0);
        CHECK(result.count == 1);
        CHECK(executionCount <= 1);
        if (result.status == "completed")
            CHECK(executionCount == 1);
        else
            CHECK(result.status == "unknown");
        unknown += result.status == "unknown" ? 1 : 0;
    }
    CHECK(unknown > 0);
    CHECK(unknown < bookings);
}

TEST_CASE("A cancelled batch stops, and its results so far stay readable")
{
    RunningJob job;
    auto &deployment = job.deployment;
    const auto enginesIdle = [&] {
        for (const auto *name : {"agent1", "agent2", "agent3"}) {
            const auto stats = deployment.engineStats(name);
            if (integerField(stats, "running", 0) + integerField(stats, "waiting", 0) > 0)
                return false;
        }
        return true;
    };
    const auto cancel = [&](const std::string &entry) {
        return deployment.call(entry, {"DELETE", "/v1/batches/lot", {}, ""});
    };
    const auto checkStopped = [&] {
        const auto before = readResults(deployment, "entry2", "lot");
        CHECK(before.size() < itemCount);
        CHECK_FALSE(before.empty());
        CHECK(eventually(enginesIdle));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        CHECK(enginesIdle());
        CHECK(readResults(deployment, "entry2", "lot").size() == before.size());
    };
    SECTION("when cancelled at an entry process other than the one running it")
    {
        const auto cancelled = cancel("entry2");
        CHECK(cancelled.status == 200);
        CHECK(cancelled.body.find("\"cancelled\"") != std::string::npos);
        checkStopped();
        SECTION("and submitting it again does not restart it")
        {
            const auto again = deployment.call("entry1", submission("lot", job.lines));
            CHECK(again.status == 200);
            CHECK(again.body.find("\"cancelled\"") != std::string::npos);
            checkStopped();
        }
    }
    SECTION("when the process running it is frozen")
    {
        deployment.entry("entry1").process->freeze();
        CHECK(cancel("entry2").status == 200);
        deployment.entry("entry1").process->thaw();
        checkStopped();
    }
    SECTION("when the process running it gets no watch event for the cancellation")
    {
        deployment.setPlatformSwitches(R"({"loseWatches":true})");
        CHECK(cancel("entry2").status == 200);
        checkStopped();
    }
    SECTION("when the store is unavailable, the cancellation is refused and can be retried")
    {
        deployment.setPlatformSwitches(R"({"outage":true})");
        CHECK(cancel("entry2").status == 503);
        deployment.setPlatformSwitches(R"({"outage":false})");
        CHECK(cancel("entry2").status == 200);
        checkStopped();
    }
}

TEST_CASE("An item that must not be repeated runs once although an online call preempts it")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 1, .tokenIntervalMs = 20});
    deployment.addEntry("entry1", {});
    deployment.putCatalogue(1);
    auto lines = jobLines(1, 100);
    lines.insert(lines.rfind('}'), ",\"idempotent\":false");
    REQUIRE(deployment.call("entry1", {"PUT", "/v1/batches/job?entry=captions", {}, lines}).status
            == 201);
    const auto runsBegun
            = [&] { return integerField(deployment.engineStats("agent1"), "executions", 0); };
    REQUIRE(eventually([&] { return runsBegun() == 1; }));
    CHECK(deployment.call("entry1", completion("online", 5)).status == 200);
    REQUIRE(eventually([&] {
        const auto job = deployment.call("entry1", {"GET", "/v1/batches/job", {}, ""});
        return textField(boost::json::parse(job.body).as_object(), "state") == "completed";
    }));
    // The call and the item.
    CHECK(runsBegun() == 2);
}

TEST_CASE("A large job needs few writes to the store")
{
    Deployment deployment;
    for (const auto *name : {"agent1", "agent2", "agent3"})
        deployment.addAgent(name, {.slots = 32, .tokenIntervalMs = 10});
    deployment.addEntry("entry1");
    deployment.putCatalogue(3);
    const auto before = integerField(deployment.platformCounts(), "writes", 0);
    constexpr std::size_t items = 6'000;
    REQUIRE(deployment.call("entry1", submission("large", jobLines(items, 2))).status == 201);
    waitForState(deployment, "entry1", "large", "completed");
    const auto writes = integerField(deployment.platformCounts(), "writes", 0) - before;
    // At most 10 writes per 1,000 items, at any speed that fills a group of results before its
    // time limit.
    CHECK(writes < static_cast<std::int64_t>(items / 100));
    checkEachCompletedOnce(readResults(deployment, "entry1", "large"), items, 2);
}

TEST_CASE("Batch runs on idle engines of the other region, within its share of the link")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 2, .tokenIntervalMs = 25});
    deployment.addAgent("agent2", {.zone = "zone2", .region = "region2", .slots = 2});
    constexpr std::size_t items = 60;
    const auto run = [&](const std::string &share) {
        deployment.addEntry("entry1", {.arguments = {"--batch-link-bytes=" + share}});
        deployment.putCatalogue(2);
        REQUIRE(deployment.call("entry1", submission("lot", jobLines(items, 4))).status == 201);
        waitForState(deployment, "entry1", "lot", "completed");
        checkEachCompletedOnce(readResults(deployment, "entry1", "lot"), items, 4);
    };
    const auto executionsInOtherRegion
            = [&] { return integerField(deployment.engineStats("agent2"), "executions", 0); };
    SECTION("With a share, idle engines in the other region run items, and the bytes are counted")
    {
        run("1000000");
        CHECK(executionsInOtherRegion() > 0);
        CHECK(deployment.metric("entry1", "radishplank_bytes_other_region_total") > 0);
    }
    SECTION("With a small share, most items run in the local region")
    {
        run("1");
        CHECK(executionsInOtherRegion() <= 5);
    }
    SECTION("Without a share, all items run in the local region")
    {
        run("0");
        CHECK(executionsInOtherRegion() == 0);
        CHECK(deployment.metric("entry1", "radishplank_bytes_other_region_total") == 0);
    }
}

TEST_CASE("Objects of an incomplete upload are deleted from the store")
{
    Deployment deployment;
    deployment.addAgent("agent1");
    const EntryOptions options{.arguments = {"--upload-time=1500"}};
    deployment.addEntry("entry1", options);
    deployment.addEntry("entry2", options);
    deployment.putCatalogue(1);
    const auto isCleanedUp = [&] {
        return deployment.countObjects("batch/") + deployment.countObjects("uploads/") == 0;
    };
    SECTION("when its last item is malformed")
    {
        const auto refused = deployment.call("entry1", submission("lot", jobLines(5'000, 1) + "{"));
        CHECK(refused.status == 400);
        CHECK(isCleanedUp());
    }
    SECTION("when its entry process died")
    {
        deployment.setPlatformSwitches(R"({"delayMs":300})");
        const auto running = deployment.start("entry1", submission("lot", jobLines(20'000, 1)));
        REQUIRE(eventually([&] { return deployment.countObjects("batch/") > 0; }));
        deployment.entry("entry1").process->kill();
        deployment.setPlatformSwitches(R"({"delayMs":0})");
        CHECK(running.answer.get().status == 0);
        CHECK_FALSE(isCleanedUp());
        // The work of the dead process is kept for it until the platform reports its VM as gone.
        deployment.setVmState("entry1", "gone");
        CHECK(eventually(isCleanedUp));
        SECTION("and a job can be submitted under the same name")
        {
            CHECK(deployment.call("entry2", submission("lot", jobLines(10, 1))).status == 201);
            waitForState(deployment, "entry2", "lot", "completed");
            CHECK(deployment.countObjects("uploads/") == 0);
        }
    }
}

TEST_CASE("A concurrent item limit below the number of entry processes blocks no job")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 8, .tokenIntervalMs = 2});
    for (const auto *name : {"entry1", "entry2", "entry3"})
        deployment.addEntry(name);
    deployment.putCatalogue(1);
    deployment.putObject("owners/lotka", R"({"tokenDigest":")" + sha256Hex(Deployment::token)
                                                 + R"(","limits":{"concurrentItems":1}})");
    const std::vector<std::string> jobs{"first", "second", "third", "fourth"};
    for (const auto &job : jobs)
        REQUIRE(deployment.call("entry1", submission(job, jobLines(30, 1))).status == 201);
    for (const auto &job : jobs)
        waitForState(deployment, "entry2", job, "completed");
}

TEST_CASE("Batch jobs run by due time, then in proportion to the weights of their owners")
{
    Deployment deployment;
    deployment.addAgent("agent1", {.slots = 1, .tokenIntervalMs = 4});
    deployment.addEntry("entry1");
    deployment.putCatalogue(1);
    const std::string lines = jobLines(40, 1);
    const auto isCompleted = [](const boost::json::object &job) {
        return textField(job, "state").value_or("") == "completed";
    };

    SECTION("A job with an earlier due time runs before queued jobs")
    {
        const std::vector<std::string> waiting{"late1", "late2", "late3", "late4", "late5"};
        for (const auto &name : waiting)
            REQUIRE(deployment.call("entry1", submission(name, lines)).status == 201);
        auto urgent = submission("soon", lines);
        urgent.target += "&due=60";
        REQUIRE(deployment.call("entry1", urgent).status == 201);
        waitForState(deployment, "entry1", "soon", "completed");
        const auto before = std::count_if(waiting.begin(), waiting.end(), [&](const auto &name) {
            return isCompleted(status(deployment, "entry1", name));
        });
        // The job that was running, and one that started while its last items ran.
        CHECK(before <= 2);
    }
    SECTION("An owner with three times the weight gets three times the throughput")
    {
        const std::string otherToken = "token-of-sundholl";
        deployment.putObject("owners/sundholl",
                             R"({"tokenDigest":")" + sha256Hex(otherToken) + R"(","weight":3})");
        deployment.putObject("entries/sundholl/captions", R"({"pool":"captions"})");
        const auto callAsOther = [&](HttpRequest request) {
            request.headers.add("Authorization", "Bearer " + otherToken);
            return deployment.client.call(deployment.entry("entry1").callers, request);
        };
        REQUIRE(eventually([&] {
            return callAsOther({"GET", "/v1/models", {}, ""}).status == 200;
        }));
        constexpr int jobs = 8;
        for (int i = 0; i < jobs; ++i) {
            const auto name = "job" + std::to_string(i);
            REQUIRE(deployment.call("entry1", submission(name, lines)).status == 201);
            REQUIRE(callAsOther(submission(name, lines)).status == 201);
        }
        const auto completedItems = [&](const HttpResponse &answer) {
            return integerField(boost::json::parse(answer.body).as_object(), "completed", 0);
        };
        const auto itemsOfOwner = [&] {
            std::int64_t total = 0;
            for (int i = 0; i < jobs; ++i)
                total += completedItems(deployment.call(
                        "entry1", {"GET", "/v1/batches/job" + std::to_string(i), {}, ""}));
            return total;
        };
        const auto itemsOfOther = [&] {
            std::int64_t total = 0;
            for (int i = 0; i < jobs; ++i)
                total += completedItems(
                        callAsOther({"GET", "/v1/batches/job" + std::to_string(i), {}, ""}));
            return total;
        };
        REQUIRE(eventually([&] { return itemsOfOther() >= 240; }));
        const auto own = itemsOfOwner();
        // A third of 240, within the jobs in flight.
        CHECK(own >= 40);
        CHECK(own <= 160);
    }
}
