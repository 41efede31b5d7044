#pragma once

#include <Gateway/CrashTracker.h>
#include <Gateway/PeerTable.h>
#include <Gateway/UpstreamTable.h>
#include <Net/Net.h>

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

namespace Radishplank {

/// How this process presents itself to its peers.
struct PeerLinkSettings
{
    NodeId node;
    Locality position;
    /// Where datagrams of peers arrive; the port is the same on all machines.
    Endpoint listen;
    Endpoint control;
    /// Peers to report to before the list of members is known.
    std::vector<Endpoint> seeds;
};

/// Exchanges reports with the other entry processes by datagrams; all of it on one thread.
class PeerLink
{
public:
    PeerLink(FiberThreads &threads, PeerTable &peers, UpstreamTable &upstreams,
             CrashTracker &crashes, PeerLinkSettings settings);

    /// Fills in the jobs of a full report.
    std::function<void(PeerReport &)> describeJobs;
    /// Fills in how many batch items wait.
    std::function<void(PeerReport &)> describeWaiting;
    /// Fills in what this process knows of the fleet.
    std::function<void(PeerReport &)> describeFleet;
    /// Called for each report that arrives; `isNews` tells that the peer was not heard lately.
    std::function<void(const PeerReport &, bool isNews)> onReport;

    Result<void> start();
    /// Returns how long it takes until peers of the region know of a change of loads.
    [[nodiscard]] Milliseconds loadNewsTime() const { return m_loadNewsTime; }
    /// Sends a full report soon.
    void announceJobs() { m_mustSendJobs = true; }
    /// Sends a full report soon, because this process knows more of the fleet.
    void announceFleet() { m_mustSendJobs = true; }
    /// Replaces the peers to report to before the list of members is known.
    void setSeeds(std::vector<Endpoint> seeds);
    /// Tells the peers that this process is about to end.
    void announceLeaving();

private:
    void receive();
    void take(std::string_view bytes, const boost::asio::ip::udp::endpoint &sender);
    void sendLoop();
    void sendReports(TimePoint now);
    [[nodiscard]] PeerReport loadReport() const;
    void sendTo(const Endpoint &destination, const std::string &bytes);

    FiberThreads &m_threads;
    PeerTable &m_peers;
    UpstreamTable &m_upstreams;
    CrashTracker &m_crashes;
    PeerLinkSettings m_settings;
    boost::asio::ip::udp::socket m_socket;
    std::map<Endpoint, TimePoint> m_sentAt;
    TimePoint m_jobsSentAt{};
    Milliseconds m_loadNewsTime{};
    std::atomic<bool> m_mustSendJobs{true};
    std::atomic<bool> m_hasLoadChanged{true};
};

} // namespace Radishplank
