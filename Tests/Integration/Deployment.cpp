#include "Deployment.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace Radishplank::Test {

namespace {

constexpr const char *clusterSecret = "secret-of-the-cluster";

std::string makeDirectory()
{
    std::string pattern = std::filesystem::temp_directory_path() / "radishplank-test-XXXXXX";
    return mkdtemp(pattern.data());
}

Endpoint endpointIn(const boost::json::object &ready, std::string_view field)
{
    return Endpoint::parse(textField(ready, field).value_or("")).takeValue();
}

HttpRequest withToken(HttpRequest request, const std::string &token)
{
    request.headers.add("Authorization", "Bearer " + token);
    return request;
}

boost::json::object parseBody(const HttpResponse &response)
{
    INFO(response.status << " " << response.body);
    auto parsed = parseJsonObject(response.body);
    REQUIRE_FALSE(parsed.isError());
    return parsed.takeValue();
}

} // namespace

Deployment::Deployment()
    : m_directory(makeDirectory())
{
    setenv("RADISHPLANK_CLUSTER_SECRET", clusterSecret, 1);
    setenv("RADISHPLANK_OPERATOR_TOKEN", operatorToken, 1);
    m_platform = std::make_unique<Process>(STANDIN_PATH, std::vector<std::string>{"platform"},
                                           m_directory, "platform");
    m_proxy = std::make_unique<Process>(STANDIN_PATH, std::vector<std::string>{"faultproxy"},
                                        m_directory, "faultproxy");
    m_platformHttp = endpointIn(m_platform->waitUntilReady(), "http");
    m_proxyHttp = endpointIn(m_proxy->waitUntilReady(), "http");
}

Deployment::~Deployment()
{
    m_entries.clear();
    m_agents.clear();
    m_upstreams.clear();
    m_proxy.reset();
    m_platform.reset();
    if (std::getenv("KEEP_TEST_FILES") == nullptr)
        std::filesystem::remove_all(m_directory);
}

void Deployment::addAgent(const std::string &name, const AgentOptions &options)
{
    auto &upstream = m_upstreams[name];
    const bool isModel = options.kind == "model";
    upstream.arguments
            = {isModel ? "engine" : "service", "--slots=" + std::to_string(options.slots),
               "--token-interval=" + std::to_string(options.tokenIntervalMs),
               "--service-time=" + std::to_string(options.serviceTimeMs), "--listen=127.0.0.1:0"};
    if (!options.models.empty())
        upstream.arguments.push_back("--weight-store=" + m_platformHttp.text());
    upstream.arguments.push_back(std::string("--check-fencing=")
                                 + (options.checksFencing ? "true" : "false"));
    upstream.arguments.insert(upstream.arguments.end(), options.upstreamArguments.begin(),
                              options.upstreamArguments.end());
    upstream.process = std::make_unique<Process>(STANDIN_PATH, upstream.arguments, m_directory,
                                                 name + "-upstream");
    upstream.http = endpointIn(upstream.process->waitUntilReady(), "http");
    // A restarted upstream must listen on the same port.
    upstream.arguments.push_back("--listen=" + upstream.http.text());

    auto &agent = m_agents[name];
    agent.arguments
            = {"agent",
               "--node=" + name,
               "--zone=" + options.zone,
               "--region=" + options.region,
               "--store=" + m_platformHttp.text(),
               "--upstream=" + upstream.http.text(),
               "--kind=" + options.kind,
               options.models.empty() ? "--pools=" + options.pool : "--models=" + options.models,
               "--slots=" + std::to_string(options.slots),
               "--online-queue=" + std::to_string(options.onlineQueue)};
    if (options.isBehindProxy) {
        agent.arguments.push_back("--data-advertise=" + addRoute(name + "-data").text());
        agent.arguments.push_back("--control-advertise=" + addRoute(name + "-control").text());
    }
    restartAgent(name);
}

void Deployment::restartAgent(const std::string &name)
{
    auto &agent = m_agents.at(name);
    agent.process.reset();
    agent.process
            = std::make_unique<Process>(RADISHPLANKD_PATH, agent.arguments, m_directory, name);
    const auto ready = agent.process->waitUntilReady();
    agent.operators = endpointIn(ready, "operator");
    agent.data = endpointIn(ready, "data");
    setRouteTarget(name + "-data", textField(ready, "data").value());
    setRouteTarget(name + "-control", textField(ready, "control").value());
}

