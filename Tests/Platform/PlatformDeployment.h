#pragma once

#include "../Integration/Process.h"
#include "../Integration/TestClient.h"
#include "FakeServer.h"
#include "FakeStore.h"

#include <memory>
#include <string>
#include <vector>

namespace Radishplank::Test {

/// Real entry processes in front of fakes of the platform's store and servers.
class PlatformDeployment
{
public:
    PlatformDeployment();
    ~PlatformDeployment();

    /// The operator's limit for the head of a request, in further configurations.
    unsigned maxHeaderBytes = 16'384;
    /// The fakes are never destroyed, as their fibers run until the test program exits.
    FakeStore &store;
    TestClient client;

    /// Starts a server and registers it.
    FakeServer &addServer(const std::string &id);
    /// Restarts all servers that have crashed, and returns their number.
    unsigned restartCrashedServers();
    /// Registers a server that the test runs itself. `startedAt` is in Unix milliseconds.
    void registerAt(const std::string &id, const Endpoint &endpoint, const std::string &state,
                    std::int64_t startedAt = firstStart);
    /// Returns an address for a server that the test runs itself.
    [[nodiscard]] std::string freeAddress() const;
    /// Updates a server's entry, for instance to draining.
    void registerServer(FakeServer &server, const std::string &state);
    /// Writes a configuration with a resumable, a plain and a batch route.
    /// `waitingTokens` limits the tokens that wait on the batch route; each item has 10.
    void writeConfiguration(unsigned version, unsigned waitingTokens = 0);
    /// As above, with organisations and their API keys; `tenants` is the platform's list of them.
    void writeConfiguration(unsigned version, const boost::json::array &tenants);
    /// Starts an entry process and waits until it listens.
    Process &startEntry(const std::string &name, const std::vector<std::string> &settings = {});
    [[nodiscard]] Endpoint callers(const std::string &name) const;
    [[nodiscard]] bool isReady(const std::string &name);
    /// Waits until the process reports itself as ready for callers.
    void waitUntilReady(const std::string &name);

    HttpResponse post(const std::string &entry, const std::string &path, const std::string &body,
                      const std::string &id);
    /// As above, with an API key.
    HttpResponse post(const std::string &entry, const std::string &path, const std::string &body,
                      const std::string &id, const std::string &key);
    HttpResponse get(const std::string &entry, const std::string &path);
    /// Sends a call about jobs with an API key.
    HttpResponse callWithKey(const std::string &entry, const std::string &method,
                             const std::string &path, const std::string &key,
                             const std::string &body = "", const std::string &id = "");
    /// Returns the configuration and the upstreams that an entry process serves to its peers.
    /// `query` is appended to the path.
    std::string fleetOf(const std::string &entry, const std::string &query = "");
    /// Submits a job whose items have the given bodies. The id of each item is its body.
    HttpResponse submit(const std::string &entry, const std::string &job,
                        const std::vector<std::string> &bodies);
    /// An item whose body is its id.
    struct PromptItem
    {
        std::string id;
        /// The parts of its prompt, as in the header X-Prompt-Prefix; none if empty.
        std::string parts;
    };
    HttpResponse submitWithParts(const std::string &entry, const std::string &job,
                                 const std::vector<PromptItem> &items);
    /// Waits until a job has `count` results and returns all of them. Fails the test on timeout.
    boost::json::array waitForResults(const std::string &entry, const std::string &job,
                                      std::size_t count);

    static constexpr const char *host = "shop.example";
    /// Port for datagrams between entry processes.
    static constexpr std::uint16_t peerPort = 21'364;
    /// Time of the servers' first start, in Unix milliseconds.
    static constexpr std::int64_t firstStart = 1'700'000'000'000;

private:
    void writeConfiguration(unsigned version, unsigned waitingTokens,
                            const boost::json::array *tenants);
    [[nodiscard]] std::string addressOf(const std::string &name) const;

    std::string m_directory;
    std::vector<FakeServer *> m_servers;
    std::vector<std::unique_ptr<Process>> m_processes;
};

} // namespace Radishplank::Test
