#include "PlatformDeployment.h"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

constexpr double limit = 4;
/// Time after the first naming of a limit from which it must hold.
constexpr Milliseconds contactTime{3'000};
constexpr Milliseconds window{4'000};
/// What the users' pages allow in a window.
constexpr double mostInWindow = 1.5 * limit * 4 + 5;
/// Time after the end of the load until which every item must have a result.
constexpr Milliseconds finishTime{18'000};
/// A refusal does not wait for the limit.
constexpr Milliseconds maxRefusalTime{1'000};

struct CallCounts
{
    std::map<unsigned, unsigned> statuses;
    unsigned refusalsWithoutRetryAfter = 0;
    Milliseconds longestRefusal{0};
};

/// Calls the processes in turn from several threads, without a pause for longer than 100 ms.
CallCounts callFor(PlatformDeployment &deployment, const std::vector<std::string> &entries,
                   const std::string &path, Milliseconds duration)
{
    constexpr std::size_t callers = 6;
    CallCounts counts;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const auto end = SteadyClock().now() + duration;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (auto i = caller; SteadyClock().now() < end; ++i) {
                const auto begin = SteadyClock().now();
                const auto answer = deployment.post(entries[i % entries.size()], path, "a",
                                                    makeUniqueId("call"));
                const auto took
                        = std::chrono::duration_cast<Milliseconds>(SteadyClock().now() - begin);
                const std::scoped_lock lock(mutex);
                counts.statuses[answer.status] += 1;
                if (answer.status == 503) {
                    counts.longestRefusal = std::max(counts.longestRefusal, took);
                    if (answer.headers.value("Retry-After").empty())
                        counts.refusalsWithoutRetryAfter += 1;
                }
                std::this_thread::sleep_for(Milliseconds(50));
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    return counts;
}

/// Returns the most requests that a server got in a window that begins at `since` or later.
std::size_t mostRequests(FakeServer &server, TimePoint since)
{
    const auto served = server.served();
    std::size_t most = 0;
    for (auto first = served.begin(); first != served.end(); ++first) {
        if (first->at < since)
            continue;
        const auto last = std::find_if(first, served.end(), [&](const ServedRequest &each) {
            return each.at > first->at + window;
        });
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace

// Guards against items that wait for ever at a process without a part of a limited rate.
TEST_CASE("Items run at each process although two servers name a limit all the time", "[Platform]")
{
    const std::vector<std::string> entries{"entry1", "entry2", "entry3"};
    PlatformDeployment deployment;
    std::vector<FakeServer *> servers{&deployment.addServer("i-1"), &deployment.addServer("i-2")};
    for (auto *server : servers)
        server->nameRequestLimit(1);
    deployment.writeConfiguration(1);
    for (const auto &entry : entries)
        deployment.startEntry(entry);
    for (const auto &entry : entries)
        deployment.waitUntilReady(entry);
    REQUIRE(deployment.submit("entry1", "first", {"a", "b", "c", "d"}).status == 202);
    deployment.waitForResults("entry1", "first", 4);
    const auto since = SteadyClock().now() + contactTime;
    for (const auto &entry : entries)
        REQUIRE(deployment.submit(entry, "job-" + entry, {"a", "b", "c", "d"}).status == 202);
    const auto submitted = SteadyClock().now();
    for (const auto &entry : entries) {
        CAPTURE(entry);
        for (const auto &result : deployment.waitForResults(entry, "job-" + entry, 4))
            CHECK(result.at("state") == "completed");
        CHECK(SteadyClock().now() - submitted < finishTime);
    }
    for (auto *server : servers)
        CHECK(mostRequests(*server, since) <= 1.5 * 1 * 4 + 5);
}

// Guards against calls that are always refused at a process without a part of a limited rate.
TEST_CASE("Calls are answered whichever process gets them although two servers name a limit",
          "[Platform]")
{
    const std::vector<std::string> entries{"entry1", "entry2", "entry3"};
    PlatformDeployment deployment;
    std::vector<FakeServer *> servers{&deployment.addServer("i-1"), &deployment.addServer("i-2")};
    for (auto *server : servers)
        server->nameRequestLimit(1);
    deployment.writeConfiguration(1);
    for (const auto &entry : entries)
        deployment.startEntry(entry);
    for (const auto &entry : entries)
        deployment.waitUntilReady(entry);
    (void)callFor(deployment, entries, "/plain/x", contactTime);
    const auto since = SteadyClock().now();

    for (const auto &entry : entries) {
        for (int i = 0; i < 6; ++i) {
            CAPTURE(entry, i);
            auto answer = deployment.post(entry, "/plain/x", "a", makeUniqueId("call"));
            if (answer.status == 503) {
                const auto wait = std::stod(answer.headers.value("Retry-After"));
                CHECK(wait < 3);
                std::this_thread::sleep_for(std::chrono::duration<double>(wait));
                answer = deployment.post(entry, "/plain/x", "a", makeUniqueId("call"));
            }
            CHECK(answer.status == 200);
            std::this_thread::sleep_for(Milliseconds(1'200));
        }
    }
    for (auto *server : servers)
        CHECK(mostRequests(*server, since) <= 1.5 * 1 * 4 + 5);
}

// Guards against items that wait while few calls leave most of a limited rate unused.
TEST_CASE("Items run beside a trickle of calls at a server that names a limit", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    server.nameRequestLimit(limit);
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    std::atomic<bool> isCalling{true};
    std::thread caller([&] {
        while (isCalling) {
            (void)deployment.post("entry1", "/plain/x", "a", makeUniqueId("call"));
            std::this_thread::sleep_for(Milliseconds(800));
        }
    });
    std::this_thread::sleep_for(contactTime);
    const bool isAccepted = deployment.submit("entry1", "job1", {"a", "b", "c", "d"}).status == 202;
    const auto submitted = SteadyClock().now();
    std::size_t results = 0;
    while (isAccepted && results < 4 && SteadyClock().now() - submitted < finishTime) {
        std::this_thread::sleep_for(Milliseconds(200));
        const auto answer = deployment.get("entry1", "/-/lots/job1?after=0");
        if (answer.status == 200)
            results = boost::json::parse(answer.body).at("results").as_array().size();
    }
    isCalling = false;
    caller.join();
    CHECK(results == 4);
}

TEST_CASE("The processes together send a server no more requests than it asks for", "[Platform]")
{
    const std::vector<std::string> entries{"entry1", "entry2", "entry3"};
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    for (const auto &entry : entries)
        deployment.startEntry(entry);
    for (const auto &entry : entries)
        deployment.waitUntilReady(entry);
    server.nameRequestLimit(limit);
    const auto since = SteadyClock().now() + contactTime;
    constexpr Milliseconds duration{9'000};

    SECTION("while calls beyond the limit are refused at once, with a time to come back")
    {
        const auto counts = callFor(deployment, entries, "/plain/x", duration);
        CHECK(static_cast<double>(mostRequests(server, since)) <= mostInWindow);
        CHECK(counts.statuses.at(200) >= limit * 5);
        CHECK(counts.statuses.at(200) + counts.statuses.at(503) == [&] {
            unsigned sum = 0;
            for (const auto &[status, count] : counts.statuses)
                sum += count;
            return sum;
        }());
        CHECK(counts.refusalsWithoutRetryAfter == 0);
        CHECK(counts.longestRefusal < maxRefusalTime);

        SECTION("until it names no limit any more")
        {
            server.nameRequestLimit({});
            CHECK(eventually([&] {
                const auto later = callFor(deployment, entries, "/plain/x", Milliseconds(500));
                return !later.statuses.contains(503);
            }));
        }
    }
    SECTION("while another server takes the rest")
    {
        deployment.addServer("i-2");
        REQUIRE(eventually([&] {
            return deployment.fleetOf("entry1").find("i-2") != std::string::npos
                   && deployment.fleetOf("entry2").find("i-2") != std::string::npos
                   && deployment.fleetOf("entry3").find("i-2") != std::string::npos;
        }));
        const auto counts = callFor(deployment, entries, "/plain/x", duration);
        CHECK(static_cast<double>(mostRequests(server, since)) <= mostInWindow);
        CHECK_FALSE(counts.statuses.contains(503));
    }
    SECTION("also if streams are resumed and items run")
    {
        std::vector<std::string> items;
        for (int i = 0; i < 20; ++i)
            items.push_back("item" + std::to_string(i));
        REQUIRE(deployment.submit("entry2", "job1", items).status == 202);
        server.planActions(std::vector<ServerAction>(200, ServerAction::CloseMidStream));
        (void)callFor(deployment, entries, "/resume/x", duration);
        CHECK(static_cast<double>(mostRequests(server, since)) <= mostInWindow);
        server.planActions({});
        CHECK(deployment.waitForResults("entry1", "job1", items.size()).size() == items.size());
    }
}
