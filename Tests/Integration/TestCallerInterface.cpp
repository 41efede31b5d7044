#include "Deployment.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace Radishplank;
using namespace Radishplank::Test;

TEST_CASE("Requests and batches of callers pass through all processes")
{
    Deployment deployment;
    deployment.addAgent("agent1");
    deployment.addAgent("agent2");
    deployment.addAgent("service1", {.pool = "booking", .kind = "service"});
    deployment.addEntry("entry1");
    deployment.addEntry("entry2");
    deployment.putCatalogue(3);

    SECTION("A whole completion")
    {
        const auto answer = deployment.call("entry1", completion("club logo", 7));
        CHECK(completionText(answer) == expectedText("club logo", 7));
    }
    SECTION("A stream arrives token by token")
    {
        const auto running = deployment.start("entry1", completion("slow logo", 100, true));
        REQUIRE(eventually([&] { return *running.bytes > 0; }));
        CHECK(running.answer.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
        const auto answer = running.answer.get();
        CHECK(answer.headers.value("Content-Type") == "text/event-stream");
        CHECK(streamedText(answer.body) == expectedText("slow logo", 100));
        CHECK(answer.body.ends_with("data: [DONE]\n\n"));
    }
    SECTION("A call of a plain service")
    {
        const auto answer = deployment.call("entry1", booking("slot 9"));
        CHECK(answer.status == 200);
        CHECK(answer.body.find("\"path\":\"/book\"") != std::string::npos);
        CHECK(deployment.executions("service1").at("slot 9").as_int64() == 1);
    }
    SECTION("A batch of 1,000 items, readable from any entry process and by the command line")
    {
        const auto accepted = deployment.call(
                "entry1", {"PUT", "/v1/batches/league?entry=captions", {}, jobLines(1'000, 1)});
        REQUIRE(accepted.status == 201);
        const auto waited = deployment.runControlTool({"--wait=true", "batch", "status", "league"});
        CHECK(waited.status == 0);
        CHECK(waited.output.find("state: completed") != std::string::npos);
        const auto results
                = deployment.call("entry2", {"GET", "/v1/batches/league/results", {}, ""});
        std::istringstream lines(results.body);
        std::string line;
        std::size_t right = 0;
        while (std::getline(lines, line)) {
            const auto result = boost::json::parse(line).as_object();
            const auto prompt = "proof " + std::to_string(result.at("index").as_int64());
            right += textField(result.at("response").as_object(), "text")
                     == expectedText(prompt, 1);
        }
        CHECK(right == 1'000);
    }
    SECTION("Invalid input gets a clear error and changes nothing")
    {
        const auto checkRefused
                = [&](HttpRequest request, unsigned status, const std::string &text) {
                      const auto answer = deployment.call("entry1", std::move(request));
                      INFO(answer.body);
                      CHECK(answer.status == status);
                      CHECK(answer.body.find(text) != std::string::npos);
                      CHECK(answer.headers.value("Radishplank-Outcome") == "not-run");
                  };
        checkRefused({"POST", "/v1/completions", {}, "{"}, 400, "malformed JSON");
        checkRefused(
                {"POST", "/v1/completions", {}, R"({"model":"captions","model":"x","prompt":"y"})"},
                400, "the field 'model' occurs twice");
        checkRefused({"POST", "/v1/completions", {}, R"({"max_tokens":0})"}, 400,
                     "request.max_tokens: must lie between");
        checkRefused({"POST", "/v1/completions", {}, R"({"model":"none","prompt":"x"})"}, 404,
                     "no such entry 'none'");
        checkRefused({"POST", "/v1/completions", {}, std::string(5 << 20, 'x')}, 413,
                     "larger than");
        checkRefused({"PUT", "/v1/batches/bad?entry=captions", {}, jobLines(2, 1) + "{"}, 400,
                     "line 3: malformed JSON");
        checkRefused(
                {"PUT", "/v1/batches/bad?entry=captions", {}, R"({"id":"a","body":{"x":1,"x":2}})"},
                400, "line 1: the field 'x' occurs twice");
        checkRefused({"PUT", "/v1/batches/a%2Fb?entry=captions", {}, jobLines(2, 1)}, 400,
                     "letters, digits");
        checkRefused({"GET", "/v1/batches/bad", {}, ""}, 404, "does not exist");
        const auto wrongToken = deployment.client.call(
                deployment.entry("entry1").callers,
                {"GET", "/v1/models", {{"Authorization", "Bearer nobody"}}, ""});
        CHECK(wrongToken.status == 401);
        const auto wrongOperator = deployment.client.call(
                deployment.entry("entry1").operators,
                {"GET", "/state", {{"Authorization", "Bearer nobody"}}, ""});
        CHECK(wrongOperator.status == 401);
    }
    SECTION("Oversized input or input of another protocol is refused and affects no other call")
    {
        const auto &entry = deployment.entry("entry1");
        HttpRequest longHeader{"GET", "/v1/models", {}, ""};
        longHeader.headers.add("X-Long", std::string(60'000, 'x'));
        for (const auto &address : {entry.callers, entry.operators, deployment.agentData("agent1"),
                                    deployment.agent("agent1").operators}) {
            const auto status = deployment.client.call(address, longHeader).status;
            // The connection may be closed before all of the header has been sent.
            CHECK((status == 431 || status == 0));
            CHECK(deployment.client.call(address, {"GET", "/none", {}, ""}).status >= 400);
        }
        const auto garbage = deployment.client.call(entry.control,
                                                    {"POST", "/", {}, std::string(1 << 20, 'x')});
        CHECK(garbage.status == 0);
        CHECK(completionText(deployment.call("entry1", completion("still here", 2)))
              == expectedText("still here", 2));
        CHECK(deployment.runControlTool({"catalogue", "status"}).output.find("error")
              == std::string::npos);
    }
    SECTION("No log and no state dump contains a secret")
    {
        CHECK(deployment.call("entry1", completion("hello", 1)).status == 200);
        const auto wrong = deployment.client.call(
                deployment.entry("entry1").callers,
                {"GET", "/v1/models", {{"Authorization", "Bearer not-the-token"}}, ""});
        CHECK(wrong.status == 401);
        std::string logsAndDumps
                = boost::json::serialize(deployment.state(deployment.entry("entry1").operators))
                  + boost::json::serialize(deployment.state(deployment.agent("agent1").operators));
        std::size_t logs = 0;
        for (const auto &file : std::filesystem::directory_iterator(deployment.directory())) {
            if (file.path().extension() != ".log")
                continue;
            std::ifstream log(file.path());
            logsAndDumps += std::string(std::istreambuf_iterator<char>(log), {});
            logs += 1;
        }
        CHECK(logs > 0);
        CHECK(logsAndDumps.find("entry-started") != std::string::npos);
        for (const auto *secret : {"secret-of-the-cluster", Deployment::operatorToken,
                                   Deployment::token, "not-the-token"})
            CHECK(logsAndDumps.find(secret) == std::string::npos);
    }
    SECTION("Every finding in a catalogue file is reported with its line number")
    {
        const auto good = deployment.runControlTool({"catalogue", "check",
                                                     EXAMPLES_PATH "/sundholl/catalogue.jsonl",
                                                     EXAMPLES_PATH "/lotka/catalogue.jsonl"});
        CHECK(good.output.find("no findings") != std::string::npos);
        CHECK(good.status == 0);
        const auto path = deployment.directory() + "/bad.jsonl";
        std::ofstream(path) << R"({"key":"owners/a","value":{}})"
                            << "\n{\n";
        const auto bad = deployment.runControlTool({"catalogue", "check", path});
        CHECK(bad.status == 1);
        CHECK(bad.error.find("bad.jsonl:1: config/owners/a.tokenDigest: is required")
              != std::string::npos);
        CHECK(bad.error.find("bad.jsonl:2: malformed JSON") != std::string::npos);
    }
    SECTION("Submitting a job again is idempotent, and other content under its name is refused")
    {
        const HttpRequest submit{"PUT", "/v1/batches/twice?entry=captions", {}, jobLines(5, 1)};
        CHECK(deployment.call("entry1", submit).status == 201);
        CHECK(deployment.call("entry2", submit).status == 200);
        auto other = submit;
        other.body = jobLines(6, 1);
        const auto refused = deployment.call("entry2", other);
        CHECK(refused.status == 409);
        CHECK(refused.body.find(sha256Hex(submit.body)) != std::string::npos);
        CHECK(refused.body.find(sha256Hex(other.body)) != std::string::npos);
    }
    SECTION("The command line reports a conflict between operators")
    {
        const auto &directory = deployment.directory();
        const auto output = runProgram(
                "/bin/sh", {"-c", "printf '{\"pool\":\"x\"}' > " + directory + "/entry.json"},
                directory);
        REQUIRE(output.status == 0);
        const auto put = [&](const std::string &version) {
            return deployment.runControlTool({"--file=" + directory + "/entry.json",
                                              "--if-version=" + version, "catalogue", "put",
                                              "entries/lotka/other"});
        };
        CHECK(put("0").status == 0);
        const auto conflict = put("0");
        CHECK(conflict.status == 3);
        CHECK(conflict.error.find("another operator has changed") != std::string::npos);
    }
    SECTION("State dumps show running calls and contain no secret")
    {
        const auto dump
                = deployment.runControlTool({"state", deployment.agent("agent1").operators.text()});
        CHECK(dump.status == 0);
        CHECK(dump.output.find("onlineRunning: 0") != std::string::npos);
        const auto entryDump
                = boost::json::serialize(deployment.state(deployment.entry("entry1").operators));
        for (const std::string secret :
             {"secret-of-the-cluster", "token-of-operators", "token-of-lotka"}) {
            CHECK(entryDump.find(secret) == std::string::npos);
            CHECK(deployment.entry("entry1").process->logText().find(secret) == std::string::npos);
        }
    }
}
