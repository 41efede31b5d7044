#include "../Platform/PlatformDeployment.h"
#include "ClientCrowd.h"
#include "CrowdPlans.h"
#include "ProcessUsage.h"

#include <Net/Net.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace Radishplank;
using namespace Radishplank::Test;
namespace json = boost::json;

namespace {

constexpr std::uint16_t controlPort = 21'363;
constexpr const char *entryName = "entry1";
/// A body of an ordinary caller, of the larger ones.
constexpr std::size_t ordinaryBodyBytes = 700'000;

HttpServerLimits serverLimits()
{
    HttpServerLimits limits;
    limits.bodyBytes = 2 * maxBodyBytes;
    return limits;
}

/// An entry process in front of a server that answers each call with a short stream.
class CrowdedEntry
{
public:
    CrowdedEntry()
        : m_threads(*new FiberThreads(1)) // Leaked: its fibers run until the test program exits.
        , m_server(HttpServer::listen(m_threads, {deployment.freeAddress(), 0}, serverLimits(),
                                      [](HttpExchange &exchange) { answer(exchange); })
                           .takeValue())
    {
        deployment.registerAt("i-1", m_server->endpoint(), "ready");
        json::array routes;
        for (const auto *type : {"streaming", "batch"}) {
            routes.push_back(json::object{{"name", type},
                                          {"host", PlatformDeployment::host},
                                          {"path_prefix", std::string("/") + type + "/"},
                                          {"route_type", type},
                                          {"service", "assist"},
                                          {"timeout_ms", 10'000},
                                          {"target_latency_ms", 5'000},
                                          {"gap_aim_ms", 200},
                                          {"max_attempts", 1},
                                          {"completion_target_ms", 18'000},
                                          {"max_wait_s", 60},
                                          {"priority", 0}});
        }
        deployment.store.write(
                "config", "main",
                json::object{{"version", 1},
                             {"routes", std::move(routes)},
                             {"services", json::array{}},
                             {"limits", json::object{{"max_header_bytes", 16'384},
                                                     {"max_body_bytes", maxBodyBytes},
                                                     {"header_timeout_ms", 10'000},
                                                     {"idle_timeout_ms", 60'000}}}});
        m_process = &deployment.startEntry(
                entryName,
                {"--memory-limit=" + std::to_string(memoryLimitMegabytes),
                 "--descriptor-limit=" + std::to_string(descriptorLimit), "--value-bytes=8388608"});
        deployment.waitUntilReady(entryName);
    }

    /// Lets the crowd send, and checks the process while the crowd's connections stay open.
    void withstand(const Endpoint &target, const CrowdPlan &plan)
    {
        ProcessUsage usage(m_process->id());
        ClientCrowd crowd(target, plan);
        crowd.run([&] { usage.sample(target); });
        // The process may be slower than the crowd.
        CHECK(eventually([&] { return usage.sample(target) == 0 || !m_process->isRunning(); }));
        const auto ordinary = deployment.post(entryName, "/streaming/x",
                                              std::string(ordinaryBodyBytes, 'o'), "ordinary");
        usage.sample(target);
        INFO(describeCrowd(crowd, usage));
        CHECK(m_process->isRunning());
        CHECK(usage.peakMemory() + usage.peakUnreadBytes() <= memoryLimitBytes);
        CHECK(usage.peakDescriptors() <= descriptorLimit);
        CHECK(ordinary.status == 200);
    }

    [[nodiscard]] Endpoint callers() const { return deployment.callers(entryName); }
    [[nodiscard]] Endpoint control() const { return {callers().address, controlPort}; }

    PlatformDeployment deployment;

private:
    static void answer(HttpExchange &exchange)
    {
        const auto body = exchange.readBody();
        if (body.isError())
            return;
        (void)exchange.beginStream(
                200, {{"X-Attempt-Id", exchange.request().headers.value("X-Attempt-Id")},
                      {"X-Response-Seal", "seal"},
                      {"X-Weight-Versions", "1"},
                      {"Content-Type", "text/event-stream"}});
        (void)exchange.writeStream("id: 1\ndata: received " + std::to_string(body.value().size())
                                   + "\n\n");
        (void)exchange.endStream();
    }

    FiberThreads &m_threads;
    std::unique_ptr<HttpServer> m_server;
    Process *m_process = nullptr;
};

constexpr const char *callHead = "POST /streaming/x HTTP/1.1\r\nHost: shop.example\r\n"
                                 "X-Model: m\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 9000\r\n";
/// A peer's call to the store, which an entry process forwards.
constexpr const char *peerHead = "PUT /-/objects/x/y HTTP/1.1\r\nHost: peer\r\n";

} // namespace

// The tests guard against clients that end the process or lock everybody else out: an entry process
// exceeded the memory of its machine although the sum of its bodies was limited.

TEST_CASE("An entry process withstands large bodies at the callers' port that stop just short")
{
    CrowdedEntry entry;
    SECTION("sent piece by piece")
    {
        entry.withstand(entry.callers(), bodiesInPieces(callHead));
    }
    SECTION("sent whole")
    {
        entry.withstand(entry.callers(), wholeBodies(callHead));
    }
}

TEST_CASE("An entry process withstands chunked bodies at the callers' port that stop just short")
{
    CrowdedEntry entry;
    SECTION("in large chunks")
    {
        entry.withstand(entry.callers(), largeChunks(callHead));
    }
    SECTION("in very small chunks")
    {
        entry.withstand(entry.callers(), smallChunks(callHead));
    }
}

TEST_CASE("An entry process withstands trailers without end")
{
    CrowdedEntry entry;
    SECTION("at the callers' port")
    {
        entry.withstand(entry.callers(), endlessTrailers(callHead));
    }
    SECTION("at the control port")
    {
        entry.withstand(entry.control(), endlessTrailers(peerHead));
    }
}

TEST_CASE("An entry process withstands large bodies at the control port that stop just short")
{
    CrowdedEntry entry;
    SECTION("sent piece by piece")
    {
        entry.withstand(entry.control(), bodiesInPieces(peerHead));
    }
    SECTION("sent whole")
    {
        entry.withstand(entry.control(), wholeBodies(peerHead));
    }
    SECTION("in large chunks")
    {
        entry.withstand(entry.control(), largeChunks(peerHead));
    }
    SECTION("in very small chunks")
    {
        entry.withstand(entry.control(), smallChunks(peerHead));
    }
}

TEST_CASE("An entry process withstands more connections than it has descriptors for")
{
    CrowdedEntry entry;
    SECTION("idle at the callers' port")
    {
        entry.withstand(entry.callers(), idleConnections(""));
    }
    SECTION("that stop within a head")
    {
        entry.withstand(entry.callers(), idleConnections("GET "));
    }
    SECTION("idle at the control port")
    {
        entry.withstand(entry.control(), idleConnections(""));
    }
}

// Limits that keep crowds out must not refuse what a single client may send.
TEST_CASE("A single body of the legal size is served by an entry process with little memory")
{
    CrowdedEntry entry;
    SECTION("as a call")
    {
        const auto response = entry.deployment.post(entryName, "/streaming/x",
                                                    std::string(maxBodyBytes, 'x'), "large");
        CHECK(response.status == 200);
        CHECK(response.body.find("received " + std::to_string(maxBodyBytes)) != std::string::npos);
    }
    SECTION("as a job")
    {
        constexpr std::size_t itemCount = 40;
        json::array items;
        for (std::size_t i = 0; i < itemCount; ++i) {
            items.push_back(json::object{{"id", "item" + std::to_string(i)},
                                         {"path", "/batch/x"},
                                         {"headers", json::object{{"X-Model", "m"}}},
                                         {"body", encodeBase64(std::string(70'000, 'x'))},
                                         {"token_count", 10}});
        }
        const auto response = entry.deployment.post(
                entryName, "/batch/job1",
                json::serialize(json::object{{"items", std::move(items)}}), "job1");
        INFO(response.body);
        CHECK(response.status == 202);
    }
}
