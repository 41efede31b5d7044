#include <Gateway/PeerTraffic.h>

namespace Radishplank {

namespace {

/// In the order of ReportKind.
constexpr std::array<std::string_view, 3> kindNames{"load", "full", "relay"};

} // namespace

ReportKind kindOf(const PeerReport &report)
{
    if (!report.heard.empty() || !report.relayed.empty())
        return ReportKind::Relay;
    return report.hasJobs ? ReportKind::Full : ReportKind::Load;
}

void PeerTraffic::noteSent(ReportKind kind, std::size_t bytes)
{
    auto &counters = m_counters.at(static_cast<std::size_t>(kind));
    counters.datagramsSent.increase();
    counters.bytesSent.increase(bytes);
}

void PeerTraffic::noteReceived(ReportKind kind, std::size_t bytes)
{
    auto &counters = m_counters.at(static_cast<std::size_t>(kind));
    counters.datagramsReceived.increase();
    counters.bytesReceived.increase(bytes);
}

void PeerTraffic::renderPrometheus(std::string &text) const
{
    for (std::size_t i = 0; i < m_counters.size(); ++i) {
        const auto &counters = m_counters.at(i);
        const auto prefix = "radishplank_peer_" + std::string(kindNames.at(i));
        renderCounter(text, prefix + "_datagrams_sent_total", counters.datagramsSent);
        renderCounter(text, prefix + "_bytes_sent_total", counters.bytesSent);
        renderCounter(text, prefix + "_datagrams_received_total", counters.datagramsReceived);
        renderCounter(text, prefix + "_bytes_received_total", counters.bytesReceived);
    }
}

} // namespace Radishplank
