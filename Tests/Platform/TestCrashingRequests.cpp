#include "PlatformDeployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

constexpr const char *crashingBody = "crash";
/// Crashes that the users allow one request before it must not be sent any more.
constexpr unsigned allowedCrashes = 3;
/// Time within which the users expect all processes to know (`contact_ms` of their deployments).
constexpr auto newsTime = std::chrono::milliseconds(3'000);
constexpr unsigned laterTries = 8;
/// How long a server stays away after a crash; in the users' deployments it is seconds.
constexpr auto downTime = std::chrono::milliseconds(500);

/// Two entry processes in front of six servers, which end when they begin to run one request.
class CrashingDeployment : public PlatformDeployment
{
public:
    explicit CrashingDeployment(CrashManner manner)
    {
        for (const auto *id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"})
            addServer(id).crashOn(crashingBody, manner);
        writeConfiguration(3);
        for (const auto *entry : {"entry1", "entry2"}) {
            startEntry(entry);
            waitUntilReady(entry);
        }
    }

    /// Sends the request once, and starts again what it has ended; returns the answer's status.
    unsigned sendCrashing(const std::string &entry, const std::string &path = "/plain/x")
    {
        m_sent += 1;
        // Callers leave streams that are silent for longer.
        constexpr Milliseconds patience{2'000};
        const auto answer = client.call(callers(entry),
                                        {"POST",
                                         path,
                                         {{"Host", host},
                                          {"X-Attempt-Id", "c" + std::to_string(m_sent)},
                                          {"X-Deadline-Ms", "9000"}},
                                         crashingBody},
                                        patience);
        std::this_thread::sleep_for(downTime);
        m_crashes += restartCrashedServers();
        return answer.status;
    }
    /// Sends it to all processes by turns until it has ended three servers.
    void crashThree()
    {
        for (unsigned i = 0; i < 20 && m_crashes < allowedCrashes; ++i)
            sendCrashing(i % 2 == 0 ? "entry1" : "entry2");
        REQUIRE(m_crashes == allowedCrashes);
        std::this_thread::sleep_for(newsTime);
    }
    /// Sends it on and on, and checks that no server ends under it any more.
    void checkRefused()
    {
        for (unsigned i = 0; i < laterTries; ++i)
            CHECK(sendCrashing(i % 2 == 0 ? "entry1" : "entry2") == 503);
        CHECK(m_crashes == allowedCrashes);
    }
    [[nodiscard]] unsigned crashes() const { return m_crashes; }

private:
    unsigned m_sent = 0;
    unsigned m_crashes = 0;
};

} // namespace

TEST_CASE("A request that ends each server that runs it ends three, and no more", "[Platform]")
{
    CrashingDeployment deployment(CrashManner::ConnectionsEnd);

    SECTION("sent again and again to all processes")
    {
        deployment.crashThree();
        deployment.checkRefused();

        SECTION("while all others are served")
        {
            for (const auto *entry : {"entry1", "entry2"}) {
                const auto answer = deployment.post(entry, "/plain/x", "hello", "a1");
                CHECK(answer.body == ServerStandin::answerBytes("hello"));
            }
        }
    }
    SECTION("sent to a process that was not there when it happened")
    {
        deployment.crashThree();
        deployment.startEntry("entry3");
        deployment.waitUntilReady("entry3");
        std::this_thread::sleep_for(newsTime);
        CHECK(deployment.sendCrashing("entry3") == 503);
        CHECK(deployment.crashes() == allowedCrashes);
    }
    SECTION("on a route whose streams go on at other servers")
    {
        for (unsigned i = 0; i < laterTries; ++i)
            deployment.sendCrashing(i % 2 == 0 ? "entry1" : "entry2", "/resume/x");
        CHECK(deployment.crashes() <= allowedCrashes);
    }
}

TEST_CASE("A request under which servers fall silent for good is sent to three, and no more",
          "[Platform]")
{
    CrashingDeployment deployment(CrashManner::Silence);

    SECTION("on a route whose calls run once")
    {
        deployment.crashThree();
        deployment.checkRefused();
    }
    SECTION("on a route whose streams go on at other servers")
    {
        for (unsigned i = 0; i < laterTries; ++i) {
            deployment.sendCrashing(i % 2 == 0 ? "entry1" : "entry2", "/resume/x");
            std::this_thread::sleep_for(newsTime);
        }
        CHECK(deployment.crashes() <= allowedCrashes);
    }
}
