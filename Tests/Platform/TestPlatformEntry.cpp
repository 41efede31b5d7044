#include "PlatformDeployment.h"

#include <Gateway/CallForwarder.h>
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

/// Passes calls on to the store, or refuses them as the store does when it turns a machine away.
class StoreGate
{
public:
    explicit StoreGate(const Endpoint &store)
        : m_store(store)
        , m_threads(*new FiberThreads(1)) // Its fibers run until the test program ends.
        , m_server(HttpServer::listen(m_threads, {"127.0.0.1", 0}, {},
                                      [state = m_state, store](HttpExchange &exchange) {
                                          const auto body = exchange.readBody();
                                          if (*state
                                              || !forwardCall(exchange, body.value(), store,
                                                              Milliseconds(30'000)))
                                              (void)exchange.respond({503, {}, ""});
                                      })
                           .takeValue())
    {
    }

    [[nodiscard]] Endpoint endpoint() const { return m_server->endpoint(); }
    void refuse(bool mustRefuse) { *m_state = mustRefuse; }

private:
    std::shared_ptr<std::atomic<bool>> m_state = std::make_shared<std::atomic<bool>>(false);
    Endpoint m_store;
    FiberThreads &m_threads;
    std::unique_ptr<HttpServer> m_server;
};

std::int64_t revisionOf(const std::string &fleet)
{
    return boost::json::parse(fleet).as_object().at("upstreamRevision").to_number<std::int64_t>();
}

std::size_t countOf(const std::string &text, const std::string &part)
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
        const auto answer = deployment.post("entry1", "/plain/x?y=z", "hello", "a1");
        CHECK(answer.status == 200);
        CHECK(answer.body == ServerStandin::answerBytes("hello"));
        CHECK(answer.headers.value("X-Response-Seal") == "seal-of-i-1");
        CHECK(answer.headers.value("X-Attempt-Id") == "a1");
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
    SECTION("and a server's own failure as well")
    {
        server.plan({ServerDeed::Fail});
        const auto answer = deployment.post("entry1", "/plain/x", "hello", "a1");
        CHECK(answer.status == 500);
        CHECK(answer.body == "failed");
        CHECK(answer.headers.value("X-Response-Seal") == "seal-of-i-1");
    }
    SECTION("Another server takes what one has not run")
    {
        auto &second = deployment.addServer("i-2");
        server.plan(std::vector<ServerDeed>(50, ServerDeed::Shed));
        CHECK(eventually([&] {
            const auto answer = deployment.post("entry1", "/plain/x", "hello", "a1");
            return answer.status == 200 && !second.served().empty();
        }));
    }
    SECTION("If no server runs it, the caller is told when to come back")
    {
        server.plan(std::vector<ServerDeed>(10, ServerDeed::Shed));
        const auto answer = deployment.post("entry1", "/plain/x", "hello", "a1");
        CHECK(answer.status == 503);
        CHECK_FALSE(answer.headers.value("Retry-After").empty());
        CHECK(answer.headers.value("X-Response-Seal").empty());
    }
    SECTION("What may have run is not sent again, and not said not to have run")
    {
        auto &second = deployment.addServer("i-2");
        server.plan({ServerDeed::BreakOff});
        second.plan({ServerDeed::BreakOff});
        const auto answer = deployment.post("entry1", "/plain/x", "hello", "a1");
        CHECK(answer.status == 0); // The connection ended before the answer did.
        CHECK(server.served().size() + second.served().size() == 1);
    }
    SECTION("A stream that may be resumed goes on at another server after a break")
    {
        auto &second = deployment.addServer("i-2");
        server.plan({ServerDeed::BreakOff});
        second.plan({ServerDeed::BreakOff});
        REQUIRE(eventually([&] {
            const auto answer = deployment.post("entry1", "/resume/x", "hello", "a1");
            CHECK(answer.body == ServerStandin::answerBytes("hello"));
            return !second.served().empty() && !server.served().empty();
        }));
        bool hasResumed = false;
        for (const auto *each : {&server, &second}) {
            for (const auto &served : const_cast<ServerStandin *>(each)->served())
                hasResumed |= served.request.headers.value("Last-Event-Id") == "1";
        }
        CHECK(hasResumed);
    }
    SECTION("A draining server gets nothing more")
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
    SECTION("An entry that cannot be read names no server, and harms no other")
    {
        deployment.store.write("servers", "i-9", boost::json::object{{"service", 7}});
        deployment.store.write("servers", "i-8", "text");
        deployment.store.write("servers", "i-7", nullptr);
        deployment.addServer("i-2");
        CHECK(deployment.post("entry1", "/plain/x", "hello", "a1").status == 200);
    }
    SECTION("What no route leads to is refused")
    {
        CHECK(deployment.post("entry1", "/other/x", "hello", "a1").status == 404);
        CHECK(server.served().empty());
    }
}

TEST_CASE("An entry process without a configuration asks its callers to come back", "[Platform]")
{
    PlatformDeployment deployment;
    deployment.startEntry("entry1");
    CHECK_FALSE(deployment.isReady("entry1"));
    const auto answer = deployment.post("entry1", "/plain/x", "hello", "a1");
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.headers.value("Retry-After").empty());

    SECTION("until the operator has written one")
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
    auto &trusting = deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");

    SECTION("One that starts while the store is out serves what the others know")
    {
        deployment.store.setMood(StoreMood::Silent);
        deployment.startEntry("entry2");
        deployment.waitUntilReady("entry2");
        CHECK(deployment.post("entry2", "/plain/x", "hello", "a1").status == 200);
        CHECK(server.served().size() == 1);
    }
    SECTION("What the store forgets of its history is listed anew")
    {
        deployment.store.dropHistory();
        deployment.store.remove("servers", "i-1");
        deployment.addServer("i-2");
        CHECK(eventually([&] {
            const auto answer = deployment.post("entry1", "/plain/x", "hello", "a1");
            return answer.headers.value("X-Response-Seal") == "seal-of-i-2";
        }));
    }
    SECTION("One that doubts a removal after an outage does not bring the server back elsewhere")
    {
        StoreGate gate(deployment.store.endpoint());
        auto &doubting = deployment.startEntry("entry2", {"--store=" + gate.endpoint().text()});
        deployment.waitUntilReady("entry2");
        gate.refuse(true);
        REQUIRE(eventually(
                [&] { return doubting.logText().find("store-lost") != std::string::npos; }));
        gate.refuse(false);
        REQUIRE(eventually(
                [&] { return doubting.logText().find("store-back") != std::string::npos; }));
        const auto before = revisionOf(deployment.fleetOf("entry2"));
        deployment.store.remove("servers", "i-1");
        std::string told;
        REQUIRE(eventually([&] {
            told = deployment.fleetOf("entry2");
            return revisionOf(told) > before;
        }));
        // What it tells its peers is what the store says, though it still uses the server itself.
        CHECK(told.find("servers/i-1") == std::string::npos);
        REQUIRE(eventually([&] { return countOf(trusting.logText(), "upstream-removed") == 1; }));
        REQUIRE(eventually([&] { return countOf(doubting.logText(), "upstream-removed") == 1; }));
        CHECK(countOf(trusting.logText(), "upstream-known") == 1);
    }
    SECTION("One that the store turns away has its calls made by another")
    {
        StoreGate gate(deployment.store.endpoint());
        deployment.startEntry("entry2", {"--store=" + gate.endpoint().text()});
        deployment.waitUntilReady("entry2");
        gate.refuse(true);
        // The first call shows that the store refuses; from then on a peer makes the calls.
        CHECK(eventually([&] { return deployment.submit("entry2", "job1", {"a"}).status == 202; }));
        CHECK(deployment.waitForResults("entry2", "job1", 1).size() == 1);
    }
    SECTION("All of them know a new configuration, though not all ask the store")
    {
        for (const auto *name : {"entry2", "entry3", "entry4", "entry5"})
            deployment.startEntry(name);
        for (const auto *name : {"entry2", "entry3", "entry4", "entry5"})
            deployment.waitUntilReady(name);
        deployment.addServer("i-2");
        deployment.store.remove("servers", "i-1");
        for (const auto *name : {"entry1", "entry2", "entry3", "entry4", "entry5"}) {
            CHECK(eventually([&] {
                const auto answer = deployment.post(name, "/plain/x", "hello", "a1");
                return answer.headers.value("X-Response-Seal") == "seal-of-i-2";
            }));
        }
    }
}

TEST_CASE("An entry process takes over settings at SIGHUP", "[Platform]")
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
    const auto logs = [&](const std::string &text) {
        return eventually([&] { return entry.logText().find(text) != std::string::npos; });
    };

