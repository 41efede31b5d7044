#include <Gateway/Gateway.h>

#include "../Store/FaultyStore.h"

#include <atomic>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <malloc.h>
#include <map>

using namespace Radishplank;

namespace {

struct FiberSleep
{
    void operator()(Milliseconds time) const { boost::this_fiber::sleep_for(time); }
};

/// Answers for the owners of jobs; by default, none does.
struct ScriptedProbe
{
    std::function<OwnerAnswer(const Endpoint &)> answer
            = [](const Endpoint &) { return OwnerAnswer::None; };

    OwnerAnswer operator()(const Endpoint &owner, const std::string &) const
    {
        return answer(owner);
    }
};

using Service = JobService<FaultyStore, FiberSleep, ScriptedProbe>;

/// An entry process without upstreams, so that its jobs stay waiting.
struct EntryProcess
{
    explicit EntryProcess(MemoryObjectStore &memory, const std::string &name = "entry1",
                          Milliseconds peerDiscoveryTime = Milliseconds(100),
                          ScriptedProbe probe = {})
        : store(memory)
        , node(name)
        , upstreams(node, {})
        , peers(node, ZoneName("zone1"))
        , link(threads, peers, upstreams, crashes, crashingParts, admissionControl, {})
        , service({threads,
                   routes,
                   upstreams,
                   peers,
                   link,
                   {"Attempt", "Time-Left", "Upstream", "Not-Executed", "Leaves", "Resume-After",
                    "Prompt-Parts"},
                   node,
                   metrics,
                   crashingParts,
                   Milliseconds(600'000),
                   peerDiscoveryTime},
                  {store, FiberSleep(), Milliseconds(150)}, std::move(probe))
    {
        publishRoute(1, 0);
    }

    void publishRoute(std::uint64_t version, std::int64_t maxPendingTokens)
    {
        auto route = makeRoute("batch", "/jobs/", {{"service", 1}});
        route.maxPendingTokens = maxPendingTokens;
        publishRoutes(version, {route});
    }
    void publishRoutes(std::uint64_t version, std::vector<Route> published)
    {
        routes.publish(
                std::make_unique<const RouteTable>(version, std::move(published), CallerLimits()));
    }
    static Route makeRoute(const std::string &name, const std::string &pathPrefix,
                           std::vector<WeightedService> services)
    {
        Route route;
        route.name = name;
        route.host = "example";
        route.pathPrefix = pathPrefix;
        route.kind = RouteKind::Batch;
        route.services = std::move(services);
        route.jobExpiry = Milliseconds(60'000);
        return route;
    }

    /// Runs a function on the process's fiber thread and returns its result.
    template<typename Function>
    auto on(Function function)
    {
        std::promise<decltype(function())> result;
        threads.spawnOn(0, [&] { result.set_value(function()); });
        return result.get_future().get();
    }

    /// Notes a report of a peer that runs the given jobs; called on the process's fiber thread.
    bool noteReport(const std::string &peer, const std::vector<std::string> &jobs)
    {
        PeerReport report;
        report.node = NodeId(peer);
        report.hasJobs = true;
        for (const auto &job : jobs)
            report.ownedJobs.push_back(jobHash(job));
        return peers.noteReport(report, {"127.0.0.1", 9}, SteadyClock().now());
    }
    void hear(const std::string &peer, const std::vector<std::string> &jobs)
    {
        on([&] { return noteReport(peer, jobs); });
    }

    /// Injects a fault into each further call to the store.
    void setFault(FaultyStore::Fault fault)
    {
        on([&] {
            store.nextFault = [fault] { return fault; };
            return true;
        });
    }

    /// Waits until the condition holds, for up to 10 s; returns whether it does.
    template<typename Condition>
    bool eventually(Condition condition)
    {
        return on([&] {
            for (int i = 0; i < 500 && !condition(); ++i)
                boost::this_fiber::sleep_for(Milliseconds(20));
            return condition();
        });
    }

    FaultyStore store;
    NodeId node;
    // Never destroyed: its fibers run until the test program ends.
    FiberThreads &threads = *new FiberThreads(1);
    RouteDirectory &routes = *new RouteDirectory;
    UpstreamTable upstreams;
    PeerTable peers;
    CrashTracker crashes{std::chrono::minutes(10), 100};
    CrashingPartDetector crashingParts{std::chrono::minutes(10), Milliseconds(0)};
    AdmissionControl admissionControl{routes};
    PeerLink link;
    GatewayMetrics metrics;
    Service service;
};

/// An upstream that responds with one event (/jobs/huge: 11); requests to /jobs/later take 1.6 s
/// longer, requests to /jobs/impossible are rejected, those to /jobs/full refused, and responses to
/// /jobs/long have 1,000 bytes, those to /jobs/huge 1.1 MB, which no object of the store can hold.
class FakeUpstream
{
public:
    FakeUpstream()
        : m_threads(*new FiberThreads(1)) // Its fibers run until the test program ends.
        , m_server(HttpServer::listen(
                           m_threads, {"127.0.0.1", 0}, {},
                           [this](HttpExchange &exchange) {
                               if (exchange.request().target == "/jobs/impossible") {
                                   m_rejected += 1;
                                   (void)exchange.respond({422, {}, ""});
                                   return;
                               }
                               if (exchange.request().target == "/jobs/full") {
                                   m_refused += 1;
                                   boost::this_fiber::sleep_for(refusalTime);
                                   (void)exchange.respond({503, {{"Not-Executed", "full"}}, ""});
                                   return;
                               }
                               if (exchange.request().target == "/jobs/later")
                                   boost::this_fiber::sleep_for(Milliseconds(1'600));
                               const auto isLong = exchange.request().target == "/jobs/long";
                               const auto isHuge = exchange.request().target == "/jobs/huge";
                               const std::string data(isHuge ? 100'000 : isLong ? 1'000 : 1, 'x');
                               (void)exchange.beginStream(200, {});
                               for (int event = 1; event <= (isHuge ? 11 : 1); ++event) {
                                   (void)exchange.writeStream("id: " + std::to_string(event)
                                                              + "\ndata: " + data + "\n\n");
                               }
                               (void)exchange.endStream();
                           })
                           .takeValue())
    {
    }

    [[nodiscard]] UpstreamInfo info() const
    {
        return {UpstreamId("u1"), "service", m_server->endpoint(), ZoneName("zone1"), 4, false, 1};
    }
    /// Number of requests that are refused because the upstream is full, after `refusalTime`.
    [[nodiscard]] unsigned refused() const { return m_refused; }
    static constexpr Milliseconds refusalTime{1'200};
    /// Number of requests answered with 422.
    [[nodiscard]] unsigned rejected() const { return m_rejected; }

private:
    std::atomic<unsigned> m_rejected{0};
    std::atomic<unsigned> m_refused{0};
    FiberThreads &m_threads;
    std::unique_ptr<HttpServer> m_server;
};

SmallJob makeJob(std::size_t items)
{
    SmallJob job;
    job.id = "job1";
    job.host = "example";
    job.path = "/jobs/job1";
    job.submittedAt = unixMilliseconds();
    for (std::size_t i = 0; i < items; ++i)
        job.items.push_back(
                {"item" + std::to_string(i), i == 1 ? "/jobs/later" : "/jobs/x", {}, "body"});
    return job;
}

} // namespace

TEST_CASE("A job is owned by the process that accepted it", "[JobService]")
{
    auto &memory = *new MemoryObjectStore;
    auto &entry = *new EntryProcess(memory);
    entry.service.start();

    SECTION("Repeated submissions are accepted once")
    {
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        CHECK(entry.on([&] { return entry.service.owns("job1"); }));
        const auto page = entry.on([&] { return entry.service.read("job1", 0, Milliseconds(0)); });
        REQUIRE_FALSE(page.isError());
        CHECK(page.value().total == 2);

        SECTION("A submission with other items is a conflict")
        {
            const auto other = entry.on([&] { return entry.service.submit(makeJob(3)); });
            REQUIRE(other.isError());
            CHECK(other.error().kind == ErrorKind::Conflict);
        }
        SECTION("The bodies of its items can be read")
        {
            const auto body = entry.on([&] { return entry.service.itemBody("job1", "item1"); });
            REQUIRE_FALSE(body.isError());
            CHECK(body.value() == "body");
        }
    }
    SECTION("The store writes the job, but its responses are lost until the submission times out")
    {
        // By then, the process has looked for jobs that it owned before it started.
        entry.on([] {
            boost::this_fiber::sleep_for(Milliseconds(300));
            return true;
        });
        entry.setFault(FaultyStore::Fault::LostResponse);
        const auto submitted = entry.on([&] { return entry.service.submit(makeJob(2)); });
        REQUIRE(submitted.isError());
        CHECK(submitted.error().kind == ErrorKind::Unavailable);
        entry.setFault(FaultyStore::Fault::None);

        SECTION("The process adopts the job, since the store names it as the owner")
        {
            CHECK(entry.eventually([&] { return entry.service.owns("job1"); }));
        }
    }
    SECTION("The store has the job from before a restart, but refuses to read it")
    {
        auto earlier = makeJob(2);
        earlier.submittedAt -= 1'000;
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(earlier); }).isError());
        auto &restarted = *new EntryProcess(memory, "entry1");
        const auto submitted = restarted.on([&] {
            // A write, which conflicts, and a read precede the reads of the whole job.
            restarted.store.nextFault = [calls = 0]() mutable {
                return calls++ < 2 ? FaultyStore::Fault::None : FaultyStore::Fault::Refusal;
            };
            return restarted.service.submit(makeJob(2));
        });

        SECTION("The submission is not reported as refused, and the job runs")
        {
            REQUIRE(submitted.isError());
            CHECK(submitted.error().kind == ErrorKind::Unavailable);
            restarted.setFault(FaultyStore::Fault::None);
            restarted.service.start();
            CHECK(restarted.eventually([&] { return restarted.service.owns("job1"); }));
        }
    }
    SECTION("A submission to another process does not change the owner")
    {
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        auto &second = *new EntryProcess(memory, "entry2");
        second.hear("entry1", {"job1"});
        REQUIRE_FALSE(second.on([&] { return second.service.submit(makeJob(2)); }).isError());
        CHECK_FALSE(second.on([&] { return second.service.owns("job1"); }));
    }
    SECTION("Its owner has not reported it yet")
    {
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        const ScriptedProbe probe{[](const Endpoint &) { return OwnerAnswer::Runs; }};
        auto &second = *new EntryProcess(memory, "entry2", Milliseconds(100), probe);
        second.hear("entry1", {});

        SECTION("A submission to another process does not change the owner that says it runs it")
        {
            REQUIRE_FALSE(second.on([&] { return second.service.submit(makeJob(2)); }).isError());
            CHECK_FALSE(second.on([&] { return second.service.owns("job1"); }));
        }
    }
    SECTION("Its owner has failed")
    {
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        auto &second = *new EntryProcess(memory, "entry2");
        second.service.start();

        SECTION("A process without reachable peers takes the job over")
        {
            CHECK(second.eventually([&] { return second.service.owns("job1"); }));
            const auto loaded = second.on([&] { return second.service.load("job1"); });
            REQUIRE_FALSE(loaded.isError());
            CHECK(loaded.value().job.owner == NodeId("entry2"));
        }
    }
    SECTION("Its owner writes a result while another process takes the job over")
    {
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        auto &second = *new EntryProcess(memory, "entry2");
        const ResultSegment late{"entry1-1", {{"item0", ItemState::Completed, "0"}}};
        // A load reads the end of the job last, after its results.
        second.store.beforeGet = [&](std::string_view key) {
            if (key.starts_with("radishplank-job-ends/"))
                (void)memory.put("radishplank-results/job1.0", serialize(late), noVersion);
        };
        second.service.start();
        REQUIRE(second.eventually([&] { return second.service.owns("job1"); }));

        SECTION("The result is readable at once, and the previous owner can add no more")
        {
            const auto page
                    = second.on([&] { return second.service.read("job1", 0, Milliseconds(0)); });
            REQUIRE_FALSE(page.isError());
            CHECK(page.value().results == late.results);
            const ResultSegment later{"entry1-2", {{"item1", ItemState::Completed, "1"}}};
            CHECK(memory.put("radishplank-results/job1.1", serialize(later), noVersion).isError());
        }
    }
    SECTION("A peer reports the job as its own during the peer discovery of a restarted process")
    {
        auto &restarted = *new EntryProcess(memory, "entry1", Milliseconds(60'000));
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        restarted.service.start();
        REQUIRE(restarted.eventually([&] { return restarted.service.owns("job1"); }));
        auto reassigned = makeJob(2);
        reassigned.owner = NodeId("entry2");
        const auto version = memory.get("radishplank-jobs/job1").value().version;
        REQUIRE_FALSE(
                memory.put("radishplank-jobs/job1", serialize(reassigned), version).isError());
        PeerReport ownerReport;
        ownerReport.node = NodeId("entry2");
        ownerReport.ownedJobs = {jobHash("job1")};
        restarted.on([&] {
            restarted.link.onReport(ownerReport, false);
            return true;
        });

        SECTION("The restarted process drops the job before peer discovery ends")
        {
            CHECK(restarted.eventually([&] { return !restarted.service.owns("job1"); }));
        }
    }
    SECTION("Its results pile up in an outage of the store until they exceed the size of an object")
    {
        constexpr std::size_t items = 40;
        FakeUpstream upstream;
        entry.upstreams.put(upstream.info());
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(items)); }).isError());
        entry.on([&] { return entry.store.maxValueBytes = 600; });
        entry.setFault(FaultyStore::Fault::Outage);
        REQUIRE(entry.eventually([&] { return entry.metrics.itemsCompleted.value() == items; }));
        entry.setFault(FaultyStore::Fault::None);

