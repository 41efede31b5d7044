#pragma once

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

/// Sends log lines of this process to standard error in the given format.
void startLogging(std::string_view processName, LogFormat format);

/// Writes one line for a change of state. Repeated events are counted by metrics instead.
void logStateChange(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Radishplank