    SECTION("It reports to a seed that is new")
    {
        boost::asio::io_context context;
        auto address = server.endpoint().address;
        address.replace(address.rfind('.') + 1, std::string::npos, "201");
        boost::asio::ip::udp::socket peer(
                context, {boost::asio::ip::make_address(address), PlatformDeployment::peerPort});
        reload(R"({"seeds":[")" + address + R"(:1"],"bounds":{"grace_s":8},"news":[]})");
        std::string datagram(65'000, '\0');
        CHECK(peer.receive(boost::asio::buffer(datagram)) > 0);
        CHECK(logs("seeds"));
    }
    SECTION("A file that cannot be used changes nothing")
    {
        reload(R"({"seeds":["nowhere"]})");
        CHECK(logs("settings-unreadable"));
        reload("{");
        CHECK(deployment.post("entry1", "/plain/x", "hello", "a1").status == 200);
    }
    SECTION("Nor does one that is gone")
    {
        std::filesystem::remove(file);
        entry.signal(SIGHUP);
        CHECK(logs("cannot be opened"));
        CHECK(deployment.post("entry1", "/plain/x", "hello", "a1").status == 200);
    }
    std::filesystem::remove(file);
}

TEST_CASE("A process that is told to stop finishes what it has", "[Platform]")
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
    CHECK(running.answer.get().body == ServerStandin::answerBytes("hello"));
    CHECK(entry.waitForEnd() == 0);
}

