#include "Commands.h"
#include "LogTimeline.h"

#include <fstream>
#include <iostream>

namespace Radishplank {

CommandResult runExplainCommand(const CommandSettings &settings, Arguments arguments)
{
    if (arguments.empty())
        return usageError("expected: explain ID [LOG-FILE...]; without files, standard input");
    LogTimeline timeline(arguments[0]);
    std::string line;
    for (const auto &path : arguments.subspan(1)) {
        std::ifstream file(path);
        if (!file)
            return usageError("cannot read the log file " + path);
        while (std::getline(file, line))
            timeline.addLine(line);
    }
    if (arguments.size() == 1) {
        while (std::getline(std::cin, line))
            timeline.addLine(line);
    }
    const auto lines = timeline.lines();
    if (lines.empty())
        return {ExitCode::NotFound, "", "no log line mentions " + arguments[0]};
    if (!settings.isJson)
        return {ExitCode::Success, LogTimeline::render(lines), ""};
    std::string text;
    for (const auto &fields : lines)
        text += boost::json::serialize(fields) + "\n";
    return {ExitCode::Success, text, ""};
}

} // namespace Radishplank
