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

/// Two entry processes in front of six servers, which end when they begin to run one request.
class CrashingDeployment : public PlatformDeployment
{
public:
    CrashingDeployment()
    {
        for (const auto *id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"})
            addServer(id).crashOn(crashingBody);
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
        const auto answer = post(entry, path, crashingBody, "c" + std::to_string(m_sent));
        m_crashes += restartCrashedServers();
        return answer.status;
    }
    /// Sends it to all processes by turns until it has ended three servers.
    void crashThree()
    {
        for (unsigned i = 0; i < 20 && m_crashes < allowedCrashes; ++i) {
            sendCrashing(i % 2 == 0 ? "entry1" : "entry2");
            // Crashes at one moment would look like one cause.
            std::this_thread::sleep_for(std::chrono::milliseconds(400));
        }
        REQUIRE(m_crashes == allowedCrashes);
        std::this_thread::sleep_for(newsTime);
    }
    [[nodiscard]] unsigned crashes() const { return m_crashes; }

private:
    unsigned m_sent = 0;
    unsigned m_crashes = 0;
};

} // namespace

TEST_CASE("A request that ends each server that runs it ends three, and no more", "[Platform]")
{
    CrashingDeployment deployment;

    SECTION("sent again and again to all processes")
    {
        deployment.crashThree();
        for (unsigned i = 0; i < laterTries; ++i)
            CHECK(deployment.sendCrashing(i % 2 == 0 ? "entry1" : "entry2") == 503);
        CHECK(deployment.crashes() == allowedCrashes);

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
        for (unsigned i = 0; i < laterTries; ++i) {
            deployment.sendCrashing(i % 2 == 0 ? "entry1" : "entry2", "/resume/x");
            std::this_thread::sleep_for(std::chrono::milliseconds(400));
        }
        CHECK(deployment.crashes() <= allowedCrashes);
    }
}