TEST_CASE("A process that is told to stop finishes the items that run", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &first = deployment.startEntry("entry1");
    deployment.startEntry("entry2");
    deployment.waitUntilReady("entry1");
    deployment.waitUntilReady("entry2");
    // Longer than the process waits for the platform's balancer, shorter than it may take to stop.
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

TEST_CASE("A server that says in its answers that it leaves gets nothing more", "[Platform]")
{
    PlatformDeployment deployment;
    auto &leaving = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    deployment.startEntry("entry1");
    deployment.startEntry("entry2");
    deployment.waitUntilReady("entry1");
    deployment.waitUntilReady("entry2");
    // The store still calls it ready.
    leaving.leave();
    CHECK(deployment.post("entry1", "/plain/x", "hello", "a0").status == 200);
    auto &second = deployment.addServer("i-2");
    const auto answer = [&](const std::string &entry, const std::string &id) {
        return deployment.post(entry, "/plain/x", "hello", id).status;
    };
    REQUIRE(eventually([&] { return answer("entry1", "a1") == 200; }));
    const auto before = leaving.served().size();

    SECTION("from the process that has heard it")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(answer("entry1", "b" + std::to_string(i)) == 200);
        CHECK(leaving.served().size() == before);
        CHECK(second.served().size() >= 20);
    }
    SECTION("nor from its peers")
    {
        REQUIRE(eventually([&] { return answer("entry2", "c") == 200; }));
        const auto afterNews = leaving.served().size();
        for (int i = 0; i < 20; ++i)
            CHECK(answer("entry2", "d" + std::to_string(i)) == 200);
        CHECK(leaving.served().size() == afterNews);
        CHECK(afterNews == before);
    }
    SECTION("nor while the store is out")
    {
        deployment.store.setMood(StoreMood::Refusing);
        for (int i = 0; i < 20; ++i)
            CHECK(answer("entry1", "e" + std::to_string(i)) == 200);
        CHECK(leaving.served().size() == before);
    }
}

