#pragma once

#include <Core/Core.h>

#include <string>
#include <vector>

namespace Radishplank {

/// What an answer that began with status 200 came to.
enum class AnswerContent {
    Right,
    CutOff, ///< The answer was right as far as it went, and said that it ended with an error.
    Wrong,
};

/// What became of one call of a replay.
struct CallSample
{
    std::chrono::microseconds offset{0};
    /// HTTP status; 0 if the call failed on the way.
    unsigned status = 0;
    Duration firstToken{};
    Duration whole{};
    AnswerContent content = AnswerContent::Right;
};

struct LoadReport
{
    std::vector<CallSample> samples;
    Duration duration{};

    /// Returns counts and latency quantiles, in milliseconds.
    [[nodiscard]] boost::json::object toJson() const;
    /// Returns one line for each call: offset, status, first token and whole answer in ms.
    [[nodiscard]] std::string toCsv() const;
};

} // namespace Radishplank
