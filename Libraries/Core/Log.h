#pragma once

#include <Core/LogBudget.h>
#include <Core/Metrics.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace Radishplank {

enum class LogFormat { KeyValue, Json };

/// One named value of a log line.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// Sends log lines of this process to standard output in the given format.
///
/// Never blocks: a line that the reader of standard output has no room for is left out, counted
/// and told of later.
void startLogging(std::string_view processName, LogFormat format);

/// Writes one line for a change of what the process is or believes.
void logStateChange(std::string_view event, std::initializer_list<LogField> fields = {});
/// Writes one line for a decision on a request, within the event's budget.
void logDecision(std::string_view event, std::initializer_list<LogField> fields);
/// Writes one line for a request, an attempt or a dependency that failed.
void logFailure(std::string_view event, std::initializer_list<LogField> fields);

/// Lines that were written, and lines that were left out.
const Counter &logLinesWritten();
const Counter &logLinesDropped();

} // namespace Radishplank
