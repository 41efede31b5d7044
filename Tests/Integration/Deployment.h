#pragma once

#include "Process.h"
#include "TestClient.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Radishplank::Test {

struct AgentOptions
{
    std::string pool = "captions";
    std::string kind = "model";
    std::string zone = "zone1";
    std::string region = "region1";
    std::size_t slots = 2;
    std::size_t onlineQueue = 16;
    std::size_t tokenIntervalMs = 10;
    std::size_t serviceTimeMs = 20;
    /// Routes connections of the entry processes to this agent through the fault proxy, over the
    /// links NAME-data and NAME-control.
    bool isBehindProxy = false;
    /// Comma-separated models that the engine can load on order; `pool` is then ignored.
    std::string models{};
    bool checksFencing = false;
    std::vector<std::string> upstreamArguments{};
};

struct EntryOptions
{
    std::string zone = "zone1";
    std::string region = "region1";
    /// Routes connections of this process to the store through the fault proxy, over the link
    /// NAME-store.
    bool isStoreBehindProxy = false;
    std::vector<std::string> arguments{};
};

/// A small deployment of real processes on loopback, with one owner and its token.
class Deployment
{
public:
    struct Upstream
    {
        std::unique_ptr<Process> process;
        Endpoint http;
        std::vector<std::string> arguments;
    };
    struct Agent
    {
        std::unique_ptr<Process> process;
        Endpoint operators;
        Endpoint data;
        std::vector<std::string> arguments;
    };
    struct Entry
    {
        std::unique_ptr<Process> process;
        Endpoint callers;
        Endpoint operators;
        Endpoint control;
        std::vector<std::string> arguments;
    };

    Deployment();
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts an upstream and its agent.
    void addAgent(const std::string &name, const AgentOptions &options = {});
    void addEntry(const std::string &name, const EntryOptions &options = {});
    void restartUpstream(const std::string &name);
    void restartAgent(const std::string &name);
    void restartEntry(const std::string &name);
    /// Writes the owner and entries through the first entry process, and waits until every entry
    /// process has applied them.
    void putCatalogue();
    /// Writes the catalogue as above, then waits until every entry process sees the given number of
    /// accepting upstreams.
    void putCatalogue(std::size_t acceptingUpstreams);
    /// Creates or overwrites a catalogue object.
    void putObject(const std::string &key, const std::string &value);
    void waitForUpstreams(const std::string &entry, std::size_t accepting);

    Upstream &upstream(const std::string &name) { return m_upstreams.at(name); }
    Agent &agent(const std::string &name) { return m_agents.at(name); }
    /// Returns the agent's data address, bypassing the fault proxy.
    Endpoint agentData(const std::string &name) { return m_agents.at(name).data; }
    Entry &entry(const std::string &name) { return m_entries.at(name); }

    /// Sends a request with the owner's token to an entry process and waits for the response.
    HttpResponse call(const std::string &entry, HttpRequest request);
    RunningCall start(const std::string &entry, HttpRequest request);
    /// Sets switches of the platform stand-in, such as faults: `{"outage": true}`.
    void setPlatformSwitches(const std::string &switches);
    boost::json::object platformCounts();
    /// Returns the number of objects in the store with the prefix, up to one page of the listing.
    std::size_t countObjects(const std::string &prefix);
    void setVmState(const std::string &name, const std::string &state);
    /// Configures a link of the fault proxy, such as `{"mode": "stall"}`.
    void configureLink(const std::string &name, const std::string &change);
    boost::json::object state(const Endpoint &operators);
    boost::json::object engineStats(const std::string &name);
    /// Returns how many times the plain service executed each request body.
    boost::json::object executions(const std::string &name);
    double metric(const std::string &entry, const std::string &name);
    ProgramOutput runControlTool(std::vector<std::string> arguments);

    [[nodiscard]] const std::string &directory() const { return m_directory; }
    TestClient client;

    static constexpr const char *token = "token-of-lotka";
    static constexpr const char *operatorToken = "token-of-operators";

private:
    Endpoint addRoute(const std::string &route);
    void setRouteTarget(const std::string &route, const std::string &target);
    void startEntry(const std::string &name, Entry &entry);

    std::string m_directory;
    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_proxy;
    Endpoint m_platformHttp;
    Endpoint m_proxyHttp;
    std::map<std::string, Upstream> m_upstreams;
    std::map<std::string, Agent> m_agents;
    std::map<std::string, Entry> m_entries;
};

/// Returns the number of requests that an engine is running.
std::int64_t runningRequests(Deployment &deployment, const std::string &engine);
/// Returns a completion request, to which the engine stand-in responds with `tokens` tokens.
HttpRequest completion(const std::string &prompt, std::size_t tokens, bool isStreamed = false);
/// Returns a booking request to the plain service.
HttpRequest booking(const std::string &body, const std::string &key = "");
/// Returns the text that the engine stand-in generates.
std::string expectedText(const std::string &prompt, std::size_t tokens);
/// Returns the concatenated texts of the events of a streamed completion.
std::string streamedText(const std::string &events);
std::string completionText(const HttpResponse &response);
/// Returns the lines of a batch job whose items have different prompts.
std::string jobLines(std::size_t items, std::size_t tokens, const std::string &prefix = "proof");

} // namespace Radishplank::Test
