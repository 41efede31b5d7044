#pragma once

#include <Core/Core.h>

#include <string>
#include <vector>

namespace Radishplank {

/// Content of an answer with status 200.
enum class AnswerContent {
    Correct,
    Truncated, ///< The answer is a correct prefix that ends with an error event.
    Wrong,
};

/// Outcome of one call of a replay.
struct CallSample
{
    std::chrono::microseconds offset{0};
    /// HTTP status; 0 if the call failed before its answer was complete.
    unsigned status = 0;
    Duration timeToFirstToken{};
    Duration totalTime{};
    AnswerContent content = AnswerContent::Correct;
};

struct LoadReport
{
    std::vector<CallSample> samples;
    Duration duration{};

    /// Returns counts and latency quantiles, in milliseconds.
    [[nodiscard]] boost::json::object toJson() const;
    /// Returns one line per call: offset, status, time to the first token and to the end, in ms.
    [[nodiscard]] std::string toCsv() const;
};

} // namespace Radishplank
