#include "../Platform/PlatformDeployment.h"
#include "ProcessUsage.h"

#include <Batch/Batch.h>

#include <catch2/catch.hpp>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

/// A job that almost fills an object of the store.
SmallJob largeJob(const std::string &id, const NodeId &owner)
{
    constexpr std::size_t items = 10;
    constexpr std::size_t itemBytes = 70'000;
    SmallJob job{id, PlatformDeployment::host, "/batch/" + id, owner, "", unixMilliseconds(), {}};
    for (std::size_t i = 0; i < items; ++i)
        job.items.push_back(
                {id + "-" + std::to_string(i), "/batch/x", {}, std::string(itemBytes, 'x'), 10});
    return job;
}

} // namespace

// Guards against processes that read the jobs of the whole fleet into their memory.
TEST_CASE("A process that looks for its jobs does not hold those of others", "[Overload]")
{
    /// Memory of the platform's smallest machine for an entry process.
    constexpr std::size_t maxMemoryBytes = std::size_t{88} * 1024 * 1024;
    constexpr std::size_t jobs = 120;
    constexpr Milliseconds peerDiscoveryTime{5'000};

    PlatformDeployment deployment;
    deployment.writeConfiguration(1);
    for (std::size_t i = 0; i < jobs; ++i) {
        const auto job = largeJob("job" + std::to_string(i), NodeId("entry2"));
        deployment.store.write("radishplank-jobs", job.id, boost::json::value(serialize(job)));
    }
    auto &owner = deployment.startEntry("entry2");
    REQUIRE(eventually([&] {
        return owner.logText().find("job\":\"job" + std::to_string(jobs - 1)) != std::string::npos;
    }));
    auto &entry = deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    std::this_thread::sleep_for(peerDiscoveryTime);

    CHECK(ProcessUsage(entry.id()).peakMemory() < maxMemoryBytes);
    CHECK(entry.logText().find("job-adopted") == std::string::npos);
}
