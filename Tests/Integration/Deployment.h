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
    /// Puts the fault proxy between the entry processes and this agent, on links NAME-data and
    /// NAME-control.
    bool isBehindProxy = false;
    /// Models, separated by commas, that the engine loads on order; the pool then does not count.
    std::string models{};
    bool checksFencing = false;
    std::vector<std::string> upstreamArguments{};
};

struct EntryOptions
{
    std::string zone = "zone1";
    std::string region = "region1";
    /// Puts the fault proxy between this process and the store, on link NAME-store.
    bool isStoreBehindProxy = false;
    std::vector<std::string> arguments{};
};

/// A whole small deployment of real processes on loopback, with one owner and token.
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

    /// Starts an upstream and the agent beside it.
    void addAgent(const std::string &name, const AgentOptions &options = {});
    void addEntry(const std::string &name, const EntryOptions &options = {});
    void restartUpstream(const std::string &name);
    void restartAgent(const std::string &name);
    void restartEntry(const std::string &name);
    /// Writes the owner and entries through the first entry process, and waits until every entry
    /// process knows them.
    void putCatalogue();
    /// As above, and waits until every entry process has the given number of accepting upstreams.
    void putCatalogue(std::size_t acceptingUpstreams);
    /// Writes one catalogue object, whatever its version.
    void putObject(const std::string &key, const std::string &value);
    void waitForUpstreams(const std::string &entry, std::size_t accepting);

    Upstream &upstream(const std::string &name) { return m_upstreams.at(name); }
    Agent &agent(const std::string &name) { return m_agents.at(name); }
    /// Returns the agent's own data address, not the one through the proxy.
    Endpoint agentData(const std::string &name) { return m_agents.at(name).data; }
    Entry &entry(const std::string &name) { return m_entries.at(name); }

    /// Sends a request of the owner to an entry process.
    HttpResponse call(const std::string &entry, HttpRequest request);
    RunningCall start(const std::string &entry, HttpRequest request);
    /// Sets faults of the platform, such as `{"outage": true}`.
    void platform(const std::string &switches);
    boost::json::object platformCounts();
    /// Returns how many objects of the store lie under a prefix, at most one page.
    std::size_t objectsUnder(const std::string &prefix);
    void setVm(const std::string &name, const std::string &state);
    /// Sets faults of a link, such as `{"mode": "stall"}`.
    void link(const std::string &name, const std::string &change);
    boost::json::object state(const Endpoint &operators);
    boost::json::object engineStats(const std::string &name);
    /// Returns how often the plain service ran each body.
    boost::json::object executions(const std::string &name);
    double metric(const std::string &entry, const std::string &name);
    ProgramOutput control(std::vector<std::string> arguments);

    [[nodiscard]] const std::string &directory() const { return m_directory; }
    TestClient client;

    static constexpr const char *token = "token-of-lotka";
    static constexpr const char *operatorToken = "token-of-operators";

private:
    Endpoint openRoute(const std::string &route);
    void aimRoute(const std::string &route, const std::string &target);
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

/// Returns a completion request; the stand-in's answer has `tokens` tokens.
/// Returns how many requests an engine runs.
std::int64_t running(Deployment &deployment, const std::string &engine);
HttpRequest completion(const std::string &prompt, std::size_t tokens, bool isStreamed = false);
/// Returns a booking request to the plain service.
HttpRequest booking(const std::string &body, const std::string &key = "");
/// Returns the text that the engine stand-in generates.
std::string expectedText(const std::string &prompt, std::size_t tokens);
/// Joins the texts of the events of a streamed completion.
std::string streamedText(const std::string &events);
std::string wholeText(const HttpResponse &response);
/// Returns a job of items, each with a prompt of its own.
std::string jobLines(std::size_t items, std::size_t tokens, const std::string &prefix = "proof");

} // namespace Radishplank::Test
