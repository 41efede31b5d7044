#include "../Net/RepeatingServer.h"
#include "PlatformDeployment.h"

#include <catch2/catch.hpp>
#include <map>
#include <mutex>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

/// Counts how often a server runs each request.
class RunCounts
{
public:
    unsigned add(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return ++m_runs[id];
    }
    unsigned of(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs[id];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
};

std::string response(const std::string &status, const std::string &id, const std::string &headers,
                     const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusal(const std::string &status, const std::string &id)
{
    return response(status, id, "X-Not-Executed: 1\r\n", "");
}

std::string stream(const std::string &id, const std::string &body)
{
    return response("200 OK", id, "X-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n",
                    body);
}

void startEntryBefore(PlatformDeployment &deployment, const std::string &id,
                      const RepeatingServer &server)
{
    deployment.registerAt(id, server.endpoint(), "ready");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
}

} // namespace

TEST_CASE("A call runs once at a server that restarted under another id and repeats its refusals",
          "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = FakeServer::responseBytes("hello");
    RunCounts runs;
    // The list still has the id of an earlier start at the same address.
    RepeatingServer server(deployment.freeAddress(), [&](const std::string &head) {
        const auto id = RepeatingServer::fieldOf(head, "X-Attempt-Id");
        if (RepeatingServer::fieldOf(head, "X-Expect-Instance") != "i-now")
            return refusal("421 Misdirected", id);
        runs.add(id);
        return stream(id, whole);
    });
    startEntryBefore(deployment, "i-now", server);

    // Each call is sent to the id of the earlier start first with a probability of one half.
    constexpr int calls = 7;
    for (int call = 0; call < calls; ++call) {
        const auto earlier = "i-earlier-" + std::to_string(call);
        deployment.registerAt(earlier, server.endpoint(), "ready");
        REQUIRE(eventually(
                [&] { return deployment.fleetOf("entry1").find(earlier) != std::string::npos; }));
        const auto id = "call" + std::to_string(call);
        const auto answer = deployment.post("entry1", "/plain/x", "hello", id);
        CHECK(answer.status == 200);
        CHECK(answer.body == whole);
        CHECK(runs.of(id) == 1);
        deployment.store.remove("servers", earlier);
    }
}

TEST_CASE("An item that a server refused is not taken for refused again while it runs",
          "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = FakeServer::responseBytes("item");
    RunCounts requests;
    RunCounts runs;
    RepeatingServer server(deployment.freeAddress(), [&](const std::string &head) {
        const auto id = RepeatingServer::fieldOf(head, "X-Attempt-Id");
        if (requests.add(id) == 1)
            return refusal("503 Full", id);
        runs.add(id);
        return stream(id, whole);
    });
    startEntryBefore(deployment, "i-1", server);
    REQUIRE(deployment.submit("entry1", "job1", {"item"}).status == 202);
    REQUIRE(deployment.waitForResults("entry1", "job1", 1).size() == 1);
    CHECK(runs.of("item") == 1);
}

TEST_CASE("A resumed stream goes on at one server although a refusal is repeated", "[Platform]")
{
    PlatformDeployment deployment;
    const auto whole = FakeServer::responseBytes("hello");
    const auto firstEvent = FakeServer::eventBytes("hello", 1);
    RunCounts requests;
    RunCounts resumptions;
    RepeatingServer server(deployment.freeAddress(), [&](const std::string &head) {
        const auto id = RepeatingServer::fieldOf(head, "X-Attempt-Id");
        const auto request = requests.add(id);
        // The first run breaks off inside its second event.
        if (request == 1)
            return stream(id, firstEvent + "id: 2\ndata");
        if (request == 2)
            return refusal("503 Full", id);
        resumptions.add(id);
        return stream(id, whole.substr(firstEvent.size()));
    });
    startEntryBefore(deployment, "i-1", server);
    const auto answer = deployment.post("entry1", "/resume/x", "hello", "call1");
    CHECK(answer.status == 200);
    CHECK(answer.body == whole);
    CHECK(resumptions.of("call1") == 1);
}