TEST_CASE("A route's limit on waiting tokens holds over all entry processes", "[Platform]")
{
    // Without servers, all that is accepted waits.
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
        HttpResponse response;
        // A process that has just started says 503 until it knows its jobs.
        REQUIRE(eventually([&] {
            response = deployment.submit(entry, job, bodies);
            return response.status != 503;
        }));
        if (response.status == 202)
            accepted.push_back(job);
        else
            refused.push_back(response);
    }

    SECTION("What fits is accepted, and nothing beyond it")
    {
        CHECK(accepted.size() <= limit / jobTokens);
        CHECK(accepted.size() + 1 >= limit / jobTokens);
        for (const auto &response : refused) {
            CHECK(response.status == 429);
            CHECK(std::stod(response.headers.value("Retry-After")) >= 1);
        }

        SECTION("A job that has been accepted is not refused when it comes again")
        {
            for (const auto &job : accepted) {
                CHECK(deployment.submit("entry1", job, bodies).status == 202);
                CHECK(deployment.submit("entry2", job, bodies).status == 202);
            }
        }
        SECTION("What is ended makes room")
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
        SECTION("A process that takes jobs over counts them")
        {
            first.kill();
            const auto isFull = [&](int number) {
                const auto job = "later" + std::to_string(number);
                const auto status = deployment.submit("entry2", job, bodies).status;
                CHECK(status != 202);
            };
            // Until the jobs are taken over, and until the dead process's claim has lapsed.
            for (int i = 0; i < 20; ++i) {
                isFull(i);
                std::this_thread::sleep_for(Milliseconds(500));
            }
        }
        SECTION("A higher limit comes into force")
        {
            deployment.writeConfiguration(2, 10 * limit);
            CHECK(eventually(
                    [&] { return deployment.submit("entry2", "more", bodies).status == 202; }));
        }
    }
}

