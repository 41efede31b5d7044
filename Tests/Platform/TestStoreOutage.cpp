#include "PlatformDeployment.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

TEST_CASE("A watch that the store lost in an outage hides no later change", "[Platform]")
{
    // The platform's time limits.
    constexpr Milliseconds stableTime{3'000};
    constexpr Milliseconds drainTime{2'500};
    constexpr Milliseconds configurationTime{2'500};

    PlatformDeployment deployment;
    auto &leaving = deployment.addServer("i-1");
    auto &staying = deployment.addServer("i-2");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    const auto postStatus
            = [&] { return deployment.post("entry1", "/plain/x", "hello", "a1").status; };
    REQUIRE(eventually([&] {
        CHECK(postStatus() == 200);
        return !leaving.served().empty() && !staying.served().empty();
    }));
    deployment.store.setBehaviour(StoreBehaviour::Unresponsive);
    std::this_thread::sleep_for(Milliseconds(1'000));
    deployment.store.setBehaviour(StoreBehaviour::Normal);
    std::this_thread::sleep_for(stableTime);

    SECTION("A draining server receives no further calls")
    {
        deployment.registerServer(leaving, "draining");
        std::this_thread::sleep_for(drainTime);
        const auto before = leaving.served().size();
        for (int i = 0; i < 20; ++i)
            CHECK(postStatus() == 200);
        CHECK(leaving.served().size() == before);
    }
    SECTION("A new configuration comes into force")
    {
        deployment.writeConfiguration(2);
        std::this_thread::sleep_for(configurationTime);
        CHECK(deployment.fleetOf("entry1").find("\\\"version\\\":2") != std::string::npos);
    }
}
