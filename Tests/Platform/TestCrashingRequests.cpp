#include "PlatformDeployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

constexpr const char *crashingBody = "crash";
/// Number of crashes after which a request must not be sent to any server.
constexpr unsigned maxCrashes = 3;
/// Time within which all processes must know of a crash (`contact_ms` of the users' deployments).
constexpr auto propagationTime = std::chrono::milliseconds(3'000);
constexpr unsigned laterAttempts = 8;
/// How long a server stays down after a crash; in the users' deployments it is seconds.
constexpr auto downTime = std::chrono::milliseconds(500);

/// Two entry processes in front of six servers that crash when they begin to run a certain request.
class CrashingDeployment : public PlatformDeployment
{
public:
    explicit CrashingDeployment(CrashMode mode)
    {
        for (const auto *id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"})
            addServer(id).crashOn(crashingBody, mode);
        writeConfiguration(3);
        for (const auto *entry : {"entry1", "entry2"}) {
            startEntry(entry);
            waitUntilReady(entry);
        }
    }

    /// Sends the crashing request once, restarts the servers that crashed, and returns the status
    /// of the response.
    unsigned sendCrashing(const std::string &entry, const std::string &path = "/plain/x")
    {
        m_sent += 1;
        // Callers abandon streams that are silent for longer.
        constexpr Milliseconds timeout{2'000};
        const auto response = client.call(callers(entry),
                                          {"POST",
                                           path,
                                           {{"Host", host},
                                            {"X-Attempt-Id", "c" + std::to_string(m_sent)},
                                            {"X-Deadline-Ms", "9000"}},
                                           crashingBody},
                                          timeout);
        std::this_thread::sleep_for(downTime);
        m_crashes += restartCrashedServers();
        return response.status;
    }
    /// Sends the crashing request to the two processes in turn until it has crashed three servers.
    void crashUntilBlocked()
    {
        for (unsigned i = 0; i < 20 && m_crashes < maxCrashes; ++i)
            sendCrashing(i % 2 == 0 ? "entry1" : "entry2");
        REQUIRE(m_crashes == maxCrashes);
        std::this_thread::sleep_for(propagationTime);
    }
    /// Keeps sending the crashing request, and checks that it is refused and crashes no server.
    void checkRefused()
    {
        for (unsigned i = 0; i < laterAttempts; ++i)
            CHECK(sendCrashing(i % 2 == 0 ? "entry1" : "entry2") == 503);
        CHECK(m_crashes == maxCrashes);
    }
    [[nodiscard]] unsigned crashes() const { return m_crashes; }

private:
    unsigned m_sent = 0;
    unsigned m_crashes = 0;
};

} // namespace

TEST_CASE("A request that crashes every server that runs it crashes at most three servers",
          "[Platform]")
{
    CrashingDeployment deployment(CrashMode::CloseConnections);

    SECTION("when sent repeatedly to all processes")
    {
        deployment.crashUntilBlocked();
        deployment.checkRefused();

        SECTION("while other requests are served")
        {
            for (const auto *entry : {"entry1", "entry2"}) {
                const auto response = deployment.post(entry, "/plain/x", "hello", "a1");
                CHECK(response.body == FakeServer::responseBytes("hello"));
            }
        }
    }
    SECTION("when sent to a process that started after the crashes")
    {
        deployment.crashUntilBlocked();
        deployment.startEntry("entry3");
        deployment.waitUntilReady("entry3");
        std::this_thread::sleep_for(propagationTime);
        CHECK(deployment.sendCrashing("entry3") == 503);
        CHECK(deployment.crashes() == maxCrashes);
    }
    SECTION("on a route whose streams go on at other servers")
    {
        for (unsigned i = 0; i < laterAttempts; ++i)
            deployment.sendCrashing(i % 2 == 0 ? "entry1" : "entry2", "/resume/x");
        CHECK(deployment.crashes() <= maxCrashes);
    }
}

TEST_CASE("A request that makes servers unresponsive is sent to at most three servers",
          "[Platform]")
{
    CrashingDeployment deployment(CrashMode::StopResponding);

    SECTION("on a route whose calls run once")
    {
        deployment.crashUntilBlocked();
        deployment.checkRefused();
    }
    SECTION("on a route whose streams go on at other servers")
    {
        for (unsigned i = 0; i < laterAttempts; ++i) {
            deployment.sendCrashing(i % 2 == 0 ? "entry1" : "entry2", "/resume/x");
            std::this_thread::sleep_for(propagationTime);
        }
        CHECK(deployment.crashes() <= maxCrashes);
    }
}
