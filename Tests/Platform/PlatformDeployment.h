#pragma once

#include "../Integration/Process.h"
#include "../Integration/TestClient.h"
#include "ServerStandin.h"
#include "StoreStandin.h"

#include <memory>
#include <string>
#include <vector>

namespace Radishplank::Test {

/// Real entry processes in front of stand-ins of the platform's store and servers.
class PlatformDeployment
{
public:
    PlatformDeployment();
    ~PlatformDeployment();

    /// The stand-ins are never destroyed: their fibers run until the test program ends.
    StoreStandin &store;
    TestClient client;

    /// Starts a server and registers it.
    ServerStandin &addServer(const std::string &id);
    /// Starts the servers again that have crashed, and returns how many there were.
    unsigned restartCrashedServers();
    /// Registers a server that a test runs by itself; `startedAt` is in Unix milliseconds.
    void registerAt(const std::string &id, const Endpoint &endpoint, const std::string &state,
                    std::int64_t startedAt = firstStart);
    /// An address for such a server.
    [[nodiscard]] std::string freeAddress() const;
    /// Writes a server's entry again, for instance as draining.
    void registerServer(ServerStandin &server, const std::string &state);
    /// Writes a configuration with a resumable, a plain and a batch route.
    /// `waitingTokens` limits what may wait on the route of batch jobs; each item has 10.
    void writeConfiguration(unsigned version, unsigned waitingTokens = 0);
    /// Starts an entry process and waits until it listens.
    Process &startEntry(const std::string &name, const std::vector<std::string> &settings = {});
    [[nodiscard]] Endpoint callers(const std::string &name) const;
    [[nodiscard]] bool isReady(const std::string &name);
    /// Waits until the process takes callers.
    void waitUntilReady(const std::string &name);

    HttpResponse post(const std::string &entry, const std::string &path, const std::string &body,
                      const std::string &id);
    HttpResponse get(const std::string &entry, const std::string &path);
    /// What an entry process tells its peers of the configuration and the upstreams.
    std::string fleetOf(const std::string &entry);
    /// Submits a job whose items have the given bodies; each item is named after its body.
    HttpResponse submit(const std::string &entry, const std::string &job,
                        const std::vector<std::string> &bodies);
    /// Reads the results of a job from the start once it has as many; fails if it never has.
    boost::json::array waitForResults(const std::string &entry, const std::string &job,
                                      std::size_t count);

    static constexpr const char *host = "shop.example";
    /// Where entry processes take each other's datagrams.
    static constexpr std::uint16_t peerPort = 21'364;
    /// When servers are first started, in Unix milliseconds.
    static constexpr std::int64_t firstStart = 1'700'000'000'000;

private:
    [[nodiscard]] std::string addressOf(const std::string &name) const;

    std::string m_directory;
    std::vector<ServerStandin *> m_servers;
    std::vector<std::unique_ptr<Process>> m_processes;
};

} // namespace Radishplank::Test