void Deployment::restartUpstream(const std::string &name)
{
    auto &upstream = m_upstreams.at(name);
    upstream.process.reset();
    upstream.process = std::make_unique<Process>(STANDIN_PATH, upstream.arguments, m_directory,
                                                 name + "-upstream");
    (void)upstream.process->waitUntilReady();
}

void Deployment::addEntry(const std::string &name, const EntryOptions &options)
{
    auto &entry = m_entries[name];
    auto store = m_platformHttp;
    if (options.isStoreBehindProxy) {
        store = addRoute(name + "-store");
        setRouteTarget(name + "-store", m_platformHttp.text());
    }
    entry.arguments = {"entry",
                       "--node=" + name,
                       "--zone=" + options.zone,
                       "--region=" + options.region,
                       "--store=" + store.text(),
                       "--lame-duck=300"};
    entry.arguments.insert(entry.arguments.end(), options.arguments.begin(),
                           options.arguments.end());
    startEntry(name, entry);
}

void Deployment::startEntry(const std::string &name, Entry &entry)
{
    entry.process.reset();
    entry.process
            = std::make_unique<Process>(RADISHPLANKD_PATH, entry.arguments, m_directory, name);
    const auto ready = entry.process->waitUntilReady();
    entry.callers = endpointIn(ready, "callers");
    entry.control = endpointIn(ready, "control");
    entry.operators = endpointIn(ready, "operator");
}

void Deployment::restartEntry(const std::string &name)
{
    startEntry(name, m_entries.at(name));
}

void Deployment::putObject(const std::string &key, const std::string &value)
{
    const auto &operators = m_entries.begin()->second.operators;
    const auto target = "/catalogue/" + percentEncode(key);
    const auto current = client.call(operators, withToken({"GET", target, {}, ""}, operatorToken));
    std::int64_t version = 0;
    if (current.status == 200)
        version = integerField(parseBody(current), "version", 0);
    auto request = withToken({"PUT", target, {}, value}, operatorToken);
    request.headers.add("If-Version", std::to_string(version));
    const auto written = client.call(operators, request);
    INFO(written.body);
    REQUIRE(written.status == 200);
}

void Deployment::putCatalogue()
{
    putObject("owners/lotka", R"({"tokenDigest":")" + sha256Hex(token) + R"("})");
    putObject("entries/lotka/captions", R"({"pool":"captions"})");
    putObject("entries/lotka/booking", R"({"pool":"booking","kind":"service",)"
                                       R"("nonIdempotent":[{"method":"POST","path":"/book"}]})");
    for (const auto &[name, entry] : m_entries) {
        REQUIRE(eventually([&] {
            const auto models
                    = client.call(entry.callers, withToken({"GET", "/v1/models", {}, ""}, token));
            return models.status == 200 && models.body.find("captions") != std::string::npos;
        }));
    }
}

void Deployment::putCatalogue(std::size_t acceptingUpstreams)
{
    putCatalogue();
    for (const auto &[name, entry] : m_entries)
        waitForUpstreams(name, acceptingUpstreams);
}

void Deployment::waitForUpstreams(const std::string &entry, std::size_t accepting)
{
    REQUIRE(eventually([&] {
        std::size_t count = 0;
        const auto dump = state(m_entries.at(entry).operators);
        for (const auto &each : dump.at("upstreams").as_array())
            count += each.at("accepting").as_bool() ? 1 : 0;
        return count == accepting;
    }));
}

HttpResponse Deployment::call(const std::string &entry, HttpRequest request)
{
    return client.call(m_entries.at(entry).callers, withToken(std::move(request), token));
}

RunningCall Deployment::start(const std::string &entry, HttpRequest request)
{
    return client.start(m_entries.at(entry).callers, withToken(std::move(request), token));
}

void Deployment::setPlatformSwitches(const std::string &switches)
{
    REQUIRE(client.call(m_platformHttp, {"POST", "/switches", {}, switches}).status == 200);
}

boost::json::object Deployment::platformCounts()
{
    return parseBody(client.call(m_platformHttp, {"GET", "/counts", {}, ""}));
}

std::size_t Deployment::countObjects(const std::string &prefix)
{
    const auto page = client.call(m_platformHttp, {"GET", "/objects?prefix=" + prefix, {}, ""});
    return parseBody(page).at("objects").as_array().size();
}

