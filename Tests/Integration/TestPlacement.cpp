#include "Deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

const std::vector<std::string> agentNames{"agent1", "agent2", "agent3"};
const std::vector<std::string> entryNames{"entry1", "entry2"};

/// Three engines that load models on request, two entry processes, and two models in the
/// catalogue.
class PlacedModels
{
public:
    explicit PlacedModels(bool checksFencing = false)
    {
        for (const auto &name : agentNames)
            deployment.addAgent(name,
                                {.models = "captions,proofs", .checksFencing = checksFencing});
        for (const auto &name : entryNames) {
            deployment.addEntry(name,
                                {.arguments = {"--placement-interval=200", "--placement-dwell=2000",
                                               "--load-interval=100", "--lease=2000"}});
        }
        deployment.putCatalogue();
        deployment.putObject("entries/lotka/proofs", R"({"pool":"proofs"})");
        REQUIRE(eventually([&] { return serves("captions") && serves("proofs"); }));
    }

    bool serves(const std::string &model)
    {
        return std::all_of(entryNames.begin(), entryNames.end(), [&](const std::string &entry) {
            return deployment.call(entry, request(model, "probe")).status == 200;
        });
    }

    static HttpRequest request(const std::string &model, const std::string &prompt)
    {
        return {"POST",
                "/v1/completions",
                {},
                boost::json::serialize(boost::json::object{
                        {"model", model}, {"prompt", prompt}, {"max_tokens", 3}})};
    }

    std::size_t enginesWith(const std::string &model)
    {
        return static_cast<std::size_t>(
                std::count_if(agentNames.begin(), agentNames.end(), [&](const auto &name) {
                    return textField(deployment.engineStats(name), "model") == model;
                }));
    }

    boost::json::object placement(const std::string &entry)
    {
        return deployment.state(deployment.entry(entry).operators).at("placement").as_object();
    }

    bool holds(const std::string &entry) { return placement(entry).at("held").as_bool(); }

    std::string holder()
    {
        std::string found;
        REQUIRE(eventually([&] {
            for (const auto &entry : entryNames) {
                if (holds(entry))
                    found = entry;
            }
            return !found.empty();
        }));
        return found;
    }

    Deployment deployment;
};

} // namespace

TEST_CASE("Models are placed according to demand")
{
    SECTION("Before any engine has loaded the model, a call is refused at once with Retry-After")
    {
        Deployment deployment;
        deployment.addAgent("agent1", {.models = "captions"});
        deployment.addEntry("entry1", {.arguments = {"--placement-interval=60000"}});
        deployment.putCatalogue();
        const auto refused = deployment.call("entry1", completion("early", 1));
        CHECK(refused.status == 503);
        CHECK(refused.headers.value("Radishplank-Outcome") == "not-run");
        CHECK_FALSE(refused.headers.value("Retry-After").empty());
    }
    SECTION("Each model of the catalogue is served by engines that have loaded it")
    {
        PlacedModels models;
        const auto answer
                = models.deployment.call("entry1", PlacedModels::request("proofs", "a proof"));
        CHECK(completionText(answer) == expectedText("a proof", 3));
        for (const auto &name : agentNames)
            CHECK(integerField(models.deployment.engineStats(name), "wrongModel", -1) == 0);
    }
    SECTION("An attempt that arrives after its model was unloaded does not run")
    {
        PlacedModels models;
        auto &deployment = models.deployment;
        const auto state = deployment.state(deployment.agent("agent1").operators);
        const auto served = textField(state.at("model").as_object(), "served").value();
        const auto executions
                = [&] { return integerField(deployment.engineStats("agent1"), "executions", 0); };
        const auto attempt = [&](const std::string &id, const std::string &pool) {
            HttpRequest request{"POST",
                                "/attempts/" + id,
                                {},
                                R"({"model":")" + served + R"(","prompt":"x","max_tokens":1})"};
            request.headers.add("Radishplank-Secret", "secret-of-the-cluster");
            request.headers.add("Radishplank-Incarnation", textField(state, "incarnation").value());
            request.headers.add("Radishplank-Pool", pool);
            request.headers.add("Radishplank-Kind", "model");
            request.headers.add("Radishplank-Method", "POST");
            request.headers.add("Radishplank-Target", "/v1/completions");
            request.headers.add("Radishplank-Deadline-Ms", "5000");
            return deployment.client.call(deployment.agentData("agent1"), request);
        };
        const auto before = executions();
        const auto refused = attempt("gone", served == "captions" ? "proofs" : "captions");
        CHECK(refused.status == 409);
        CHECK(refused.headers.value("Radishplank-Outcome") == "not-run");
        CHECK(executions() == before);
        CHECK(attempt("there", served).status == 200);
        CHECK(executions() == before + 1);
    }
    SECTION("A model with more demand gets more engines, and no call is lost during the move")
    {
        PlacedModels models;
        for (const auto *busy : {"proofs", "captions"}) {
            int number = 0;
            REQUIRE(eventually([&] {
                std::vector<std::pair<RunningCall, std::string>> calls;
                for (int i = 0; i < 8; ++i) {
                    const auto prompt = std::string(busy) + std::to_string(number++);
                    calls.emplace_back(
                            models.deployment.start(entryNames[static_cast<std::size_t>(i) % 2],
                                                    PlacedModels::request(busy, prompt)),
                            prompt);
                }
                for (const auto &[call, prompt] : calls)
                    CHECK(completionText(call.answer.get()) == expectedText(prompt, 3));
                return models.enginesWith(busy) == 2;
            }));
        }
        for (const auto &name : agentNames)
            CHECK(integerField(models.deployment.engineStats(name), "wrongModel", -1) == 0);
    }
    SECTION("An engine that restarts loads its model again")
    {
        PlacedModels models;
        models.deployment.restartUpstream("agent1");
        CHECK(eventually([&] {
            return models.enginesWith("captions") + models.enginesWith("proofs") == 3;
        }));
        CHECK(eventually([&] { return models.serves("captions") && models.serves("proofs"); }));
    }
    SECTION("The weight store refuses loads that follow too closely, and all models load "
            "eventually")
    {
        Deployment deployment;
        deployment.setPlatformSwitches(R"({"weightIntervalMs":1500})");
        for (const auto &name : agentNames)
            deployment.addAgent(name, {.models = "captions"});
        deployment.addEntry("entry1",
                            {.arguments = {"--placement-interval=100", "--load-interval=100"}});
        deployment.putCatalogue(3);
        const auto counts = deployment.platformCounts();
        CHECK(integerField(counts, "weights", 0) == 3);
        CHECK(integerField(counts, "weightsRefused", 0) > 0);
    }
}

