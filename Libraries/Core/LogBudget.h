#pragma once

#include <Core/Clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Whether a line tells of something that went wrong for a request or a dependency.
enum class LogImportance { Ordinary, Failure };

/// Bounds the lines of each event by rate, so that no load makes the log grow without end. Pure.
///
/// Answers bursts: each event has lines of its own, so frequent events do not crowd out rare ones,
/// and events of failures have more.
class LogBudget
{
public:
    struct Rate
    {
        double linesPerSecond;
        double burst;
    };
    LogBudget(Rate ordinary, Rate failure);

    /// Takes a line of the event from its budget; false if there is none left.
    bool tryConsumeLine(std::string_view event, LogImportance importance, TimePoint now);
    /// Notes that a line could not be written.
    void countDroppedLine(std::string_view event) { m_dropped[std::string(event)] += 1; }

    struct DroppedLines
    {
        std::string event;
        std::uint64_t lines;
    };
    /// Returns the lines left out since the last time, once in a while and only if there are any.
    std::vector<DroppedLines> takeDroppedLines(TimePoint now);

private:
    struct Bucket
    {
        double lines = 0;
        TimePoint filledAt;
    };

    Rate m_ordinary;
    Rate m_failure;
    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::map<std::string, std::uint64_t> m_dropped;
    TimePoint m_toldAt{};
};

} // namespace Radishplank
