#include <Core/Log.h>

#include <boost/json.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace Radishplank {

namespace {

struct LogConfiguration
{
    std::string processName = "radishplank";
    LogFormat format = LogFormat::KeyValue;
};

LogConfiguration &logConfiguration()
{
    static LogConfiguration configuration;
    return configuration;
}

std::string keyValueLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "process=" + logConfiguration().processName + " event=";
    line += event;
    for (const auto &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        // Quoting through the JSON codec keeps a value with spaces or newlines on its one line.
        const bool isPlain = field.value.find_first_of(" \"\n\r\t=") == std::string::npos;
        line += isPlain ? field.value : boost::json::serialize(boost::json::string(field.value));
    }
    return line;
}

std::string jsonLine(std::string_view event, std::initializer_list<LogField> fields)
{
    boost::json::object line;
    line["process"] = logConfiguration().processName;
    line["event"] = event;
    for (const auto &field : fields)
        line[field.name] = field.value;
    return boost::json::serialize(line);
}

} // namespace

void startLogging(std::string_view processName, LogFormat format)
{
    logConfiguration() = {std::string(processName), format};
    boost::log::add_common_attributes();
    namespace expressions = boost::log::expressions;
    auto sink = boost::log::add_console_log(std::cerr);
    if (format == LogFormat::Json) {
        sink->set_formatter(expressions::stream << expressions::smessage);
    } else {
        sink->set_formatter(expressions::stream
                            << "time="
                            << expressions::format_date_time<boost::posix_time::ptime>(
                                       "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                            << ' ' << expressions::smessage);
    }
    sink->locked_backend()->auto_flush(true);
}

void logStateChange(std::string_view event, std::initializer_list<LogField> fields)
{
    static boost::log::sources::logger_mt logger;
    const bool isJson = logConfiguration().format == LogFormat::Json;
    BOOST_LOG(logger) << (isJson ? jsonLine(event, fields) : keyValueLine(event, fields));
}

} // namespace Radishplank
