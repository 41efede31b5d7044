#pragma once

#include <Core/LogBudget.h>
#include <Core/Metrics.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace Radishplank {

enum class LogFormat { KeyValue, Json };

/// One key and value of a log line.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// Starts writing log lines to standard output in the given format.
///
/// Writing never blocks: a line that standard output cannot accept at once is dropped and counted.
/// Lines dropped by the rate limit are also reported in a later line.
void startLogging(std::string_view processName, LogFormat format);

/// Logs a change of the process's state or of its view of the system.
void logStateChange(std::string_view event, std::initializer_list<LogField> fields = {});
/// Logs a decision on a request, subject to the event's rate limit.
void logDecision(std::string_view event, std::initializer_list<LogField> fields);
/// Logs the failure of a request, an attempt or a dependency, subject to a higher rate limit.
void logFailure(std::string_view event, std::initializer_list<LogField> fields);

/// Lines written to standard output, and lines dropped by the rate limit or a full pipe.
const Counter &logLinesWritten();
const Counter &logLinesDropped();

} // namespace Radishplank