void Deployment::setVmState(const std::string &name, const std::string &vmState)
{
    REQUIRE(client.call(m_platformHttp, {"PUT", "/vms/" + name, {}, vmState}).status == 200);
}

void Deployment::configureLink(const std::string &name, const std::string &change)
{
    REQUIRE(client.call(m_proxyHttp, {"POST", "/links/" + name, {}, change}).status == 200);
}

boost::json::object Deployment::state(const Endpoint &operators)
{
    return parseBody(client.call(operators, withToken({"GET", "/state", {}, ""}, operatorToken)));
}

boost::json::object Deployment::engineStats(const std::string &name)
{
    return parseBody(client.call(m_upstreams.at(name).http, {"GET", "/stats", {}, ""}));
}

boost::json::object Deployment::executions(const std::string &name)
{
    return parseBody(client.call(m_upstreams.at(name).http, {"GET", "/executions", {}, ""}));
}

double Deployment::metric(const std::string &entry, const std::string &name)
{
    const auto text = client.call(m_entries.at(entry).operators, {"GET", "/metrics", {}, ""}).body;
    const auto found = text.find("\n" + name + " ");
    REQUIRE(found != std::string::npos);
    return std::stod(text.substr(found + name.size() + 2));
}

ProgramOutput Deployment::runControlTool(std::vector<std::string> arguments)
{
    const auto &entry = m_entries.begin()->second;
    arguments.insert(arguments.begin(),
                     {"--callers=" + entry.callers.text(), "--operators=" + entry.operators.text(),
                      std::string("--token=") + token});
    return runProgram(RADISHPLANKCTL_PATH, std::move(arguments), m_directory);
}

Endpoint Deployment::addRoute(const std::string &route)
{
    const auto opened = client.call(
            m_proxyHttp, {"PUT", "/routes/" + route, {}, R"({"link":")" + route + R"("})"});
    return endpointIn(parseBody(opened), "listen");
}

void Deployment::setRouteTarget(const std::string &route, const std::string &target)
{
    REQUIRE(client.call(m_proxyHttp,
                        {"PUT", "/routes/" + route, {}, R"({"target":")" + target + R"("})"})
                    .status
            == 200);
}

std::int64_t runningRequests(Deployment &deployment, const std::string &engine)
{
    return integerField(deployment.engineStats(engine), "running", 0);
}

HttpRequest completion(const std::string &prompt, std::size_t tokens, bool isStreamed)
{
    const boost::json::object body{{"model", "captions"},
                                   {"prompt", prompt},
                                   {"max_tokens", tokens},
                                   {"stream", isStreamed}};
    return {"POST", "/v1/completions", {}, boost::json::serialize(body)};
}

HttpRequest booking(const std::string &body, const std::string &key)
{
    HttpRequest request{"POST", "/services/booking/book", {}, body};
    if (!key.empty())
        request.headers.add("Idempotency-Key", key);
    return request;
}

std::string expectedText(const std::string &prompt, std::size_t tokens)
{
    constexpr std::uint64_t vocabularySize = 9973;
    std::string text;
    for (std::size_t index = 0; index < tokens; ++index)
        text += "w" + std::to_string(stableHash(prompt, index) % vocabularySize) + " ";
    return text;
}

std::string streamedText(const std::string &events)
{
    std::istringstream lines(events);
    std::string line;
    std::string text;
    while (std::getline(lines, line)) {
        if (!line.starts_with("data: {"))
            continue;
        const auto event = boost::json::parse(line.substr(6)).as_object();
        if (!event.contains("choices"))
            return text + "[" + line + "]";
        text += textField(event.at("choices").at(0).as_object(), "text").value_or("");
    }
    return text;
}

std::string completionText(const HttpResponse &response)
{
    const auto body = parseJsonObject(response.body);
    if (response.status != 200 || body.isError())
        return std::to_string(response.status) + " " + response.body;
    return textField(body.value().at("choices").at(0).as_object(), "text").value_or("");
}

std::string jobLines(std::size_t items, std::size_t tokens, const std::string &prefix)
{
    std::string lines;
    for (std::size_t i = 0; i < items; ++i) {
        const boost::json::object item{
                {"id", "item" + std::to_string(i)},
                {"body", boost::json::object{{"prompt", prefix + " " + std::to_string(i)},
                                             {"max_tokens", tokens}}}};
        lines += boost::json::serialize(item) + "\n";
    }
    return lines;
}

} // namespace Radishplank::Test