TEST_CASE("Two processes that both hold the placement lease cannot issue conflicting orders")
{
    const bool checksFencing = GENERATE(true, false);
    CAPTURE(checksFencing);
    PlacedModels models(checksFencing);
    auto &deployment = models.deployment;
    const auto oldHolder = models.holder();
    const auto newHolder = oldHolder == "entry1" ? "entry2" : "entry1";
    const auto fencing = integerField(models.placement(oldHolder), "fencing", 0);
    deployment.entry(oldHolder).process->freeze();
    REQUIRE(eventually([&] { return models.holds(newHolder); }));
    CHECK(integerField(models.placement(newHolder), "fencing", 0) > fencing);

    SECTION("The old holder resumes, detects that it lost the lease, and places nothing")
    {
        deployment.entry(oldHolder).process->thaw();
        CHECK(eventually([&] { return !models.holds(oldHolder); }));
        CHECK(models.holds(newHolder));
    }
    SECTION("A delayed order of the old holder is refused")
    {
        const auto order = [&](const std::string &agent, std::int64_t number) {
            HttpRequest request{"POST",
                                "/orders",
                                {},
                                R"({"fencing":)" + std::to_string(number) + R"(,"load":"proofs"})"};
            request.headers.add("Radishplank-Secret", "secret-of-the-cluster");
            return deployment.client.call(deployment.agentData(agent), request).status;
        };
        REQUIRE(eventually([&] {
            return std::all_of(agentNames.begin(), agentNames.end(), [&](const auto &name) {
                const auto state = deployment.state(deployment.agent(name).operators);
                return integerField(state, "highestFencing", 0) > fencing;
            });
        }));
        for (const auto &name : agentNames)
            CHECK(order(name, fencing) == 409);
        SECTION("also by an agent that has restarted in the meantime")
        {
            deployment.restartAgent("agent1");
            REQUIRE(eventually([&] { return order("agent1", fencing) != 503; }));
            CHECK(order("agent1", fencing) == 409);
        }
        for (const auto &name : agentNames)
            CHECK(integerField(deployment.engineStats(name), "staleOrders", -1) == 0);
        deployment.entry(oldHolder).process->thaw();
    }
}

TEST_CASE("A graceful shutdown of the placement lease holder releases the lease at once")
{
    PlacedModels models;
    const auto oldHolder = models.holder();
    const auto newHolder = oldHolder == "entry1" ? "entry2" : "entry1";
    models.deployment.entry(oldHolder).process->signal(SIGTERM);
    CHECK(eventually([&] { return models.holds(newHolder); }));
}
