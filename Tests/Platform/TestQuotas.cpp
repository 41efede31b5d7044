#include "PlatformDeployment.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <numeric>
#include <thread>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace json = boost::json;

namespace {

constexpr std::uint16_t quotaPort = 21'365;
constexpr std::uint16_t metricsPort = 21'366;
constexpr double rate = 10;
constexpr double burst = 10;
/// What the settings below tolerate in a window of five seconds.
constexpr double mostInWindow = (rate * 5 + burst) * 1.1 + 20;

json::object tenant(const std::string &name, const std::string &key, double callsPerSecond)
{
    return {{"name", name},
            {"api_keys", json::array{key}},
            {"rate_per_s", callsPerSecond},
            {"burst", callsPerSecond}};
}

std::vector<std::string> settingsFor(const PlatformDeployment &deployment, const std::string &entry)
{
    const auto address = deployment.callers(entry).address;
    return {"--quota-listen=" + Endpoint{address, quotaPort}.text(),
            "--metrics-listen=" + Endpoint{address, metricsPort}.text(), "--quota-window=5",
            "--quota-overage=0.1", "--quota-slack=20"};
}

/// Sends calls of an owner to the processes in turn for less than a window; counts the statuses.
std::map<unsigned, unsigned> callForOneWindow(PlatformDeployment &deployment,
                                              const std::vector<std::string> &entries,
                                              const std::string &key)
{
    std::map<unsigned, unsigned> statuses;
    const auto end = SteadyClock().now() + Milliseconds(4'500);
    for (std::size_t i = 0; SteadyClock().now() < end; ++i) {
        const auto response = deployment.post(entries[i % entries.size()], "/plain/x", "a",
                                              makeUniqueId("a"), key);
        statuses[response.status] += 1;
        if (response.status == 429)
            CHECK(std::stod(response.headers.value("Retry-After")) > 0);
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return statuses;
}

} // namespace

TEST_CASE("The processes enforce the rate of an organisation together", "[Platform]")
{
    const std::vector<std::string> entries{"entry1", "entry2", "entry3"};
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1, {tenant("limited", "k1", rate), tenant("other", "k2", 100),
                                      tenant("free", "k3", 0)});
    Process *second = nullptr;
    for (const auto &entry : entries) {
        auto &process = deployment.startEntry(entry, settingsFor(deployment, entry));
        second = entry == "entry2" ? &process : second;
    }
    for (const auto &entry : entries)
        deployment.waitUntilReady(entry);
    const auto statusOf = [&](const std::string &entry, const std::string &key) {
        return deployment.post(entry, "/plain/x", "a", makeUniqueId("a"), key).status;
    };
    const auto areAllServed = [&](const std::vector<std::string> &at, const std::string &key) {
        return std::all_of(at.begin(), at.end(),
                           [&](const auto &entry) { return statusOf(entry, key) == 200; });
    };
    // Tries again after a pause, because frequent calls would themselves exceed the rate.
    const auto eventuallyServed = [&](const std::vector<std::string> &at, const std::string &key) {
        return eventually([&] {
            const bool isServed = areAllServed(at, key);
            if (!isServed)
                std::this_thread::sleep_for(Milliseconds(500));
            return isServed;
        });
    };
    REQUIRE(eventuallyServed(entries, "k1"));

    SECTION("Above its rate it gets 429, and no call of it reaches a server")
    {
        const auto before = server.served().size();
        auto statuses = callForOneWindow(deployment, entries, "k1");
        CHECK(statuses[429] > 0);
        CHECK(statuses[200] <= mostInWindow);
        // More than the processes admit without each other.
        CHECK(statuses[200] > 30);
        CHECK(statuses[200] + statuses[429]
              == std::accumulate(statuses.begin(), statuses.end(), 0U,
                                 [](auto sum, const auto &each) { return sum + each.second; }));
        CHECK(server.served().size() - before == statuses[200]);

        SECTION("while organisations below their rates, and without one, are served")
        {
            CHECK(areAllServed(entries, "k2"));
            CHECK(areAllServed(entries, "k3"));
            CHECK(areAllServed(entries, "k2"));
        }
        SECTION("and the metrics show it")
        {
            const auto page
                    = deployment.client.call({deployment.callers("entry1").address, metricsPort},
                                             {"GET", "/metrics", {}, ""});
            CHECK(page.body.find(
                          "radishplank_owner_calls_refused_by_quota_total{owner=\"limited\"}")
                  != std::string::npos);
            CHECK(page.body.find("radishplank_quota_asks_total") != std::string::npos);
        }
    }
    SECTION("A process that dies takes no rate with it for longer than some seconds")
    {
        second->kill();
        CHECK(eventuallyServed({"entry1", "entry3"}, "k1"));
        auto statuses = callForOneWindow(deployment, {"entry1", "entry3"}, "k1");
        CHECK(statuses[200] <= mostInWindow);
        CHECK(eventuallyServed({"entry1", "entry3"}, "k1"));
        CHECK(eventuallyServed({"entry1", "entry3"}, "k2"));
    }
    SECTION("A changed rate applies at once")
    {
        deployment.writeConfiguration(2, {tenant("limited", "k1", 0), tenant("other", "k2", 100)});
        REQUIRE(eventually([&] { return statusOf("entry1", "k3") == 401; }));
        std::this_thread::sleep_for(Milliseconds(1'000));
        auto statuses = callForOneWindow(deployment, entries, "k1");
        CHECK(statuses[200] > mostInWindow);
        CHECK(statuses[429] == 0);
    }
}