        SECTION("All results become readable, and another process reads the same")
        {
            const auto results = [&] {
                const auto page = entry.service.read("job1", 0, Milliseconds(0));
                return page.isError() ? std::vector<ItemResult>() : page.value().results;
            };
            REQUIRE(entry.eventually([&] { return results().size() == items; }));
            EntryProcess other(memory, "entry2");
            const auto loaded = other.on([&] { return other.service.load("job1"); });
            REQUIRE_FALSE(loaded.isError());
            CHECK(loaded.value().results == entry.on(results));
            for (const auto &result : loaded.value().results)
                CHECK(result.state == ItemState::Completed);
        }
    }
    SECTION("The store will never take the result of one of its items")
    {
        FakeUpstream upstream;
        entry.upstreams.put(upstream.info());
        auto job = makeJob(4);
        job.items[2].path = "/jobs/long";

        SECTION("since it is too large")
        {
            REQUIRE_FALSE(entry.on([&] { return entry.service.submit(job); }).isError());
            entry.on([&] { return entry.store.maxValueBytes = 600; });
        }
        SECTION("since it is larger than any object, so that no run can complete")
        {
            job.items[2].path = "/jobs/huge";
            REQUIRE_FALSE(entry.on([&] { return entry.service.submit(job); }).isError());
        }
        SECTION("since the text is invalid")
        {
            REQUIRE_FALSE(entry.on([&] { return entry.service.submit(job); }).isError());
            entry.on([&] { return entry.store.invalidText = "xxxx"; });
        }
        const auto states = [&] {
            std::map<std::string, ItemState> result;
            const auto page = entry.service.read("job1", 0, Milliseconds(0));
            if (!page.isError()) {
                for (const auto &each : page.value().results)
                    result[each.item] = each.state;
            }
            return result;
        };
        REQUIRE(entry.eventually([&] { return states().size() == 4; }));
        for (const auto &[item, state] : entry.on(states))
            CHECK(state == (item == "item2" ? ItemState::DeadLetter : ItemState::Completed));
    }
    SECTION("Another process writes the results while this one cannot reach the store")
    {
        FakeUpstream upstream;
        entry.upstreams.put(upstream.info());
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        entry.setFault(FaultyStore::Fault::Outage);
        REQUIRE(entry.eventually([&] { return entry.metrics.itemsCompleted.value() == 2; }));
        const ResultSegment others{
                "other",
                {{"item0", ItemState::Completed, "0"}, {"item1", ItemState::Completed, "1"}}};
        REQUIRE_FALSE(
                memory.put("radishplank-results/job1.0", serialize(others), noVersion).isError());
        entry.setFault(FaultyStore::Fault::None);

        SECTION("No item has two results")
        {
            const auto results = [&] {
                const auto page = entry.service.read("job1", 0, Milliseconds(0));
                return page.isError() ? std::size_t{0} : page.value().results.size();
            };
            REQUIRE(entry.eventually([&] { return results() >= 2; }));
            entry.on([] {
                boost::this_fiber::sleep_for(Milliseconds(400));
                return true;
            });
            CHECK(entry.on(results) == 2);
            CHECK(memory.get("radishplank-results/job1.1").isError());
        }
    }
    SECTION("A peer reports the job as its own, and an item completes during the reload")
    {
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(1)); }).isError());
        bool isReading = false;
        PeerReport ownerReport;
        ownerReport.node = NodeId("entry2");
        ownerReport.ownedJobs = {jobHash("job1")};
        entry.on([&] {
            // A load reads the end of the job last, after its results.
            entry.store.beforeGet = [&](std::string_view key) {
                if (!key.starts_with("radishplank-job-ends/"))
                    return;
                isReading = true;
                boost::this_fiber::sleep_for(Milliseconds(600));
            };
            entry.link.onReport(ownerReport, false);
            return true;
        });
        REQUIRE(entry.eventually([&] { return isReading; }));
        // The results in memory may be older than those that the other process has returned.
        CHECK(entry.on([&] { return entry.service.read("job1", 0, Milliseconds(0)); }).isError());
        FakeUpstream upstream;
        entry.upstreams.put(upstream.info());
        REQUIRE(entry.eventually([&] { return entry.metrics.resultSegments.value() == 1; }));

        SECTION("The result is readable once the job has been reloaded")
        {
            const auto hasPage
                    = [&] { return !entry.service.read("job1", 0, Milliseconds(0)).isError(); };
            REQUIRE(entry.eventually(hasPage));
            const auto page
                    = entry.on([&] { return entry.service.read("job1", 0, Milliseconds(0)); });
            REQUIRE_FALSE(page.isError());
            CHECK(page.value().results.size() == 1);
        }
    }
    SECTION("Another process takes the job over while this one waits for more results to write")
    {
        FakeUpstream upstream;
        entry.upstreams.put(upstream.info());
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        REQUIRE(entry.eventually([&] { return entry.metrics.itemsCompleted.value() == 1; }));
        auto reassigned = makeJob(2);
        reassigned.owner = NodeId("entry2");
        const auto version = memory.get("radishplank-jobs/job1").value().version;
        REQUIRE_FALSE(
                memory.put("radishplank-jobs/job1", serialize(reassigned), version).isError());
        PeerReport ownerReport;
        ownerReport.node = NodeId("entry2");
        ownerReport.ownedJobs = {jobHash("job1")};
        entry.on([&] {
            entry.link.onReport(ownerReport, false);
            return true;
        });

        SECTION("This process stops returning results, and drops the job without writing any")
        {
            CHECK(entry.on([&] {
                           return entry.service.read("job1", 0, Milliseconds(0));
                       }).isError());
            REQUIRE(entry.eventually([&] { return !entry.service.owns("job1"); }));
            CHECK(entry.metrics.resultSegments.value() == 0);
        }
    }
    SECTION("The job is ended at another process")
    {
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        auto &second = *new EntryProcess(memory, "entry2");
        REQUIRE_FALSE(second.on([&] { return second.service.end("job1"); }).isError());
        const auto loaded = second.on([&] { return second.service.load("job1"); });
        REQUIRE_FALSE(loaded.isError());
        CHECK(loaded.value().isEnded);

        SECTION("The owner learns of the end from the store, without a report from a peer")
        {
            CHECK(entry.eventually([&] { return entry.metrics.jobsEnded.value() == 1; }));
        }
    }
}

