#pragma once

#include <Core/Core.h>
#include <Gateway/FleetReporter.h>

#include <array>
#include <cstddef>
#include <string>

namespace Radishplank {

/// Returns what a report that was received contains.
[[nodiscard]] ReportKind kindOf(const PeerReport &report);

/// Counts the datagrams between entry processes and their bytes by kind. Thread-safe.
class PeerTraffic
{
public:
    void noteSent(ReportKind kind, std::size_t bytes);
    void noteReceived(ReportKind kind, std::size_t bytes);
    /// Appends all counters in the Prometheus text format.
    void renderPrometheus(std::string &text) const;

private:
    struct KindCounters
    {
        Counter datagramsSent;
        Counter bytesSent;
        Counter datagramsReceived;
        Counter bytesReceived;
    };

    std::array<KindCounters, 3> m_counters;
};

} // namespace Radishplank
