#pragma once

#include "LoadReport.h"
#include "TraceFile.h"

#include <Net/Net.h>

namespace Radishplank {

struct ReplaySettings
{
    std::vector<Endpoint> callers;
    std::string token;
    /// Sends straight to an engine instead: no token, and the entry's name is not used.
    bool isDirect = false;
    bool checksText = true;
};

/// Sends every call of the trace at its time, whatever has become of the earlier ones.
///
/// Latencies count from the time at which the trace wanted the call sent, so a sender that falls
/// behind makes them longer and hides nothing.
LoadReport replay(FiberThreads &threads, const std::vector<TraceCall> &calls,
                  const ReplaySettings &settings);

} // namespace Radishplank
