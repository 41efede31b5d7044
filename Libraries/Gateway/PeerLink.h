#pragma once

#include <Gateway/AdmissionControl.h>
#include <Gateway/CrashTracker.h>
#include <Gateway/CrashingPartDetector.h>
#include <Gateway/FleetReporter.h>
#include <Gateway/PeerTable.h>
#include <Gateway/PeerTraffic.h>
#include <Gateway/UpstreamTable.h>
#include <Net/Net.h>

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

namespace Radishplank {

/// Addresses and position of this process, as its peers see them, and the initial peers.
struct PeerLinkSettings
{
    NodeId node;
    Locality position;
    /// Receives datagrams from peers; the port is the same on all machines.
    Endpoint listen;
    Endpoint control;
    /// Peers that get reports before the list of members is known.
    std::vector<Endpoint> seeds;
};

/// Exchanges reports with the other entry processes by datagrams. Runs on one thread.
class PeerLink
{
public:
    PeerLink(FiberThreads &threads, PeerTable &peers, UpstreamTable &upstreams,
             CrashTracker &crashes, CrashingPartDetector &crashingParts,
             AdmissionControl &admissionControl, PeerLinkSettings settings);

    /// Adds this process's jobs to a full report.
    std::function<void(PeerReport &)> describeJobs;
    /// Adds the number of waiting batch items to a report.
    std::function<void(PeerReport &)> describeWaiting;
    /// Adds this process's view of the fleet to a report.
    std::function<void(PeerReport &)> describeFleet;
    /// Adds this process's pledges for the owners' quotas to a full report.
    std::function<void(PeerReport &)> describeQuotas;
    /// Called for each full report that arrives, with its sender's address.
    std::function<void(const PeerReport &, const Endpoint &sender)> onFullReport;
    /// Called for each report that arrives, also through a relay; `becameReachable` is true for the
    /// first report of a peer and for the first one after the peer was unreachable.
    std::function<void(const PeerReport &, bool becameReachable)> onReport;

    Result<void> start();
    /// Returns how long a change of loads takes to reach the peers in this region.
    [[nodiscard]] Milliseconds loadPropagationTime() const { return m_loadPropagationTime; }
    /// Sends a full report soon.
    void announceJobs() { m_mustSendFullReport = true; }
    /// Sends a full report soon, because this process has newer information about the fleet.
    void announceFleet() { m_mustAnnounceFleet = true; }
    [[nodiscard]] const PeerTraffic &traffic() const { return m_traffic; }
    /// Replaces the peers that get reports before the list of members is known.
    void setSeeds(std::vector<Endpoint> seeds);
    /// Informs the peers that this process is shutting down.
    void announceLeaving();

private:
    void receive();
    void handleDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint &sender);
    void sendLoop();
    void sendReports(TimePoint now);
    void sendInLargeFleet(const PeerReport &report, ReportOccasion occasion, TimePoint now);
    /// Sends a full report to the seeds that are not known as peers.
    void sendToSeeds(const std::string &bytes);
    void applyRelayed(const PeerReport &report, TimePoint now);
    [[nodiscard]] PeerReport loadReport() const;
    void sendTo(const Endpoint &destination, const std::string &bytes, ReportKind kind);

    FiberThreads &m_threads;
    PeerTable &m_peers;
    UpstreamTable &m_upstreams;
    CrashTracker &m_crashes;
    CrashingPartDetector &m_crashingParts;
    AdmissionControl &m_admissionControl;
    PeerLinkSettings m_settings;
    boost::asio::ip::udp::socket m_socket;
    FleetReporter m_reporter;
    PeerTraffic m_traffic;
    std::map<Endpoint, TimePoint> m_sentAt;
    TimePoint m_fullReportSentAt{};
    Milliseconds m_loadPropagationTime{};
    /// The peers have divided the part of this process among themselves.
    bool m_isLeaving = false;
    std::atomic<bool> m_mustSendFullReport{true};
    std::atomic<bool> m_mustAnnounceFleet{false};
    std::atomic<bool> m_hasLoadChanged{true};
};

} // namespace Radishplank