TEST_CASE("A restarted process keeps its claim until it has loaded all of its jobs", "[JobService]")
{
    auto &memory = *new MemoryObjectStore;
    constexpr std::int64_t limit = 10'000;
    constexpr std::int64_t itemTokens = 400;
    constexpr std::int64_t allTokens = 2 * 10 * itemTokens;
    for (const auto *id : {"job1", "job2"}) {
        auto job = makeJob(10);
        job.id = id;
        job.owner = NodeId("entry1");
        for (auto &item : job.items)
            item.tokens = itemTokens;
        REQUIRE_FALSE(
                memory.put("radishplank-jobs/" + job.id, serialize(job), noVersion).isError());
    }
    ClaimSet initialClaims;
    initialClaims.claims[NodeId("entry1")] = {allTokens, "before"};
    REQUIRE_FALSE(
            memory.put("radishplank-claims/batch", serialize(initialClaims), noVersion).isError());
    const auto claimed = [&] {
        const auto stored = parseClaimSet(memory.get("radishplank-claims/batch").value().value);
        return stored.value().claims.at(NodeId("entry1")).amount;
    };

    auto &entry = *new EntryProcess(memory);
    entry.publishRoute(2, limit);
    bool isSecondJobRead = false;
    entry.store.beforeGet = [&](std::string_view key) {
        if (key != "radishplank-jobs/job2" || isSecondJobRead)
            return;
        isSecondJobRead = true;
        boost::this_fiber::sleep_for(Milliseconds(1'000));
    };
    entry.service.start();
    REQUIRE(entry.eventually([&] { return entry.service.owns("job1") && isSecondJobRead; }));
    auto newJob = makeJob(1);
    newJob.id = "job3";
    newJob.items[0].tokens = itemTokens;
    const auto earlySubmission = entry.on([&] { return entry.service.submit(newJob); });
    REQUIRE(earlySubmission.isError());
    CHECK(earlySubmission.error().kind == ErrorKind::Refused);
    entry.on([] {
        boost::this_fiber::sleep_for(Milliseconds(500));
        return true;
    });
    CHECK(claimed() >= allTokens);

    REQUIRE(entry.eventually([&] { return entry.service.owns("job2"); }));
    REQUIRE(entry.eventually([&] { return !entry.service.submit(newJob).isError(); }));
    CHECK(claimed() >= allTokens);
}

TEST_CASE(
        "An item that always fails is sent a bounded number of times when its owners fail in turn",
        "[JobService]")
{
    // The limit that the platform sets.
    constexpr unsigned maxRejections = 3;
    auto &memory = *new MemoryObjectStore;
    auto &upstream = *new FakeUpstream;
    auto job = makeJob(2);
    job.items[0].path = "/jobs/impossible";

    for (unsigned owner = 1; owner <= maxRejections + 1; ++owner) {
        auto &entry = *new EntryProcess(memory, "entry" + std::to_string(owner));
        entry.upstreams.put(upstream.info());
        entry.service.start();
        if (owner == 1)
            REQUIRE_FALSE(entry.on([&] { return entry.service.submit(job); }).isError());
        REQUIRE(entry.eventually([&] { return entry.service.owns("job1"); }));
        entry.on([] {
            boost::this_fiber::sleep_for(Milliseconds(500));
            return true;
        });
        // The outage discards all results that the process has not written, like a crash.
        entry.setFault(FaultyStore::Fault::Outage);
    }
    CHECK(upstream.rejected() >= 1);
    CHECK(upstream.rejected() <= maxRejections);
}

// Guards against a use of the job's memory after it was read again from the store.
TEST_CASE("A run that waits for its upstream survives a reload of its job", "[JobService]")
{
    auto &memory = *new MemoryObjectStore;
    auto &upstream = *new FakeUpstream;
    auto &entry = *new EntryProcess(memory);
    entry.upstreams.put(upstream.info());
    entry.service.start();
    auto job = makeJob(20);
    for (auto &item : job.items) {
        item.id += "-with-a-name-that-is-not-stored-in-place";
        item.path = "/jobs/full";
    }
    REQUIRE_FALSE(entry.on([&] { return entry.service.submit(job); }).isError());
    constexpr int overwritten = 0x5a;
    ::mallopt(M_PERTURB, overwritten);
    PeerReport report;
    report.node = NodeId("entry2");
    report.ownedJobs = {jobHash("job1")};
    // Each report makes the process read its job again; meanwhile runs wait for their refusals.
    constexpr unsigned refusals = 6;
    CHECK(entry.eventually([&] {
        entry.link.onReport(report, false);
        return upstream.refused() > refusals;
    }));
    ::mallopt(M_PERTURB, 0);
    CHECK(entry.on([&] { return entry.service.owns("job1"); }));
}

// Guards against items that wait behind items of a service that takes none.
TEST_CASE("Items run at idle upstreams although more items wait for another service",
          "[JobService]")
{
    auto &memory = *new MemoryObjectStore;
    auto &upstream = *new FakeUpstream;
    auto &entry = *new EntryProcess(memory);
    entry.upstreams.put(upstream.info());
    entry.service.start();
    entry.publishRoutes(
            2, {EntryProcess::makeRoute("batch", "/jobs/", {{"service", 1}}),
                EntryProcess::makeRoute("other", "/other/", {{"other", 1}}),
                EntryProcess::makeRoute("split", "/split/", {{"other", 999}, {"service", 1}})});
    auto waitingJob = makeJob(150);
    waitingJob.id = "waiting";
    waitingJob.path = "/other/waiting";
    const auto submit = [&](const SmallJob &job) {
        return !entry.on([&] { return entry.service.submit(job); }).isError();
    };
    const auto hasAllResults = [&] {
        const auto page = entry.service.read("job1", 0, Milliseconds(0));
        return !page.isError() && page.value().results.size() == 4;
    };

    SECTION("that has no upstream")
    {
        REQUIRE(submit(waitingJob));
        REQUIRE(submit(makeJob(4)));
        CHECK(entry.eventually(hasAllResults));
    }
    SECTION("whose upstream refuses everything")
    {
        for (auto &item : waitingJob.items)
            item.path = "/jobs/full";
        auto refusing = upstream.info();
        refusing.id = UpstreamId("u2");
        refusing.service = "other";
        entry.upstreams.put(refusing);
        REQUIRE(submit(waitingJob));
        REQUIRE(entry.eventually([&] { return upstream.refused() > 0; }));
        REQUIRE(submit(makeJob(4)));
        CHECK(entry.eventually(hasAllResults));
    }
    SECTION("also if their route sends nearly all items to that service")
    {
        auto job = makeJob(4);
        job.path = "/split/job1";
        REQUIRE(submit(job));
        CHECK(entry.eventually(hasAllResults));
    }
}

// Guards against accepted jobs without a process: a late write of a process that has ended names an
// owner that does not know of the job.
TEST_CASE("A job whose owner does not know of it runs at the process that finds that out",
          "[JobService]")
{
    auto &memory = *new MemoryObjectStore;
    auto job = makeJob(2);
    job.owner = NodeId("entry1");
    OwnerAnswer answer = OwnerAnswer::DoesNotRun;
    const ScriptedProbe probe{[&](const Endpoint &) { return answer; }};
    auto &entry = *new EntryProcess(memory, "entry2", Milliseconds(100), probe);
    const auto write = [&](const SmallJob &changed) {
        const auto current = memory.get("radishplank-jobs/job1");
        REQUIRE_FALSE(memory.put("radishplank-jobs/job1", serialize(changed),
                                 current.isError() ? noVersion : current.value().version)
                              .isError());
    };
    const auto owns = [&] { return entry.service.owns("job1"); };

    SECTION("The job is submitted again")
    {
        write(job);
        SECTION("while its owner says that it does not run it")
        {
            entry.hear("entry1", {});
        }
        SECTION("while its owner does not answer")
        {
            entry.hear("entry1", {});
            answer = OwnerAnswer::None;
        }
        SECTION("after its owner was replaced under another name")
        {
            entry.hear("entry3", {});
        }
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        CHECK(entry.on(owns));
        CHECK(parseSmallJob(memory.get("radishplank-jobs/job1").value().value).value().owner
              == NodeId("entry2"));
    }
    SECTION("The job is submitted again, and the store refuses to change its owner")
    {
        write(job);
        entry.hear("entry1", {});
        entry.on([&] {
            // The creation, which conflicts, and a read precede the reads and writes of a
            // take-over.
            entry.store.nextFault = [calls = 0]() mutable {
                return calls++ < 2 ? FaultyStore::Fault::None : FaultyStore::Fault::Refusal;
            };
            return true;
        });
        const auto submitted = entry.on([&] { return entry.service.submit(makeJob(2)); });

        SECTION("The submission is neither accepted nor refused, and the job runs later")
        {
            REQUIRE(submitted.isError());
            CHECK(submitted.error().kind == ErrorKind::Unavailable);
            entry.setFault(FaultyStore::Fault::None);
            entry.service.start();
            entry.hear("entry1", {});
            CHECK(entry.eventually([&] {
                (void)entry.noteReport("entry1", {});
                return owns();
            }));
        }
    }
    SECTION("A starting process lists the job")
    {
        write(job);
        entry.service.start();

        SECTION("and its owner, which lives, does not know of it")
        {
            CHECK(entry.eventually([&] {
                (void)entry.noteReport("entry1", {});
                return owns();
            }));
        }
    }
    SECTION("A process drops the job to an owner that does not know of it")
    {
        entry.service.start();
        entry.hear("entry1", {});
        REQUIRE_FALSE(entry.on([&] { return entry.service.submit(makeJob(2)); }).isError());
        write(job);
        entry.on([&] {
            PeerReport report;
            report.node = NodeId("entry3");
            report.ownedJobs = {jobHash("job1")};
            entry.link.onReport(report, false);
            return true;
        });
        REQUIRE(entry.eventually([&] { return !owns(); }));
        CHECK(entry.eventually([&] {
            (void)entry.noteReport("entry1", {});
            return owns();
        }));
    }
}

TEST_CASE("An owner that is gone gets a successor, and one that answers keeps its job",
          "[UnconfirmedOwners]")
{
    const TimePoint start{std::chrono::seconds(1'000)};
    PeerTable peers(NodeId("entry1"), ZoneName("zone1"));
    UnconfirmedOwners owners(peers);
    owners.note("job1", NodeId("entry2"), start);
    const auto stepAt = [&](TimePoint now) {
        return owners.nextStep("job1", owners.entries().at("job1"), now);
    };
    PeerReport report;
    report.node = NodeId("entry2");
    report.hasJobs = true;

    SECTION("A living owner is asked if it has not reported the job after some time")
    {
        const auto later = start + std::chrono::seconds(2);
        peers.noteReport(report, {"127.0.0.1", 9}, later);
        CHECK(stepAt(start) == UnconfirmedOwners::Step::Wait);
        CHECK(stepAt(later) == UnconfirmedOwners::Step::Ask);

        SECTION("until it reports the job")
        {
            report.ownedJobs = {jobHash("job1")};
            peers.noteReport(report, {"127.0.0.1", 9}, later);
            CHECK(stepAt(later) == UnconfirmedOwners::Step::None);
        }
    }
    SECTION("A job that another process reports needs nothing")
    {
        report.node = NodeId("entry3");
        report.ownedJobs = {jobHash("job1")};
        peers.noteReport(report, {"127.0.0.1", 9}, start);
        CHECK(stepAt(start) == UnconfirmedOwners::Step::None);
    }
    SECTION("The only process takes over the job of an unknown owner")
    {
        CHECK(stepAt(start) == UnconfirmedOwners::Step::TakeOver);
    }
    SECTION("One of many processes takes the job over at once, and each later if none has")
    {
        const auto later = start + std::chrono::seconds(5);
        std::size_t successors = 0;
        constexpr int processes = 9;
        for (int self = 0; self < processes; ++self) {
            PeerTable table(NodeId("process" + std::to_string(self)), ZoneName("zone1"));
            for (int peer = 0; peer < processes; ++peer) {
                PeerReport alive;
                alive.node = NodeId("process" + std::to_string(peer));
                (void)table.noteReport(alive, {"127.0.0.1", 9}, start);
                (void)table.noteReport(alive, {"127.0.0.1", 9}, later);
            }
            UnconfirmedOwners each(table);
            each.note("job1", NodeId("gone"), start);
            const auto &entry = each.entries().at("job1");
            if (each.nextStep("job1", entry, start) == UnconfirmedOwners::Step::TakeOver)
                successors += 1;
            CHECK(each.nextStep("job1", entry, later) == UnconfirmedOwners::Step::TakeOver);
        }
        CHECK(successors >= 1);
        CHECK(successors <= 2);
    }
}
