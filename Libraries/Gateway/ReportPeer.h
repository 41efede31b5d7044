#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <optional>

namespace Radishplank {

/// A peer, as far as the reports that it gets depend on it.
struct ReportPeer
{
    std::uint64_t node = 0;
    ZoneName zone;
    Endpoint datagramEndpoint;
    bool isReachable = false;
    /// When a report from the peer itself arrived last.
    std::optional<TimePoint> heardAt;
    /// Whether the peer understands relayed reports.
    bool relaysReports = false;
};

} // namespace Radishplank
