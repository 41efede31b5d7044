#include "PlatformDeployment.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

// Guards against accepted jobs that no process runs.
TEST_CASE("A job whose write takes effect after its process was killed runs once it is accepted",
          "[Platform]")
{
    constexpr Milliseconds timeUntilKill{200};
    /// By then, the peers of a killed process have looked for its jobs.
    constexpr Milliseconds takeoverTime{5'500};

    PlatformDeployment deployment;
    deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &first = deployment.startEntry("entry1");
    deployment.startEntry("entry2");
    for (const auto *entry : {"entry1", "entry2"})
        deployment.waitUntilReady(entry);
    Milliseconds writeDelay{1'500};
    std::string replacement = "entry1";
    SECTION("although the process has restarted before that") {}
    SECTION("although another process has replaced it by then")
    {
        writeDelay = takeoverTime;
        replacement = "entry3";
    }
    deployment.store.delayWrites("radishplank-jobs", writeDelay);
    std::thread submission([&] { (void)deployment.submit("entry1", "job1", {"a", "b"}); });
    std::this_thread::sleep_for(timeUntilKill);
    first.kill();
    submission.join();
    deployment.store.delayWrites("", Milliseconds(0));
    deployment.startEntry(replacement);
    deployment.waitUntilReady(replacement);
    std::this_thread::sleep_for(writeDelay);

    REQUIRE(deployment.store.count("radishplank-jobs") == 1);
    REQUIRE(deployment.submit("entry2", "job1", {"a", "b"}).status == 202);
    CHECK(deployment.waitForResults("entry2", "job1", 2).size() == 2);
}
