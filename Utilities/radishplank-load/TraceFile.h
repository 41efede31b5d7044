#pragma once

#include <Core/Core.h>

#include <string>
#include <vector>

namespace Radishplank {

/// One call of a recorded trace.
///
/// A trace is JSON Lines, ordered by offset:
/// `{"offsetMs": 12.5, "owner": "lotka", "entry": "captions", "prompt": "...", "tokens": 40,
///   "idempotent": true}`.
struct TraceCall
{
    /// Scheduled time of the call, relative to the start of the replay.
    std::chrono::microseconds offset{0};
    std::string owner;
    std::string entry;
    std::string prompt;
    std::uint64_t tokens = 0;
    bool isIdempotent = true;
};

Result<std::vector<TraceCall>> readTrace(const std::string &path);
Result<void> writeTrace(const std::string &path, const std::vector<TraceCall> &calls);

} // namespace Radishplank
