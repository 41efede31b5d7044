#include "Commands.h"

#include <iostream>

using namespace Radishplank;

namespace {

constexpr std::string_view usage
        = "radishplankctl [SETTING...] batch|catalogue|explain|state ...\n"
          "  batch submit NAME | status NAME | results NAME | cancel NAME | list\n"
          "  catalogue check FILE... | put KEY | get KEY | list | delete KEY | status\n"
          "  explain ID [LOG-FILE...]\n"
          "  state ADDRESS:PORT\n"
          "Exit codes: 0 success, 1 rejected or failed, 2 usage, 3 conflict, 4 not found,\n"
          "5 unavailable (try again).";

void bindSettings(Settings &settings, CommandSettings &values)
{
    settings.bind(&values.callers, "callers", "ADDRESS:PORT",
                  "Address of an entry process for callers.");
    settings.bind(&values.operators, "operators", "ADDRESS:PORT",
                  "Address of an entry process for operators.");
    settings.bind(&values.token, "token", "TEXT", "Bearer token of the owner.");
    settings.bind(&values.operatorToken, "operator-token", "TEXT", "Bearer token of operators.");
    settings.bind(&values.entry, "entry-name", "NAME", "Catalogue entry that a job uses.");
    settings.bind(&values.dueSeconds, "due", "SECONDS", "Time from now until a job is due.");
    settings.bind(&values.ifVersion, "if-version", "VERSION",
                  "Version read before the change; 0 if the object is new.");
    settings.bind(&values.file, "file", "PATH",
                  "Input file of submit and put; - is standard input.");
    settings.bind(&values.isJson, "json", "true|false", "Print JSON instead of tables.");
    settings.bind(&values.waitsForEnd, "wait", "true|false", "Wait until the job has ended.");
}

CommandResult run(const CommandSettings &settings, const std::vector<std::string> &command)
{
    FiberThreads threads(1);
    ControlClient client(threads);
    const auto arguments = Arguments(command).subspan(1);
    if (command[0] == "batch")
        return runBatchCommand(client, settings, arguments);
    if (command[0] == "catalogue")
        return runCatalogueCommand(client, settings, arguments);
    if (command[0] == "explain")
        return runExplainCommand(settings, arguments);
    if (command[0] == "state")
        return runStateCommand(client, settings, arguments);
    return usageError("unknown command '" + command[0] + "'");
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CommandSettings values;
    Settings settings;
    bindSettings(settings, values);
    const auto parsed
            = settings.parse(std::span(arguments, static_cast<std::size_t>(argumentCount)));
    if (const auto status = settings.reportErrorOrHelp(parsed, usage))
        return *status;
    if (parsed.value().positional.empty()) {
        std::cerr << settings.helpText(usage);
        return static_cast<int>(ExitCode::Usage);
    }
    const auto result = run(values, parsed.value().positional);
    std::cout << result.output << std::flush;
    if (!result.error.empty())
        std::cerr << result.error << '\n';
    exitProcess(static_cast<int>(result.code));
}