TEST_CASE("Batch jobs are run, whichever process is asked", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &first = deployment.startEntry("entry1");
    deployment.startEntry("entry2");
    deployment.waitUntilReady("entry1");
    deployment.waitUntilReady("entry2");

    SECTION("to whole results, at the same positions everywhere")
    {
        CHECK(deployment.submit("entry1", "job1", {"a", "b", "c"}).status == 202);
        CHECK(deployment.submit("entry2", "job1", {"a", "b", "c"}).status == 202);
        const auto results = deployment.waitForResults("entry1", "job1", 3);
        CHECK(itemsOf(results) == std::set<std::string>{"a", "b", "c"});
        for (const auto &result : results) {
            const std::string item(result.as_object().at("id").as_string());
            CHECK(result.as_object().at("state").as_string() == "completed");
            CHECK(result.as_object().at("output").as_string() == ServerStandin::answerData(item));
        }
        CHECK(deployment.waitForResults("entry2", "job1", 3) == results);
        CHECK(deployment.get("entry2", "/-/lots/job1?after=3").body.find("\"next\":3")
              != std::string::npos);

        SECTION("also once their owner is gone")
        {
            first.kill();
            CHECK(deployment.waitForResults("entry2", "job1", 3) == results);
        }
        SECTION("also once the store is out")
        {
            deployment.store.setMood(StoreMood::Refusing);
            CHECK(deployment.waitForResults("entry2", "job1", 3) == results);
            CHECK(deployment.submit("entry1", "job2", {"a"}).status == 503);
            CHECK(deployment.post("entry1", "/plain/x", "hello", "a1").status == 200);
        }
    }
    SECTION("The store's lost answers hold up no submission")
    {
        // By itself, the process would wait for the answer longer than it may try to write.
        deployment.startEntry("entry3", {"--store-timeout=20000"});
        deployment.waitUntilReady("entry3");
        deployment.store.setMood(StoreMood::Losing);
        CHECK(deployment.submit("entry3", "job1", {"a"}).status == 202);
        deployment.store.setMood(StoreMood::Sound);
        CHECK(deployment.waitForResults("entry2", "job1", 1).size() == 1);
    }
    SECTION("A run that breaks off goes on after the last event")
    {
        server.plan({ServerDeed::BreakOff, ServerDeed::BreakOff, ServerDeed::Shed});
        CHECK(deployment.submit("entry1", "job1", {"a"}).status == 202);
        const auto results = deployment.waitForResults("entry1", "job1", 1);
        CHECK(results[0].as_object().at("output").as_string() == ServerStandin::answerData("a"));
    }
    SECTION("An item under which servers crashed is still owed, and runs soon after")
    {
        server.crashOn("a");
        CHECK(deployment.submit("entry1", "job1", {"a"}).status == 202);
        for (int crash = 0; crash < 4; ++crash) {
            REQUIRE(eventually([&] { return server.isDown(); }));
            if (crash == 3)
                server.crashOn("");
            deployment.restartCrashedServers();
        }
        const auto calmSince = std::chrono::steady_clock::now();
        const auto results = deployment.waitForResults("entry1", "job1", 1);
        CHECK(results[0].as_object().at("state").as_string() == "completed");
        CHECK(std::chrono::steady_clock::now() - calmSince < std::chrono::seconds(5));
    }
    SECTION("An item that can never be done is given up, and holds up nothing")
    {
        server.plan({ServerDeed::Reject});
        CHECK(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
        const auto results = deployment.waitForResults("entry1", "job1", 2);
        int deadLetters = 0;
        for (const auto &result : results)
            deadLetters += result.as_object().at("state").as_string() == "dead_letter" ? 1 : 0;
        CHECK(deadLetters == 1);
    }
    SECTION("An item that fails each time is given up after as many runs as its route allows")
    {
        server.plan(std::vector<ServerDeed>(10, ServerDeed::Fail));
        CHECK(deployment.submit("entry1", "job1", {"a"}).status == 202);
        const auto results = deployment.waitForResults("entry1", "job1", 1);
        CHECK(results[0].as_object().at("state").as_string() == "dead_letter");
        CHECK(server.served().size() == 2);
    }
    SECTION("Bodies of items can be read back at any process")
    {
        server.setEventInterval(Milliseconds(200));
        CHECK(deployment.submit("entry1", "job1", {"a"}).status == 202);
        CHECK(deployment.get("entry1", "/-/items/job1?id=a").body == "a");
        CHECK(deployment.get("entry2", "/-/items/job1?id=a").body == "a");
        CHECK(deployment.get("entry2", "/-/items/job1?id=x").status == 404);
        CHECK(deployment.get("entry2", "/-/items/job9?id=a").status == 404);
        CHECK(deployment.get("entry2", "/-/lots/job9?after=0").status == 404);
    }
    SECTION("Nothing of a job is started once it has been ended")
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
    SECTION("A job outlives its owner")
    {
        server.setEventInterval(Milliseconds(300));
        CHECK(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
        first.kill();
        server.setEventInterval(Milliseconds(2));
        const auto results = deployment.waitForResults("entry2", "job1", 2);
        CHECK(itemsOf(results) == std::set<std::string>{"a", "b"});
    }
    SECTION("What is no job is refused")
    {
        CHECK(deployment.post("entry1", "/batch/job1", "{\"items\":[]}", "job1").status == 400);
        CHECK(deployment.post("entry1", "/batch/job1", "no JSON", "job1").status == 400);
        CHECK(deployment.post("entry1", "/batch/job1", std::string(200'000, ' '), "job1").status
              == 413);
        CHECK(deployment.store.count("radishplank-jobs") == 0);
    }
}
