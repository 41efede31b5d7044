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
          "Exit codes: 0 success, 1 refused or failed, 2 usage, 3 conflict, 4 not found,\n"
          "5 unavailable (try again).";

void bindSettings(Settings &settings, CommandSettings &values)
{
    settings.bind(&values.callers, "callers", "ADDRESS:PORT",
                  "Entry process, address for callers.");
    settings.bind(&values.operators, "operators", "ADDRESS:PORT",
                  "Entry process, address for operators.");
    settings.bind(&values.token, "token", "TEXT", "Bearer token of the owner.");
    settings.bind(&values.operatorToken, "operator-token", "TEXT", "Bearer token of operators.");
    settings.bind(&values.entry, "entry-name", "NAME", "Catalogue entry that a job is for.");
    settings.bind(&values.dueSeconds, "due", "SECONDS", "When a job is due, counted from now.");
    settings.bind(&values.ifVersion, "if-version", "VERSION",
                  "Version read before the change; 0 for a new object.");
    settings.bind(&values.file, "file", "PATH", "Input of submit and put; - is standard input.");
    settings.bind(&values.isJson, "json", "true|false", "Print JSON in place of tables.");
    settings.bind(&values.isWaiting, "wait", "true|false", "Follow a job to its end.");
}

CommandResult run(const CommandSettings &settings, const std::vector<std::string> &words)
{
    FiberThreads threads(1);
    ControlClient client(threads);
    const auto arguments = Arguments(words).subspan(1);
    if (words[0] == "batch")
        return runBatchCommand(client, settings, arguments);
    if (words[0] == "catalogue")
        return runCatalogueCommand(client, settings, arguments);
    if (words[0] == "explain")
        return runExplainCommand(settings, arguments);
    if (words[0] == "state")
        return runStateCommand(client, settings, arguments);
    return usageError("unknown command '" + words[0] + "'");
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
