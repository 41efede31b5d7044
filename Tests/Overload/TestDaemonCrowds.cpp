#include "../Integration/Deployment.h"
#include "ClientCrowd.h"
#include "CrowdPlans.h"
#include "ProcessUsage.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

constexpr std::size_t ordinaryBodyBytes = 700'000;

/// An entry process and an agent of radishplankd on small machines, and a service.
class CrowdedDaemons
{
public:
    CrowdedDaemons()
    {
        ::setenv("RADISHPLANK_MEMORY_LIMIT", std::to_string(memoryLimitMegabytes).c_str(), 1);
        ::setenv("RADISHPLANK_DESCRIPTOR_LIMIT", std::to_string(descriptorLimit).c_str(), 1);
        AgentOptions options;
        options.pool = "booking";
        options.kind = "service";
        deployment.addAgent("agent1", options);
        deployment.addEntry("entry1");
        ::unsetenv("RADISHPLANK_MEMORY_LIMIT");
        ::unsetenv("RADISHPLANK_DESCRIPTOR_LIMIT");
        deployment.putObject("owners/lotka",
                             R"({"tokenDigest":")" + sha256Hex(Deployment::token) + R"("})");
        deployment.putObject("entries/lotka/booking", R"({"pool":"booking","kind":"service"})");
        REQUIRE(eventually([&] { return book(100).status == 200; }));
    }

    /// Lets the crowd send, and checks the process while the crowd's connections stay open.
    void withstand(Process &process, const Endpoint &target, const CrowdPlan &plan)
    {
        ProcessUsage usage(process.id());
        ClientCrowd crowd(target, plan);
        crowd.run([&] { usage.sample(target); });
        // The process may be slower than the crowd.
        CHECK(eventually([&] { return usage.sample(target) == 0 || !process.isRunning(); }));
        const auto ordinary = book(ordinaryBodyBytes);
        usage.sample(target);
        INFO(describeCrowd(crowd, usage));
        INFO(ordinary.body.substr(0, 200));
        CHECK(process.isRunning());
        CHECK(usage.peakMemory() + usage.peakUnreadBytes() <= memoryLimitBytes);
        CHECK(usage.peakDescriptors() <= descriptorLimit);
        CHECK(ordinary.status == 200);
    }

    void withstandAtEntry(const CrowdPlan &plan)
    {
        withstand(*deployment.entry("entry1").process, deployment.entry("entry1").callers, plan);
    }

    void withstandAtAgent(const CrowdPlan &plan)
    {
        withstand(*deployment.agent("agent1").process, deployment.agent("agent1").data, plan);
    }

    HttpResponse book(std::size_t bytes)
    {
        return deployment.call("entry1", booking(std::string(bytes, 'o')));
    }

    Deployment deployment;
};

std::string callHead()
{
    return std::string("POST /services/booking/book HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ")
           + Deployment::token + "\r\n";
}

/// An attempt without the cluster's secret, as a client outside the fleet sends it.
constexpr const char *foreignAttemptHead = "POST /attempts/crowd HTTP/1.1\r\nHost: x\r\n";
constexpr const char *attemptHead = "POST /attempts/crowd HTTP/1.1\r\nHost: x\r\n"
                                    "Radishplank-Secret: secret-of-the-cluster\r\n";

} // namespace

// The tests guard against clients that end the process or lock everybody else out with bytes that
// the limits on single requests allow.

TEST_CASE("An entry process of radishplankd withstands crowds at the callers' port")
{
    CrowdedDaemons daemons;
    SECTION("large bodies piece by piece")
    {
        daemons.withstandAtEntry(bodiesInPieces(callHead()));
    }
    SECTION("large bodies sent whole")
    {
        daemons.withstandAtEntry(wholeBodies(callHead()));
    }
    SECTION("large chunks")
    {
        daemons.withstandAtEntry(largeChunks(callHead()));
    }
    SECTION("very small chunks")
    {
        daemons.withstandAtEntry(smallChunks(callHead()));
    }
    SECTION("trailers without end")
    {
        daemons.withstandAtEntry(endlessTrailers(callHead()));
    }
    SECTION("idle connections")
    {
        daemons.withstandAtEntry(idleConnections(""));
    }
}

TEST_CASE("An agent withstands crowds at the data port")
{
    CrowdedDaemons daemons;
    SECTION("large bodies piece by piece")
    {
        daemons.withstandAtAgent(bodiesInPieces(attemptHead));
    }
    SECTION("large bodies without the secret")
    {
        daemons.withstandAtAgent(bodiesInPieces(foreignAttemptHead));
    }
    SECTION("large chunks")
    {
        daemons.withstandAtAgent(largeChunks(attemptHead));
    }
    SECTION("very small chunks")
    {
        daemons.withstandAtAgent(smallChunks(attemptHead));
    }
    SECTION("trailers without end")
    {
        daemons.withstandAtAgent(endlessTrailers(attemptHead));
    }
    SECTION("idle connections")
    {
        daemons.withstandAtAgent(idleConnections(""));
    }
}

TEST_CASE("A single body of the legal size is served by daemons with little memory")
{
    CrowdedDaemons daemons;
    CHECK(daemons.book(maxBodyBytes).status == 200);
}
