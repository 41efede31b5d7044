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
    const Endpoint from{sender.address().to_string(), sender.port()};
    const bool becameReachable = m_peers.noteReport(report, from, now);
    m_upstreams.notePeerLoads(report.node, report.loads, report.waiting, now);
    m_admissionControl.notePeerStreams(report.node, report.ownerLoads, now);
    for (const auto &leaving : report.leaving)
        m_upstreams.noteLeaving(leaving);
    m_crashes.applyReport(report.crashUpdates, now);
    m_crashingParts.applyReport(report.partUpdates, now);
    if (onReport)
        onReport(report, becameReachable);
    if (report.hasJobs && onFullReport)
        onFullReport(report, from);
}

void PeerLink::sendLoop()
{
    m_upstreams.onLoadChange = [this] { m_hasLoadChanged = true; };
    m_crashes.onUrgentReport = [this] { m_mustSendFullReport = true; };
    m_crashingParts.onUrgentReport = m_crashes.onUrgentReport;
    while (true) {
        const auto now = SteadyClock().now();
        if (m_hasLoadChanged || m_mustSendFullReport
            || now - m_fullReportSentAt >= fullReportInterval)
            sendReports(now);
        boost::this_fiber::sleep_for(sendInterval);
    }
}

void PeerLink::sendReports(TimePoint now)
{
    m_hasLoadChanged = false;
    const bool isFull = m_mustSendFullReport || now - m_fullReportSentAt >= fullReportInterval;
    auto report = loadReport();
    if (isFull) {
        m_mustSendFullReport = false;
        m_fullReportSentAt = now;
        report.hasJobs = true;
        report.crashUpdates = m_crashes.nextReport(now);
        report.partUpdates = m_crashingParts.nextReport(now);
        if (describeJobs)
            describeJobs(report);
        if (describeQuotas)
            describeQuotas(report);
        if (report.ownedJobs.size() > maxReportedJobs)
            report.ownedJobs.resize(maxReportedJobs);
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
        sendTo(destination.datagramEndpoint, bytes);
    }
    if (!isFull)
        return;
    for (const auto &seed : m_settings.seeds) {
        const Endpoint datagramEndpoint{seed.address, m_settings.listen.port};
        if (seed.address != m_settings.listen.address && !m_sentAt.contains(datagramEndpoint))
            sendTo(datagramEndpoint, bytes);
    }
}

PeerReport PeerLink::loadReport() const
{
    PeerReport report;
    report.node = m_settings.node;
    report.zone = m_settings.position.zone;
    report.control = m_settings.control;
    if (describeFleet)
        describeFleet(report);
    report.loads = m_upstreams.loadsToReport();
    report.ownerLoads = m_admissionControl.ownStreams();
    report.leaving = m_upstreams.leaving();
    if (describeWaiting)
        describeWaiting(report);
    return report;
}

void PeerLink::setSeeds(std::vector<Endpoint> seeds)
{
    m_threads.spawnOn(0, [this, seeds = std::move(seeds)] { m_settings.seeds = seeds; });
}

void PeerLink::announceLeaving()
{
    m_threads.spawnOn(0, [this] {
        auto report = loadReport();
        // The peers distribute the jobs of this process among themselves.
        report.hasJobs = true;
        if (describeJobs)
            describeJobs(report);
        report.isLeaving = true;
        const auto bytes = encodePeerReport(report);
        for (const auto &destination : m_peers.destinations())
            sendTo(destination.datagramEndpoint, bytes);
    });
}

void PeerLink::sendTo(const Endpoint &destination, const std::string &bytes)
{
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(destination.address, code);
    // A datagram that cannot be sent is not retried: the next report supersedes it.
    if (!code)
        m_socket.send_to(boost::asio::buffer(bytes), {address, destination.port}, 0, code);
}

} // namespace Radishplank
