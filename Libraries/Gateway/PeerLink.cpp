#include <Gateway/PeerLink.h>

#include <Gateway/ReportInterval.h>
#include <Net/Await.h>

#include <boost/fiber/operations.hpp>

namespace Radishplank {

using boost::asio::ip::udp;

namespace {

constexpr Milliseconds sendInterval{20};
constexpr std::size_t maxDatagramBytes = 65'000;
constexpr std::size_t maxReportedJobs = 2'000;

} // namespace

PeerLink::PeerLink(FiberThreads &threads, PeerTable &peers, UpstreamTable &upstreams,
                   CrashTracker &crashes, CrashingPartDetector &crashingParts,
                   AdmissionControl &admissionControl, PeerLinkSettings settings)
    : m_threads(threads)
    , m_peers(peers)
    , m_upstreams(upstreams)
    , m_crashes(crashes)
    , m_crashingParts(crashingParts)
    , m_admissionControl(admissionControl)
    , m_settings(std::move(settings))
    , m_socket(threads.context(0))
    , m_reporter(m_settings.node, m_settings.position)
{
}

Result<void> PeerLink::start()
{
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(m_settings.listen.address, code);
    if (!code)
        m_socket.open(udp::v4(), code);
    if (!code)
        m_socket.bind({address, m_settings.listen.port}, code);
    if (!code)
        m_socket.non_blocking(true, code);
    if (code) {
        return Error{ErrorKind::Unavailable, "cannot receive datagrams on "
                                                     + m_settings.listen.text() + ": "
                                                     + code.message()};
    }
    m_threads.spawnOn(0, [this] { receive(); });
    m_threads.spawnOn(0, [this] { sendLoop(); });
    return {};
}

void PeerLink::receive()
{
    std::string buffer(maxDatagramBytes, '\0');
    udp::endpoint sender;
    while (true) {
        const auto outcome = awaitIo([&](auto handler) {
            m_socket.async_receive_from(boost::asio::buffer(buffer), sender, std::move(handler));
        });
        // An error here may concern a datagram that this process sent and the destination refused;
        // receiving continues.
        if (!outcome.code)
            handleDatagram(std::string_view(buffer).substr(0, outcome.byteCount), sender);
    }
}

void PeerLink::handleDatagram(std::string_view bytes, const udp::endpoint &sender)
{
    const auto decoded = decodePeerReport(bytes);
    if (decoded.isError()) {
        logStateChange("peer-report-unreadable", {{"from", sender.address().to_string()}});
        return;
    }
    const auto &report = decoded.value();
    const auto now = SteadyClock().now();
    m_traffic.noteReceived(kindOf(report), bytes.size());
    if (m_peers.isLargeFleet())
        m_reporter.note(report, now);
    const Endpoint from{sender.address().to_string(), sender.port()};
    const bool becameReachable = m_peers.noteReport(report, from, now);
    m_upstreams.notePeerLoads(report.node, report.loads, report.waiting, now);
    m_admissionControl.notePeerStreams(report.node, report.ownerLoads, now);
    for (const auto &leaving : report.leaving)
        m_upstreams.noteLeaving(leaving);
    m_upstreams.noteLimitReport(report.upstreamLimits, now);
    m_upstreams.noteGrants(report.requestGrants, now);
    m_crashes.applyReport(report.crashUpdates, now);
    m_crashingParts.applyReport(report.partUpdates, now);
    if (onReport)
        onReport(report, becameReachable);
    if (report.hasJobs && onFullReport)
        onFullReport(report, from);
    applyRelayed(report, now);
}

void PeerLink::applyRelayed(const PeerReport &report, TimePoint now)
{
    for (const auto &heard : report.heard)
        m_peers.noteHeard(heard, now);
    for (const auto &[age, relayed] : report.relayed) {
        const Endpoint sender{relayed.control.address, m_settings.listen.port};
        const auto becameReachable = m_peers.noteRelayedReport(relayed, age, sender, now);
        if (!becameReachable)
            continue;
        m_crashes.applyReport(relayed.crashUpdates, now - age);
        m_crashingParts.applyReport(relayed.partUpdates, now - age);
        if (onReport)
            onReport(relayed, *becameReachable);
    }
}

void PeerLink::sendLoop()
{
    m_upstreams.onLoadChange = [this] { m_hasLoadChanged = true; };
    m_upstreams.onLimitChange = [this] { m_mustAnnounceFleet = true; };
    m_crashes.onUrgentReport = [this] { m_mustSendFullReport = true; };
    m_crashingParts.onUrgentReport = m_crashes.onUrgentReport;
    while (true) {
        const auto now = SteadyClock().now();
        if (!m_isLeaving && m_upstreams.serveRequestNeeds())
            m_hasLoadChanged = true;
        if (m_hasLoadChanged || m_mustSendFullReport || m_mustAnnounceFleet
            || now - m_fullReportSentAt >= fullReportInterval)
            sendReports(now);
        boost::this_fiber::sleep_for(sendInterval);
    }
}

void PeerLink::sendReports(TimePoint now)
{
    m_hasLoadChanged = false;
    const bool isPeriodic = now - m_fullReportSentAt >= fullReportInterval;
    const bool isUrgent = m_mustSendFullReport;
    const bool isFull = isUrgent || m_mustAnnounceFleet || isPeriodic;
    auto report = loadReport();
    if (isFull) {
        m_mustSendFullReport = false;
        m_mustAnnounceFleet = false;
        report.hasJobs = true;
        report.crashUpdates = m_crashes.nextReport(now);
        report.partUpdates = m_crashingParts.nextReport(now);
        report.upstreamLimits = m_upstreams.limitsToReport();
        if (describeJobs)
            describeJobs(report);
        if (describeQuotas)
            describeQuotas(report);
        if (report.ownedJobs.size() > maxReportedJobs)
            report.ownedJobs.resize(maxReportedJobs);
    }
    if (m_peers.isLargeFleet()) {
        if (isPeriodic)
            m_fullReportSentAt = now;
        const auto occasion = isUrgent     ? ReportOccasion::Urgent
                              : isPeriodic ? ReportOccasion::Periodic
                              : isFull     ? ReportOccasion::FleetChange
                                           : ReportOccasion::LoadChange;
        return sendInLargeFleet(report, occasion, now);
    }
    if (isFull) {
        m_fullReportSentAt = now;
        std::vector<LimitMember> members;
        for (const auto &peer : m_peers.reportPeers(now)) {
            if (peer.isReachable)
                members.push_back({peer.node, peer.zone});
        }
        m_upstreams.setLimitMembers(members, m_peers.processCount());
    }
    const auto bytes = encodePeerReport(report);
    const auto destinations = m_peers.destinations();
    PeerCounts counts;
    for (const auto &destination : destinations)
        counts.at(m_settings.position.distanceTo(destination.zone)) += 1;
    m_loadPropagationTime = reportInterval(Distance::SameRegion, counts);
    for (const auto &destination : destinations) {
        auto &sentAt = m_sentAt[destination.datagramEndpoint];
        if (!isFull
            && now - sentAt
                       < reportInterval(m_settings.position.distanceTo(destination.zone), counts)) {
            // The next report to this peer contains the change.
            m_hasLoadChanged = true;
            continue;
        }
        sentAt = now;
        sendTo(destination.datagramEndpoint, bytes, isFull ? ReportKind::Full : ReportKind::Load);
    }
    if (isFull)
        sendToSeeds(bytes);
}

void PeerLink::sendToSeeds(const std::string &bytes)
{
    for (const auto &seed : m_settings.seeds) {
        const Endpoint datagramEndpoint{seed.address, m_settings.listen.port};
        if (seed.address != m_settings.listen.address && !m_sentAt.contains(datagramEndpoint))
            sendTo(datagramEndpoint, bytes, ReportKind::Full);
    }
}

void PeerLink::sendInLargeFleet(const PeerReport &report, ReportOccasion occasion, TimePoint now)
{
    const auto subset = m_upstreams.subset();
    const auto peers = m_peers.reportPeers(now);
    const auto datagrams = m_reporter.datagrams(report, occasion, subset.get(), peers, now);
    m_upstreams.restrictTo(m_reporter.position(), m_reporter.cells());
    m_loadPropagationTime = m_reporter.loadPropagationTime();
    const auto cell = m_reporter.cellMembers(peers);
    m_upstreams.setLimitMembers(cell.reachable, cell.size);
    if (m_reporter.hasUnsentLoads())
        m_hasLoadChanged = true;
    for (const auto &datagram : datagrams)
        sendTo(datagram.to, datagram.bytes, datagram.kind);
    if (occasion != ReportOccasion::Periodic || m_settings.seeds.empty())
        return;
    for (const auto &peer : peers)
        m_sentAt.try_emplace(peer.datagramEndpoint, now);
    sendToSeeds(encodePeerReport(report));
}

PeerReport PeerLink::loadReport() const
{
    PeerReport report;
    report.node = m_settings.node;
    report.zone = m_settings.position.zone;
    report.control = m_settings.control;
    report.relaysReports = true;
    if (describeFleet)
        describeFleet(report);
    report.loads = m_upstreams.loadsToReport();
    report.ownerLoads = m_admissionControl.ownStreams();
    report.leaving = m_upstreams.leaving();
    if (describeWaiting)
        describeWaiting(report);
    m_upstreams.describeLimitedCalls(report.waiting);
    report.requestGrants = m_upstreams.grantsToReport();
    return report;
}

void PeerLink::setSeeds(std::vector<Endpoint> seeds)
{
    m_threads.spawnOn(0, [this, seeds = std::move(seeds)] { m_settings.seeds = seeds; });
}

void PeerLink::announceLeaving()
{
    m_threads.spawnOn(0, [this] {
        m_isLeaving = true;
        auto report = loadReport();
        // The peers distribute the jobs of this process among themselves.
        report.hasJobs = true;
        if (describeJobs)
            describeJobs(report);
        report.isLeaving = true;
        const auto bytes = encodePeerReport(report);
        for (const auto &destination : m_peers.destinations())
            sendTo(destination.datagramEndpoint, bytes, ReportKind::Full);
    });
}

void PeerLink::sendTo(const Endpoint &destination, const std::string &bytes, ReportKind kind)
{
    m_traffic.noteSent(kind, bytes.size());
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(destination.address, code);
    // A datagram that cannot be sent is not retried: the next report supersedes it.
    if (!code)
        m_socket.send_to(boost::asio::buffer(bytes), {address, destination.port}, 0, code);
}

} // namespace Radishplank
