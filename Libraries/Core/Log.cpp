#include <Core/Log.h>

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace Radishplank {

namespace {

/// A busy entry process logs about this many decisions of one kind per second.
constexpr LogBudget::Rate ordinaryRate{50, 150};
constexpr LogBudget::Rate failureRate{100, 300};
/// A pipe that polls as writable accepts this many bytes without blocking (POSIX PIPE_BUF).
constexpr std::size_t maxLineBytes = 4'096;

struct LogState
{
    std::string processName = "radishplank";
    LogFormat format = LogFormat::KeyValue;
    std::mutex budgetMutex;
    LogBudget budget{ordinaryRate, failureRate};
    Counter written;
    Counter dropped;
};

LogState &logState()
{
    static LogState state;
    return state;
}

/// Writes each line with one system call, or drops it if the write would block.
class StandardOutputBackend : public boost::log::sinks::basic_formatted_sink_backend<
                                      char, boost::log::sinks::synchronized_feeding>
{
public:
    void consume(const boost::log::record_view &, const string_type &text)
    {
        std::string line = text.substr(0, maxLineBytes - 1);
        line += '\n';
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool isWritable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        const auto length = static_cast<ssize_t>(line.size());
        if (isWritable && ::write(STDOUT_FILENO, line.data(), line.size()) == length)
            logState().written.increase();
        else
            logState().dropped.increase();
    }
};

std::string timeText()
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    tm parts{};
    ::gmtime_r(&now.tv_sec, &parts);
    char text[40];
    const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03ldZ", now.tv_nsec / 1'000'000);
    return text;
}

std::string keyValueLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "time=" + timeText() + " process=" + logState().processName + " event=";
    line += event;
    for (const auto &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        // JSON quoting keeps a value with spaces or newlines on one line.
        const bool isPlain = field.value.find_first_of(" \"\n\r\t=") == std::string::npos;
        line += isPlain ? field.value : boost::json::serialize(boost::json::string(field.value));
    }
    return line;
}

std::string jsonLine(std::string_view event, std::initializer_list<LogField> fields)
{
    boost::json::object line;
    line["time"] = timeText();
    line["process"] = logState().processName;
    line["event"] = event;
    for (const auto &field : fields)
        line[field.name] = field.value;
    return boost::json::serialize(line);
}

void writeLine(std::string_view event, std::initializer_list<LogField> fields)
{
    static boost::log::sources::logger_mt logger;
    const bool isJson = logState().format == LogFormat::Json;
    BOOST_LOG(logger) << (isJson ? jsonLine(event, fields) : keyValueLine(event, fields));
}

void writeWithinBudget(std::string_view event, LogImportance importance,
                       std::initializer_list<LogField> fields)
{
    auto &state = logState();
    std::vector<LogBudget::DroppedLines> dropped;
    bool mayWrite = false;
    {
        const std::scoped_lock lock(state.budgetMutex);
        const auto now = SteadyClock().now();
        mayWrite = state.budget.tryConsumeLine(event, importance, now);
        dropped = state.budget.takeDroppedLines(now);
    }
    for (const auto &summary : dropped) {
        writeLine("log-lines-left-out",
                  {{"of", summary.event}, {"lines", std::to_string(summary.lines)}});
    }
    if (mayWrite)
        writeLine(event, fields);
    else
        state.dropped.increase();
}

} // namespace

void startLogging(std::string_view processName, LogFormat format)
{
    logState().processName = std::string(processName);
    logState().format = format;
    // A closed standard output must not kill the process.
    std::signal(SIGPIPE, SIG_IGN);
    namespace sinks = boost::log::sinks;
    auto sink = boost::make_shared<sinks::synchronous_sink<StandardOutputBackend>>();
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

void logStateChange(std::string_view event, std::initializer_list<LogField> fields)
{
    writeWithinBudget(event, LogImportance::Failure, fields);
}

void logDecision(std::string_view event, std::initializer_list<LogField> fields)
{
    writeWithinBudget(event, LogImportance::Ordinary, fields);
}

void logFailure(std::string_view event, std::initializer_list<LogField> fields)
{
    writeWithinBudget(event, LogImportance::Failure, fields);
}

const Counter &logLinesWritten()
{
    return logState().written;
}

const Counter &logLinesDropped()
{
    return logState().dropped;
}

} // namespace Radishplank
