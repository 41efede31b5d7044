#include "PlatformDeployment.h"

#include <catch2/catch.hpp>
#include <set>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

constexpr const char *deadlyPart = "dead";
/// Crashes after which the part must be known to all processes, within `propagationTime`.
constexpr unsigned crashesToNotice = 5;
/// Time within which all processes must know of a crash (`contact_ms` of the users' deployments).
constexpr auto propagationTime = std::chrono::milliseconds(3'000);
/// Requests with the part that may reach servers later than that.
constexpr unsigned maxLaterRequests = 3;
constexpr unsigned laterAttempts = 12;
/// Entry processes cannot tell crashes of one start of a server within 250 ms of each other apart.
constexpr auto restartDelay = std::chrono::milliseconds(300);

/// Two entry processes in front of servers that crash when they begin to answer a request whose
/// prompt contains a certain part. No two requests are equal.
class PartDeployment : public PlatformDeployment
{
public:
    PartDeployment()
    {
        for (unsigned i = 0; i < serverCount; ++i) {
            m_servers.push_back(&addServer("i-" + std::to_string(i)));
            m_servers.back()->crashOnPart(deadlyPart);
        }
        writeConfiguration(3);
        for (const auto *entry : {"entry1", "entry2"}) {
            startEntry(entry);
            waitUntilReady(entry);
        }
    }

    /// Sends a request whose prompt has the given shared parts and a part of its own.
    HttpResponse send(const std::string &entry, const std::string &sharedParts,
                      const std::string &path = "/plain/x")
    {
        constexpr Milliseconds timeout{5'000};
        const auto number = std::to_string(++m_sent);
        return client.call(callers(entry),
                           {"POST",
                            path,
                            {{"Host", host},
                             {"X-Attempt-Id", "p" + number},
                             {"X-Deadline-Ms", "9000"},
                             {"X-Prompt-Prefix", sharedParts + ",e" + number + ":250"}},
                            "body " + number},
                           timeout);
    }
    /// Sends a request with the deadly part, and one without it but with all its other parts, and
    /// restarts the servers that crashed.
    unsigned sendBoth(unsigned round, const std::string &path = "/plain/x")
    {
        const std::string entry = round % 2 == 0 ? "entry1" : "entry2";
        const auto status
                = send(entry, "aaaa:200,bbbb:100," + std::string(deadlyPart) + ":50", path).status;
        (void)send(entry, "aaaa:200,bbbb:100", path);
        std::this_thread::sleep_for(restartDelay);
        m_crashes += restartCrashedServers();
        return status;
    }
    void crashUntilNoticed()
    {
        for (unsigned round = 0; round < 20 && m_crashes < crashesToNotice; ++round)
            sendBoth(round);
        std::this_thread::sleep_for(propagationTime);
    }
    /// Crashes each server that runs an item until there have been some crashes, or for `maxTime`;
    /// sound requests with other parts go on.
    void crashUnderItems(std::chrono::milliseconds maxTime)
    {
        const auto end = SteadyClock().now() + maxTime;
        for (unsigned round = 0; m_crashes < crashesToNotice && SteadyClock().now() < end;
             ++round) {
            // Goes on at another server if its own crashes under an item.
            const std::string entry = round % 2 == 0 ? "entry1" : "entry2";
            CHECK(send(entry, "aaaa:200,cccc:50", "/resume/x").status == 200);
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            m_crashes += restartCrashedServers();
        }
        for (auto *server : m_servers)
            server->crashOnPart("");
        restartCrashedServers();
    }
    [[nodiscard]] unsigned crashes() const { return m_crashes; }
    /// Number of requests with the deadly part that have reached servers.
    [[nodiscard]] unsigned deadlyRequests()
    {
        unsigned count = 0;
        for (auto *server : m_servers) {
            for (const auto &served : server->served()) {
                const auto parts = served.request.headers.value("X-Prompt-Prefix");
                count += parts.find(deadlyPart) != std::string::npos ? 1 : 0;
            }
        }
        return count;
    }

private:
    static constexpr unsigned serverCount = 6;

    std::vector<FakeServer *> m_servers;
    unsigned m_sent = 0;
    unsigned m_crashes = 0;
};

} // namespace

TEST_CASE("Different requests with a part that crashes servers are refused after five crashes",
          "[Platform]")
{
    PartDeployment deployment;
    deployment.crashUntilNoticed();
    const auto before = deployment.deadlyRequests();

    SECTION("at all processes, while requests with its other parts are served")
    {
        for (unsigned i = 0; i < laterAttempts; ++i) {
            deployment.sendBoth(i);
            CHECK(deployment.send(i % 2 == 0 ? "entry1" : "entry2", "aaaa:200,bbbb:100").status
                  == 200);
        }
        CHECK(deployment.deadlyRequests() - before <= maxLaterRequests);
    }
    SECTION("at once, with a promise that they have not run and a time to come back")
    {
        const auto response = deployment.send("entry1", "cccc:200,dead:50");
        CHECK(response.status == 503);
        CHECK_FALSE(response.headers.value("Retry-After").empty());
        CHECK(deployment.deadlyRequests() == before);
    }
    SECTION("at a process that started after the crashes")
    {
        deployment.startEntry("entry3");
        deployment.waitUntilReady("entry3");
        std::this_thread::sleep_for(propagationTime);
        for (unsigned i = 0; i < laterAttempts; ++i) {
            (void)deployment.send("entry3", "cccc:200,dead:50");
            deployment.restartCrashedServers();
        }
        CHECK(deployment.deadlyRequests() - before <= maxLaterRequests);
    }
    SECTION("on routes whose streams go on at other servers")
    {
        for (unsigned i = 0; i < laterAttempts; ++i)
            deployment.sendBoth(i, "/resume/x");
        CHECK(deployment.deadlyRequests() - before <= maxLaterRequests);
    }
    SECTION("as items of a job, which stay open")
    {
        REQUIRE(deployment
                        .submitWithParts(
                                "entry1", "j1",
                                {{"good", "aaaa:200,e1:10"}, {"bad", "aaaa:200,dead:50,e2:10"}})
                        .status
                == 202);
        const auto results = deployment.waitForResults("entry1", "j1", 1);
        CHECK(results.front().at("id") == "good");
        for (unsigned i = 0; i < laterAttempts; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
            deployment.restartCrashedServers();
        }
        CHECK(deployment.deadlyRequests() - before <= maxLaterRequests);
        CHECK(deployment.waitForResults("entry1", "j1", 1).size() == 1);
    }
}

TEST_CASE("Sound items under which servers crashed are completed once the crashes are over",
          "[Platform]")
{
    PartDeployment deployment;
    const auto job = [&](const std::string &entry, const std::string &name, unsigned items) {
        std::vector<PlatformDeployment::PromptItem> list;
        for (unsigned i = 0; i < items; ++i)
            list.push_back({name + std::to_string(i), "bbbb:100,dead:50," + name + ":10"});
        REQUIRE(deployment.submitWithParts(entry, name, list).status == 202);
    };
    job("entry1", "first", 1);
    deployment.crashUnderItems(std::chrono::milliseconds(5'000));
    CHECK(deployment.crashes() >= 4);

    job("entry2", "second", 5);
    CHECK(deployment.waitForResults("entry1", "first", 1).size() == 1);
    CHECK(deployment.waitForResults("entry2", "second", 5).size() == 5);
}
