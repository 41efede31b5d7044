#pragma once

#include <Core/Clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Whether a line reports a failure of a request or a dependency.
enum class LogImportance { Ordinary, Failure };

/// Limits the rate of log lines for each event, so that load cannot grow the log without bound.
/// Pure.
///
/// Each event has its own token bucket, so frequent events do not crowd out rare ones; failures
/// have a higher rate and burst.
class LogBudget
{
public:
    struct Rate
    {
        double linesPerSecond;
        double burst;
    };
    LogBudget(Rate ordinary, Rate failure);

    /// Consumes one line of the event's budget; counts the line as dropped and returns false if the
    /// budget is exhausted.
    bool tryConsumeLine(std::string_view event, LogImportance importance, TimePoint now);
    /// Counts a line of the event that was not written.
    void countDroppedLine(std::string_view event) { m_dropped[std::string(event)] += 1; }

    struct DroppedLines
    {
        std::string event;
        std::uint64_t lines;
    };
    /// Returns and clears the dropped lines of each event, at most once per summary interval; empty
    /// otherwise.
    std::vector<DroppedLines> takeDroppedLines(TimePoint now);

private:
    struct Bucket
    {
        double lines = 0;
        TimePoint refilledAt;
    };

    Rate m_ordinary;
    Rate m_failure;
    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::map<std::string, std::uint64_t> m_dropped;
    TimePoint m_summarizedAt{};
};

} // namespace Radishplank
