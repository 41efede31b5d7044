#pragma once

#include "LoadReport.h"
#include "TraceFile.h"

#include <Net/Net.h>

namespace Radishplank {

struct ReplaySettings
{
    std::vector<Endpoint> targets;
    std::string token;
    /// Sends calls directly to engines, without a token; the name of the entry is not used.
    bool isDirect = false;
    bool checksText = true;
};

/// Sends every call of the trace at its scheduled time, regardless of the state of earlier calls.
///
/// Latencies are measured from the scheduled time, so that delays of the sender are included (no
/// coordinated omission).
LoadReport replay(FiberThreads &threads, const std::vector<TraceCall> &calls,
                  const ReplaySettings &settings);

} // namespace Radishplank
