#include "../Net/RawClient.h"
#include "PlatformDeployment.h"

#include <Gateway/CallForwarder.h>
#include <Serving/Serving.h>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>
#include <unistd.h>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

std::set<std::string> itemsOf(const boost::json::array &results)
{
    std::set<std::string> items;
    for (const auto &result : results)
        items.insert(std::string(result.as_object().at("id").as_string()));
    return items;
}

/// Forwards calls to the store, or refuses them as the store does when it rejects a machine.
class StoreProxy
{
public:
    explicit StoreProxy(const Endpoint &store)
        : m_store(store)
        , m_threads(*new FiberThreads(1)) // Leaked: its fibers run until the process exits.
        , m_server(HttpServer::listen(m_threads, {"127.0.0.1", 0}, {},
                                      [isRefusing = m_isRefusing, store](HttpExchange &exchange) {
                                          const auto body = exchange.readBody();
                                          if (*isRefusing
                                              || !forwardCall(exchange, body.value(), store,
                                                              Milliseconds(30'000)))
                                              (void)exchange.respond({503, {}, ""});
                                      })
                           .takeValue())
    {
    }

    [[nodiscard]] Endpoint endpoint() const { return m_server->endpoint(); }
    void refuse(bool mustRefuse) { *m_isRefusing = mustRefuse; }

private:
    std::shared_ptr<std::atomic<bool>> m_isRefusing = std::make_shared<std::atomic<bool>>(false);
    Endpoint m_store;
    FiberThreads &m_threads;
    std::unique_ptr<HttpServer> m_server;
};

std::int64_t revisionOf(const std::string &fleet)
{
    return boost::json::parse(fleet).as_object().at("upstreamRevision").to_number<std::int64_t>();
}

std::size_t countOccurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        count += 1;
    return count;
}

} // namespace

TEST_CASE("Streams pass through an entry process", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(3);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");

    SECTION("unchanged")
    {
        const auto response = deployment.post("entry1", "/plain/x?y=z", "hello", "a1");
        CHECK(response.status == 200);
        CHECK(response.body == FakeServer::responseBytes("hello"));
        CHECK(response.headers.value("X-Response-Seal") == "seal-of-i-1");
        CHECK(response.headers.value("X-Attempt-Id") == "a1");
        const auto served = server.served();
        REQUIRE(served.size() == 1);
        const auto &request = served[0].request;
        CHECK(request.method == "POST");
        CHECK(request.target == "/plain/x?y=z");
        CHECK(request.body == "hello");
        CHECK(request.headers.value("Host") == PlatformDeployment::host);
        CHECK(request.headers.value("X-Attempt-Id") == "a1");
        CHECK(request.headers.value("X-Model") == "m");
        CHECK(request.headers.value("X-Expect-Instance") == "i-1");
        const auto left = std::stoi(request.headers.value("X-Deadline-Ms"));
        CHECK(left > 5'000);
        CHECK(left <= 9'000);
    }
    SECTION("including a server's own error response")
    {
        server.planActions({ServerAction::Fail});
        const auto response = deployment.post("entry1", "/plain/x", "hello", "a1");
        CHECK(response.status == 500);
        CHECK(response.body == "failed");
        CHECK(response.headers.value("X-Response-Seal") == "seal-of-i-1");
    }
    SECTION("A call that one server did not run is sent to another")
    {
        auto &second = deployment.addServer("i-2");
        server.planActions(std::vector<ServerAction>(50, ServerAction::Shed));
        CHECK(eventually([&] {
            const auto response = deployment.post("entry1", "/plain/x", "hello", "a1");
            return response.status == 200 && !second.served().empty();
        }));
    }
    SECTION("If no server runs a call, the caller gets a Retry-After")
    {
        server.planActions(std::vector<ServerAction>(10, ServerAction::Shed));
        const auto response = deployment.post("entry1", "/plain/x", "hello", "a1");
        CHECK(response.status == 503);
        CHECK_FALSE(response.headers.value("Retry-After").empty());
        CHECK(response.headers.value("X-Response-Seal").empty());
    }
    SECTION("A call that may have run is not retried, and not reported as not run")
    {
        auto &second = deployment.addServer("i-2");
        server.planActions({ServerAction::CloseMidStream});
        second.planActions({ServerAction::CloseMidStream});
        const auto response = deployment.post("entry1", "/plain/x", "hello", "a1");
        CHECK(response.status == 0); // The connection closed before the response was complete.
        CHECK(server.served().size() + second.served().size() == 1);
    }
    SECTION("A status that promises that the call has not run is not passed on without proof")
    {
        server.planActions({ServerAction::FailAsBusy});
        const auto response = deployment.post("entry1", "/plain/x", "hello", "a1");
        CHECK(response.status == 502);
        CHECK(response.headers.value("X-Response-Seal").empty());
        CHECK(response.headers.value("Retry-After").empty());
        CHECK(server.served().size() == 1);
    }
    SECTION("A call that may run again is sent to another server after such a status")
    {
        auto &second = deployment.addServer("i-2");
        server.planActions({ServerAction::FailAsBusy});
        second.planActions({ServerAction::FailAsBusy});
        REQUIRE(eventually([&] {
            const auto response = deployment.post("entry1", "/resume/x", "hello", "a1");
            CHECK(response.status == 200);
            CHECK(response.body == FakeServer::responseBytes("hello"));
            return !second.served().empty() && !server.served().empty();
        }));
    }
    SECTION("A resumable stream continues at another server after a lost connection")
    {
        auto &second = deployment.addServer("i-2");
        server.planActions({ServerAction::CloseMidStream});
        second.planActions({ServerAction::CloseMidStream});
        REQUIRE(eventually([&] {
            const auto response = deployment.post("entry1", "/resume/x", "hello", "a1");
            CHECK(response.body == FakeServer::responseBytes("hello"));
            return !second.served().empty() && !server.served().empty();
        }));
        bool hasResumed = false;
        for (const auto *each : {&server, &second}) {
            for (const auto &served : const_cast<FakeServer *>(each)->served())
                hasResumed |= served.request.headers.value("Last-Event-Id") == "1";
        }
        CHECK(hasResumed);
    }
    SECTION("An error of the server that a stream moves to does not become part of the stream")
    {
        for (const auto action : {ServerAction::Fail, ServerAction::Reject}) {
            server.planActions({ServerAction::CloseMidStream, action, action});
            const auto response = deployment.post("entry1", "/resume/x", "hello", "a1");
            CHECK(response.status == 0); // The connection closed before the response was complete.
            CHECK(response.body.find("failed") == std::string::npos);
            CHECK(response.body.find("HTTP/1.1") == std::string::npos);
        }
    }
    SECTION("A draining server receives no further calls")
    {
        auto &second = deployment.addServer("i-2");
        deployment.registerServer(server, "draining");
        REQUIRE(eventually([&] {
            const auto before = server.served().size();
            for (int i = 0; i < 6; ++i)
                (void)deployment.post("entry1", "/plain/x", "hello", "a1");
            return server.served().size() == before && !second.served().empty();
        }));
    }
    SECTION("An entry that cannot be decoded is ignored, and does not affect other servers")
    {
        deployment.store.write("servers", "i-9", boost::json::object{{"service", 7}});
        deployment.store.write("servers", "i-8", "text");
        deployment.store.write("servers", "i-7", nullptr);
        deployment.addServer("i-2");
        CHECK(deployment.post("entry1", "/plain/x", "hello", "a1").status == 200);
    }
    SECTION("A call that matches no route is refused")
    {
        CHECK(deployment.post("entry1", "/other/x", "hello", "a1").status == 404);
        CHECK(server.served().empty());
    }
}

TEST_CASE("An entry process without a configuration asks its callers to retry", "[Platform]")
{
    PlatformDeployment deployment;
    deployment.startEntry("entry1");
    CHECK_FALSE(deployment.isReady("entry1"));
    const auto response = deployment.post("entry1", "/plain/x", "hello", "a1");
    CHECK(response.status == 503);
    CHECK_FALSE(response.headers.value("Retry-After").empty());

    SECTION("until the operator writes a configuration")
    {
        deployment.addServer("i-1");
        deployment.writeConfiguration(1);
        deployment.waitUntilReady("entry1");
        CHECK(eventually([&] {
            return deployment.post("entry1", "/plain/x", "hello", "a1").status == 200;
        }));
    }
}

TEST_CASE("Entry processes learn from each other", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &unaffected = deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");

    SECTION("A process that starts during an outage of the store gets routes and upstreams from a "
            "peer")
    {
        deployment.store.setBehaviour(StoreBehaviour::Unresponsive);
        deployment.startEntry("entry2");
        deployment.waitUntilReady("entry2");
        CHECK(deployment.post("entry2", "/plain/x", "hello", "a1").status == 200);
        CHECK(server.served().size() == 1);
    }
    SECTION("Objects are listed again after the store drops its history")
    {
        deployment.store.dropHistory();
        deployment.store.remove("servers", "i-1");
        deployment.addServer("i-2");
        CHECK(eventually([&] {
            const auto response = deployment.post("entry1", "/plain/x", "hello", "a1");
            return response.headers.value("X-Response-Seal") == "seal-of-i-2";
        }));
    }
    SECTION("A process gets only the changes that it lacks from a peer")
    {
        const auto stateSince = [&](std::int64_t revision) {
            return boost::json::parse(
                           deployment.fleetOf("entry1", "?since=" + std::to_string(revision)))
                    .as_object();
        };
        const auto before = revisionOf(deployment.fleetOf("entry1"));
        deployment.addServer("i-2");
        boost::json::object state;
        REQUIRE(eventually([&] {
            state = stateSince(before);
            return state.at("upstreams").as_array().size() == 1;
        }));
        CHECK(state.at("upstreams").as_array()[0].at("key") == "servers/i-2");
        deployment.store.remove("servers", "i-2");
        REQUIRE(eventually([&] {
            state = stateSince(before);
            return !state.at("removed").as_array().empty();
        }));
        CHECK(state.at("removed").as_array()[0] == "servers/i-2");
        CHECK(state.at("upstreams").as_array().empty());

        SECTION("and everything if the peer does not know its revision")
        {
            CHECK_FALSE(stateSince(1).contains("since"));
            CHECK(stateSince(1).at("upstreams").as_array().size() == 1);
            CHECK_FALSE(stateSince(before + 1'000).contains("since"));
        }
    }
    SECTION("In a large fleet, a process that the store rejects learns of changes from a peer")
    {
        for (unsigned i = 0; i < 80; ++i) {
            deployment.store.write("radishplank-members", "silent" + std::to_string(i),
                                   R"({"zone":"z9","datagrams":"127.9.9.9:9"})");
        }
        StoreProxy proxy(deployment.store.endpoint());
        deployment.startEntry("entry2", {"--store=" + proxy.endpoint().text()});
        deployment.waitUntilReady("entry2");
        proxy.refuse(true);
        for (const auto *id : {"i-2", "i-3"}) {
            deployment.addServer(id);
            CHECK(eventually(
                    [&] { return deployment.fleetOf("entry2").find(id) != std::string::npos; }));
        }
        deployment.store.remove("servers", "i-2");
        CHECK(eventually([&] {
            return deployment.fleetOf("entry2").find("servers/i-2") == std::string::npos;
        }));
        CHECK(deployment.fleetOf("entry2").find("servers/i-3") != std::string::npos);
    }
    SECTION("A removal that one process defers after an outage is not undone at its peers")
    {
        StoreProxy proxy(deployment.store.endpoint());
        auto &deferring = deployment.startEntry("entry2", {"--store=" + proxy.endpoint().text()});
        deployment.waitUntilReady("entry2");
        proxy.refuse(true);
        REQUIRE(eventually(
                [&] { return deferring.logText().find("store-lost") != std::string::npos; }));
        proxy.refuse(false);
        REQUIRE(eventually(
                [&] { return deferring.logText().find("store-back") != std::string::npos; }));
        const auto before = revisionOf(deployment.fleetOf("entry2"));
        deployment.store.remove("servers", "i-1");
        std::string fleetState;
        REQUIRE(eventually([&] {
            fleetState = deployment.fleetOf("entry2");
            return revisionOf(fleetState) > before;
        }));
        // The deferring process serves the state of the store to its peers, though it still uses
        // the server itself.
        CHECK(fleetState.find("servers/i-1") == std::string::npos);
        REQUIRE(eventually(
                [&] { return countOccurrences(unaffected.logText(), "upstream-removed") == 1; }));
        REQUIRE(eventually(
                [&] { return countOccurrences(deferring.logText(), "upstream-removed") == 1; }));
        CHECK(countOccurrences(unaffected.logText(), "upstream-known") == 1);
    }
    SECTION("A peer proxies store calls for a process that the store rejects")
    {
        StoreProxy proxy(deployment.store.endpoint());
        deployment.startEntry("entry2", {"--store=" + proxy.endpoint().text()});
        deployment.waitUntilReady("entry2");
        proxy.refuse(true);
        // The first call shows that the store refuses; a peer proxies all later calls.
        CHECK(eventually([&] { return deployment.submit("entry2", "job1", {"a"}).status == 202; }));
        CHECK(deployment.waitForResults("entry2", "job1", 1).size() == 1);
    }
    SECTION("All processes learn of changes, though not all watch the store")
    {
        for (const auto *name : {"entry2", "entry3", "entry4", "entry5"})
            deployment.startEntry(name);
        for (const auto *name : {"entry2", "entry3", "entry4", "entry5"})
            deployment.waitUntilReady(name);
        deployment.addServer("i-2");
        deployment.store.remove("servers", "i-1");
        for (const auto *name : {"entry1", "entry2", "entry3", "entry4", "entry5"}) {
            CHECK(eventually([&] {
                const auto response = deployment.post(name, "/plain/x", "hello", "a1");
                return response.headers.value("X-Response-Seal") == "seal-of-i-2";
            }));
        }
    }
}

TEST_CASE("The processes of a large fleet find each other through relays", "[.large]")
{
    // Real processes, as the models of reports have no sockets and no members in the store.
    constexpr unsigned count = 70;
    PlatformDeployment deployment;
    for (unsigned i = 1; i <= 120; ++i)
        deployment.addServer("i-" + std::to_string(i));
    deployment.writeConfiguration(1);
    const auto nameOf = [](unsigned number) { return "entry" + std::to_string(number); };
    std::vector<Process *> processes;
    for (unsigned i = 1; i <= count; ++i) {
        const std::string zone = i % 2 == 0 ? "north-a" : "south-a";
        processes.push_back(&deployment.startEntry(nameOf(i), {"--zone=" + zone}));
    }
    for (unsigned i = 1; i <= count; ++i)
        deployment.waitUntilReady(nameOf(i));
    for (unsigned i = 1; i <= count; ++i) {
        const auto response
                = deployment.post(nameOf(i), "/plain/x", "hello", "a" + std::to_string(i));
        CHECK(response.status == 200);
    }
    for (auto *process : processes) {
        CHECK(eventually(
                [&] { return countOccurrences(process->logText(), "peer-heard") >= count - 1; }));
    }
    CHECK(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
    for (const auto *reader : {"entry2", "entry3", "entry70"})
        CHECK(deployment.waitForResults(reader, "job1", 2).size() == 2);
    deployment.addServer("i-200");
    for (unsigned i = 1; i <= count; ++i) {
        CHECK(eventually(
                [&] { return deployment.fleetOf(nameOf(i)).find("i-200") != std::string::npos; }));
    }
    processes[9]->kill();
    for (unsigned i = 0; i < count; ++i) {
        if (i != 9)
            CHECK(eventually([&] {
                return processes[i]->logText().find("peer-silent") != std::string::npos;
            }));
    }
    // Only the process that was killed counts as dead.
    for (unsigned i = 0; i < count; ++i)
        CHECK(countOccurrences(processes[i]->logText(), "peer-silent") <= 1);
}

TEST_CASE("An entry process reloads its settings at SIGHUP", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    const auto file = std::filesystem::temp_directory_path()
                      / ("radishplank-settings-" + std::to_string(::getpid()));
    auto &entry = deployment.startEntry("entry1", {"--settings=" + file.string()});
    deployment.waitUntilReady("entry1");
    const auto reload = [&](const std::string &text) {
        std::ofstream(file) << text;
        entry.signal(SIGHUP);
    };
    const auto waitForLog = [&](const std::string &text) {
        return eventually([&] { return entry.logText().find(text) != std::string::npos; });
    };

    SECTION("It sends reports to a new seed")
    {
        boost::asio::io_context context;
        auto address = server.endpoint().address;
        address.replace(address.rfind('.') + 1, std::string::npos, "201");
        boost::asio::ip::udp::socket peer(
                context, {boost::asio::ip::make_address(address), PlatformDeployment::peerPort});
        reload(R"({"seeds":[")" + address + R"(:1"],"bounds":{"grace_s":8},"news":[]})");
        std::string datagram(65'000, '\0');
        CHECK(peer.receive(boost::asio::buffer(datagram)) > 0);
        CHECK(waitForLog("seeds"));
    }
    SECTION("An invalid file changes nothing")
    {
        reload(R"({"seeds":["nowhere"]})");
        CHECK(waitForLog("settings-unreadable"));
        reload("{");
        CHECK(deployment.post("entry1", "/plain/x", "hello", "a1").status == 200);
    }
    SECTION("A missing file changes nothing")
    {
        std::filesystem::remove(file);
        entry.signal(SIGHUP);
        CHECK(waitForLog("cannot be opened"));
        CHECK(deployment.post("entry1", "/plain/x", "hello", "a1").status == 200);
    }
    std::filesystem::remove(file);
}

TEST_CASE("A process finishes the calls in flight after SIGTERM", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &entry = deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    server.setEventInterval(Milliseconds(100));
    const auto running
            = deployment.client.start(deployment.callers("entry1"),
                                      {"POST",
                                       "/plain/x",
                                       {{"Host", PlatformDeployment::host}, {"X-Attempt-Id", "a1"}},
                                       "hello"});
    REQUIRE(eventually([&] { return !server.served().empty(); }));
    entry.signal(SIGHUP);
    entry.signal(SIGTERM);
    REQUIRE(eventually([&] { return !deployment.isReady("entry1"); }));
    CHECK(deployment.post("entry1", "/plain/x", "more", "a2").status == 200);
    CHECK(running.answer.get().body == FakeServer::responseBytes("hello"));
    CHECK(entry.waitForEnd() == 0);
}

TEST_CASE("A call that arrives late in a planned stop is refused instead of cut off", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &entry = deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    // A stream takes 4.5 s of the 5 s that its caller allows.
    server.setEventInterval(Milliseconds(900));
    entry.signal(SIGTERM);
    std::vector<RunningCall> calls;
    for (unsigned i = 0; i < 10; ++i) {
        calls.push_back(deployment.client.start(deployment.callers("entry1"),
                                                {"POST",
                                                 "/plain/x",
                                                 {{"Host", PlatformDeployment::host},
                                                  {"X-Attempt-Id", "a" + std::to_string(i)},
                                                  {"X-Deadline-Ms", "5000"}},
                                                 "hello"}));
        std::this_thread::sleep_for(std::chrono::milliseconds(340));
    }
    unsigned refused = 0;
    for (auto &call : calls) {
        const auto response = call.answer.get();
        const bool isWhole = response.body == FakeServer::responseBytes("hello");
        CHECK((response.status == 503 || isWhole));
        refused += response.status == 503 ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(server.served().size() == calls.size() - refused);
    CHECK(entry.waitForEnd() == 0);
}

TEST_CASE("A call that arrives as a stopping process exits is not cut off", "[Platform]")
{
    struct Caller
    {
        std::string attempt;
        std::unique_ptr<RawClient> connection;
    };
    // The calls begin at the end of the wait for load balancers, a little later at each process.
    constexpr Milliseconds firstDelay{2};
    constexpr Milliseconds delayStep{9};
    constexpr unsigned processCount = 4;
    constexpr unsigned callsPerProcess = 10;
    constexpr Milliseconds callInterval{6};
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    std::vector<Process *> processes;
    for (unsigned i = 0; i < processCount; ++i)
        processes.push_back(&deployment.startEntry("entry" + std::to_string(i)));
    for (unsigned i = 0; i < processCount; ++i)
        deployment.waitUntilReady("entry" + std::to_string(i));
    // Streams of 70 ms.
    server.setEventInterval(Milliseconds(14));

    std::vector<std::thread> threads;
    std::vector<std::vector<Caller>> callers(processCount);
    std::vector<std::vector<std::string>> answers(processCount);
    for (unsigned i = 0; i < processCount; ++i) {
        threads.emplace_back([&, i] {
            processes[i]->signal(SIGTERM);
            const auto closesAt = SteadyClock().now() + StopSchedule::balancerUpdateTime;
            std::this_thread::sleep_until(closesAt - Milliseconds(2'000));
            for (unsigned call = 0; call < callsPerProcess; ++call) {
                const auto attempt = "a" + std::to_string(i) + "-" + std::to_string(call);
                const auto address = deployment.callers("entry" + std::to_string(i));
                callers[i].push_back({attempt, std::make_unique<RawClient>(address)});
            }
            auto nextAt = closesAt + firstDelay + delayStep * i;
            for (auto &caller : callers[i]) {
                std::this_thread::sleep_until(nextAt);
                nextAt += callInterval;
                (void)caller.connection->send(
                        "POST /plain/x HTTP/1.1\r\nHost: " + std::string(PlatformDeployment::host)
                        + "\r\nX-Attempt-Id: " + caller.attempt
                        + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 5\r\n\r\nhello");
            }
            for (auto &caller : callers[i])
                answers[i].push_back(caller.connection->readToEnd().value_or(""));
        });
    }
    for (auto &thread : threads)
        thread.join();
    std::set<std::string> served;
    for (const auto &request : server.served())
        served.insert(request.request.headers.value("X-Attempt-Id"));
    unsigned wholeAnswers = 0;
    for (unsigned i = 0; i < processCount; ++i) {
        for (unsigned call = 0; call < callsPerProcess; ++call) {
            CAPTURE(callers[i][call].attempt, answers[i][call]);
            const bool isWhole = answers[i][call].ends_with("0\r\n\r\n");
            CHECK((isWhole || !served.contains(callers[i][call].attempt)));
            wholeAnswers += isWhole ? 1 : 0;
        }
        CHECK(processes[i]->waitForEnd() == 0);
    }
    CHECK(wholeAnswers > 0);
}

TEST_CASE("A stopping process answers what it cannot finish before its exit cuts it off",
          "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    std::string stopTime = "8";
    std::string request = "POST /plain/x HTTP/1.1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 5\r\n";
    Milliseconds sentAfter{2'400};
    std::string answer;
    SECTION("a call whose body is still coming")
    {
        answer = "HTTP/1.1 503";
    }
    SECTION("a job whose body is still coming")
    {
        request = "POST /batch/job1 HTTP/1.1\r\nX-Attempt-Id: job1\r\nContent-Length: 500\r\n";
        answer = "HTTP/1.1 503";
    }
    SECTION("a call without a route whose body is still coming")
    {
        request = "POST /nowhere HTTP/1.1\r\nContent-Length: 500\r\n";
        answer = "HTTP/1.1 404";
    }
    SECTION("a read that waits for results")
    {
        stopTime = "3";
        sentAfter = Milliseconds(1'500);
        request = "GET /-/lots/open HTTP/1.1\r\nX-Wait-Ms: 5000\r\n";
        answer = "HTTP/1.1 503";
    }
    auto &entry = deployment.startEntry("entry1", {"--stop-time=" + stopTime});
    deployment.waitUntilReady("entry1");
    // Its item runs longer than the process.
    server.setEventInterval(std::chrono::seconds(3));
    REQUIRE(deployment.submit("entry1", "open", {"a"}).status == 202);
    entry.signal(SIGTERM);
    std::this_thread::sleep_for(sentAfter);
    RawClient client(deployment.callers("entry1"));
    REQUIRE(client.send(request + "Host: " + PlatformDeployment::host + "\r\n\r\n"));
    const auto received = client.readToEnd().value_or("");
    CAPTURE(received);
    CHECK(received.starts_with(answer));
    CHECK(entry.waitForEnd() == 0);
}

TEST_CASE("A process finishes the running items after SIGTERM", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &first = deployment.startEntry("entry1");
    deployment.startEntry("entry2");
    deployment.waitUntilReady("entry1");
    deployment.waitUntilReady("entry2");
    // A run takes longer than the wait for the platform's load balancer, and less than the stop
    // time.
    server.setEventInterval(Milliseconds(950));
    CHECK(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
    REQUIRE(eventually([&] { return server.served().size() == 2; }));
    first.signal(SIGTERM);
    REQUIRE(eventually([&] { return !deployment.isReady("entry1"); }));
    CHECK(deployment.submit("entry1", "job2", {"c"}).status == 503);
    CHECK(first.waitForEnd() == 0);
    CHECK(deployment.waitForResults("entry2", "job1", 2).size() == 2);
    CHECK(server.served().size() == 2);
}

TEST_CASE("A server that announces in its responses that it leaves receives no further calls",
          "[Platform]")
{
    PlatformDeployment deployment;
    auto &leaving = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.startEntry("entry2");
    deployment.waitUntilReady("entry1");
    deployment.waitUntilReady("entry2");
    // Its entry in the store is still ready.
    leaving.announceLeaving();
    CHECK(deployment.post("entry1", "/plain/x", "hello", "a0").status == 200);
    auto &second = deployment.addServer("i-2");
    const auto postStatus = [&](const std::string &entry, const std::string &id) {
        return deployment.post(entry, "/plain/x", "hello", id).status;
    };
    REQUIRE(eventually([&] { return postStatus("entry1", "a1") == 200; }));
    const auto before = leaving.served().size();

    SECTION("from the process that received the announcement")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(postStatus("entry1", "b" + std::to_string(i)) == 200);
        CHECK(leaving.served().size() == before);
        CHECK(second.served().size() >= 20);
    }
    SECTION("nor from its peers")
    {
        REQUIRE(eventually([&] { return postStatus("entry2", "c") == 200; }));
        const auto afterPropagation = leaving.served().size();
        for (int i = 0; i < 20; ++i)
            CHECK(postStatus("entry2", "d" + std::to_string(i)) == 200);
        CHECK(leaving.served().size() == afterPropagation);
        CHECK(afterPropagation == before);
    }
    SECTION("nor during an outage of the store")
    {
        deployment.store.setBehaviour(StoreBehaviour::Refusing);
        for (int i = 0; i < 20; ++i)
            CHECK(postStatus("entry1", "e" + std::to_string(i)) == 200);
        CHECK(leaving.served().size() == before);
    }
}

TEST_CASE("A route's limit on waiting tokens applies across all entry processes", "[Platform]")
{
    // Without servers, all accepted jobs wait.
    PlatformDeployment deployment;
    constexpr unsigned limit = 200;
    const std::vector<std::string> bodies{"a", "b", "c", "d", "e"};
    constexpr unsigned jobTokens = 50;
    deployment.writeConfiguration(1, limit);
    auto &first = deployment.startEntry("entry1");
    deployment.startEntry("entry2");
    deployment.waitUntilReady("entry1");
    deployment.waitUntilReady("entry2");

    std::vector<std::string> accepted;
    std::vector<HttpResponse> refused;
    for (int i = 0; i < 12; ++i) {
        const auto job = "job" + std::to_string(i);
        const auto entry = i % 2 == 0 ? "entry1" : "entry2";
        HttpResponse submitResponse;
        // A process that has just started answers 503 until it has loaded its jobs.
        REQUIRE(eventually([&] {
            submitResponse = deployment.submit(entry, job, bodies);
            return submitResponse.status != 503;
        }));
        if (submitResponse.status == 202)
            accepted.push_back(job);
        else
            refused.push_back(submitResponse);
    }

    SECTION("Jobs are accepted up to the limit, and refused beyond it")
    {
        CHECK(accepted.size() <= limit / jobTokens);
        CHECK(accepted.size() + 1 >= limit / jobTokens);
        for (const auto &submitResponse : refused) {
            CHECK(submitResponse.status == 429);
            CHECK(std::stod(submitResponse.headers.value("Retry-After")) >= 1);
        }

        SECTION("A repeated submission of an accepted job is not refused")
        {
            for (const auto &job : accepted) {
                CHECK(deployment.submit("entry1", job, bodies).status == 202);
                CHECK(deployment.submit("entry2", job, bodies).status == 202);
            }
        }
        SECTION("Ending jobs frees capacity")
        {
            for (const auto &job : accepted) {
                const auto ended = deployment.client.call(
                        deployment.callers("entry1"),
                        {"DELETE", "/-/lots/" + job, {{"Host", PlatformDeployment::host}}, ""});
                CHECK(ended.status == 200);
            }
            CHECK(eventually(
                    [&] { return deployment.submit("entry2", "more", bodies).status == 202; }));
        }
        SECTION("A process counts the jobs that it takes over")
        {
            first.kill();
            const auto checkRefused = [&](int number) {
                const auto job = "later" + std::to_string(number);
                const auto status = deployment.submit("entry2", job, bodies).status;
                CHECK(status != 202);
            };
            // Covers the takeover of the jobs, and the expiry of the dead process's claim.
            for (int i = 0; i < 20; ++i) {
                checkRefused(i);
                std::this_thread::sleep_for(Milliseconds(500));
            }
        }
        SECTION("A higher limit takes effect")
        {
            deployment.writeConfiguration(2, 10 * limit);
            CHECK(eventually(
                    [&] { return deployment.submit("entry2", "more", bodies).status == 202; }));
        }
    }
}

TEST_CASE("A job that exceeds the size of an object in the store is refused for good", "[Platform]")
{
    PlatformDeployment deployment;
    deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    deployment.store.limitValues(2'000);
    CHECK(deployment.submit("entry1", "job1", {std::string(2'000, 'x')}).status == 413);
    CHECK(deployment.submit("entry1", "job2", {"a"}).status == 202);
    CHECK(deployment.waitForResults("entry1", "job2", 1).size() == 1);
}

TEST_CASE("Batch jobs run and can be read at any process", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &first = deployment.startEntry("entry1");
    deployment.startEntry("entry2");
    deployment.waitUntilReady("entry1");
    deployment.waitUntilReady("entry2");

    SECTION("with complete results, at the same positions at all processes")
    {
        CHECK(deployment.submit("entry1", "job1", {"a", "b", "c"}).status == 202);
        CHECK(deployment.submit("entry2", "job1", {"a", "b", "c"}).status == 202);
        const auto results = deployment.waitForResults("entry1", "job1", 3);
        CHECK(itemsOf(results) == std::set<std::string>{"a", "b", "c"});
        for (const auto &result : results) {
            const std::string item(result.as_object().at("id").as_string());
            CHECK(result.as_object().at("state").as_string() == "completed");
            CHECK(result.as_object().at("output").as_string() == FakeServer::responseData(item));
        }
        CHECK(deployment.waitForResults("entry2", "job1", 3) == results);
        CHECK(deployment.get("entry2", "/-/lots/job1?after=3").body.find("\"next\":3")
              != std::string::npos);

        SECTION("also after their owner is gone")
        {
            first.kill();
            CHECK(deployment.waitForResults("entry2", "job1", 3) == results);
        }
        SECTION("also during an outage of the store")
        {
            deployment.store.setBehaviour(StoreBehaviour::Refusing);
            CHECK(deployment.waitForResults("entry2", "job1", 3) == results);
            CHECK(deployment.submit("entry1", "job2", {"a"}).status == 503);
            CHECK(deployment.post("entry1", "/plain/x", "hello", "a1").status == 200);
        }
    }
    SECTION("A lost response of the store does not delay a submission")
    {
        // The timeout of the call to the store is longer than the time for the write of a job.
        deployment.startEntry("entry3", {"--store-timeout=20000"});
        deployment.waitUntilReady("entry3");
        deployment.store.setBehaviour(StoreBehaviour::DroppingWriteResponses);
        CHECK(deployment.submit("entry3", "job1", {"a"}).status == 202);
        deployment.store.setBehaviour(StoreBehaviour::Normal);
        CHECK(deployment.waitForResults("entry2", "job1", 1).size() == 1);
    }
    SECTION("An interrupted run resumes after the last event")
    {
        server.planActions(
                {ServerAction::CloseMidStream, ServerAction::CloseMidStream, ServerAction::Shed});
        CHECK(deployment.submit("entry1", "job1", {"a"}).status == 202);
        const auto results = deployment.waitForResults("entry1", "job1", 1);
        CHECK(results[0].as_object().at("output").as_string() == FakeServer::responseData("a"));
    }
    SECTION("An item that crashed servers is still run, soon after the crashes end")
    {
        server.crashOn("a");
        CHECK(deployment.submit("entry1", "job1", {"a"}).status == 202);
        for (int crash = 0; crash < 4; ++crash) {
            REQUIRE(eventually([&] { return server.isDown(); }));
            if (crash == 3)
                server.crashOn("");
            deployment.restartCrashedServers();
        }
        const auto lastRestart = std::chrono::steady_clock::now();
        const auto results = deployment.waitForResults("entry1", "job1", 1);
        CHECK(results[0].as_object().at("state").as_string() == "completed");
        CHECK(std::chrono::steady_clock::now() - lastRestart < std::chrono::seconds(5));
    }
    SECTION("An item that can never succeed is given up, and does not block others")
    {
        server.planActions({ServerAction::Reject});
        CHECK(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
        const auto results = deployment.waitForResults("entry1", "job1", 2);
        int deadLetters = 0;
        for (const auto &result : results)
            deadLetters += result.as_object().at("state").as_string() == "dead_letter" ? 1 : 0;
        CHECK(deadLetters == 1);
    }
    SECTION("An item that always fails is given up after the number of runs that its route allows")
    {
        server.planActions(std::vector<ServerAction>(10, ServerAction::Fail));
        CHECK(deployment.submit("entry1", "job1", {"a"}).status == 202);
        const auto results = deployment.waitForResults("entry1", "job1", 1);
        CHECK(results[0].as_object().at("state").as_string() == "dead_letter");
        CHECK(server.served().size() == 2);
    }
    SECTION("Bodies of items can be read at any process")
    {
        server.setEventInterval(Milliseconds(200));
        CHECK(deployment.submit("entry1", "job1", {"a"}).status == 202);
        CHECK(deployment.get("entry1", "/-/items/job1?id=a").body == "a");
        CHECK(deployment.get("entry2", "/-/items/job1?id=a").body == "a");
        CHECK(deployment.get("entry2", "/-/items/job1?id=x").status == 404);
        CHECK(deployment.get("entry2", "/-/items/job9?id=a").status == 404);
        CHECK(deployment.get("entry2", "/-/lots/job9?after=0").status == 404);
    }
    SECTION("No item of a job is started after the job was ended")
    {
        server.setEventInterval(Milliseconds(100));
        CHECK(deployment.submit("entry1", "job1", {"a", "b", "c", "d", "e", "f", "g"}).status
              == 202);
        REQUIRE(eventually([&] { return !server.served().empty(); }));
        const auto ended = deployment.client.call(
                deployment.callers("entry2"),
                {"DELETE", "/-/lots/job1", {{"Host", PlatformDeployment::host}}, ""});
        CHECK(ended.status == 200);
        REQUIRE(eventually([&] {
            const auto before = server.served().size();
            std::this_thread::sleep_for(std::chrono::milliseconds(700));
            return server.served().size() == before;
        }));
        CHECK(server.served().size() < 7);
    }
    SECTION("A job survives the loss of its owner")
    {
        server.setEventInterval(Milliseconds(300));
        CHECK(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
        first.kill();
        server.setEventInterval(Milliseconds(2));
        const auto results = deployment.waitForResults("entry2", "job1", 2);
        CHECK(itemsOf(results) == std::set<std::string>{"a", "b"});
    }
    SECTION("An invalid job is refused")
    {
        CHECK(deployment.post("entry1", "/batch/job1", "{\"items\":[]}", "job1").status == 400);
        CHECK(deployment.post("entry1", "/batch/job1", "no JSON", "job1").status == 400);
        CHECK(deployment.post("entry1", "/batch/job1", std::string(200'000, ' '), "job1").status
              == 413);
        CHECK(deployment.store.count("radishplank-jobs") == 0);
    }
}
