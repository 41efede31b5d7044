#pragma once

#include <Gateway/PeerLink.h>
#include <Gateway/PeerTable.h>
#include <Gateway/QuotaMessage.h>
#include <Gateway/RouteTable.h>
#include <Limits/Limits.h>
#include <Net/Net.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/fiber/future.hpp>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Radishplank {

struct QuotaLinkSettings
{
    NodeId node;
    /// Receives datagrams about quotas; the port is the same on all machines. Without a port, no
    /// quota is enforced.
    Endpoint listen;
    QuotaRules rules;
};

/// Admits calls by the rate limits of their owners, together with the other entry processes.
/// Exchanges tokens with them by datagrams, and pledges by the reports of PeerLink. Runs on one
/// thread.
class QuotaLink
{
public:
    QuotaLink(FiberThreads &threads, const PeerTable &peers, const RouteDirectory &routes,
              PeerLink &link, QuotaLinkSettings settings);

    Result<void> start();
    [[nodiscard]] bool isEnabled() const { return m_settings.listen.port != 0; }
    /// Suspends the calling fiber while it waits for a token, 120 ms at most. Returns nothing if
    /// the call is admitted, otherwise after what time to try again.
    [[nodiscard]] std::optional<Milliseconds> admit(const Owner &owner);
    /// Takes the token of a call back that was admitted and then has not run.
    void putBack(const Owner &owner);
    /// Appends the metrics in the Prometheus text format.
    void renderPrometheus(std::string &text) const;

private:
    using Decision = std::optional<Milliseconds>;
    struct OwnerCounts
    {
        std::uint64_t admitted = 0;
        std::uint64_t overQuota = 0;
    };

    void receive();
    void handleDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint &sender);
    void stepLoop();
    /// Applies changes of the configuration, of the members and of their pledges.
    void refresh(Duration now);
    void loadLimits(Duration now);
    /// Sends the asks that are due, and wakes the calls that are decided.
    void exchange(Duration now);
    void noteReport(const PeerReport &report, const Endpoint &sender);
    void describe(PeerReport &report);
    void sendTo(const boost::asio::ip::udp::endpoint &destination, const QuotaMessage &message);
    [[nodiscard]] Decision waitFor(std::uint64_t ticket, Duration now);
    void countDecision(const Owner &owner, const Decision &decision);
    void renderOwners(std::string &text) const;

    FiberThreads &m_threads;
    const PeerTable &m_peers;
    const RouteDirectory &m_routes;
    PeerLink &m_link;
    const QuotaLinkSettings m_settings;
    const std::uint64_t m_self;
    boost::asio::ip::udp::socket m_socket;
    QuotaPledges m_pledges;
    QuotaPool m_pool;
    QuotaClient m_client;
    std::uint64_t m_limitsVersion = 0;
    bool m_hasLimits = false;
    std::size_t m_suspensions = 0;
    std::set<std::uint64_t> m_suspects;
    /// Addresses for quota datagrams, by the hash of the peer's name.
    std::unordered_map<std::uint64_t, boost::asio::ip::udp::endpoint> m_addresses;
    std::unordered_map<std::uint64_t, boost::fibers::promise<Decision>> m_waiting;
    std::map<std::string, OwnerCounts> m_ownerCounts;
    std::unordered_map<std::uint64_t, std::string> m_ownerNames;
};

} // namespace Radishplank
