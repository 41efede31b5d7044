#include "Agent/AgentDaemon.h"
#include "Entry/EntryDaemon.h"

#include <Net/Net.h>

#include <iostream>
#include <span>

using namespace Radishplank;

namespace {

constexpr std::string_view usage = "radishplankd entry|agent [SETTING...]";

/// Parses and validates the settings of one role, then runs it.
template<typename RoleSettings, typename Bind, typename Check, typename Run>
int runRole(std::span<char *> arguments, RoleSettings values, Bind bind, Check check, Run run)
{
    Settings settings;
    bind(settings, values);
    const auto parsed = settings.parse(arguments);
    if (const auto status = settings.reportErrorOrHelp(parsed, usage))
        return *status;
    Findings findings;
    check(values, findings);
    if (!parsed.value().positional.empty())
        findings.add(parsed.value().positional.front(), "unexpected argument");
    if (!findings.isEmpty()) {
        std::cerr << findings.text() << '\n';
        return Settings::usageStatus;
    }
    startLogging(values.common.node,
                 values.common.logFormat == "json" ? LogFormat::Json : LogFormat::KeyValue);
    blockStopSignals();
    const auto result = run(values);
    std::cerr << result.error().message << '\n';
    exitProcess(1);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::span all(arguments, static_cast<std::size_t>(argumentCount));
    const std::string_view role = argumentCount > 1 ? all[1] : "";
    // The first element is the role, in the place where popt expects the program name.
    const auto rest = all.subspan(argumentCount > 1 ? 1 : 0);
    if (role == "entry")
        return runRole(rest, EntrySettings(), bindEntrySettings, checkEntrySettings,
                       runEntryDaemon);
    if (role == "agent")
        return runRole(rest, AgentRoleSettings(), bindAgentSettings, checkAgentSettings,
                       runAgentDaemon);
    (role == "--help" ? std::cout : std::cerr)
            << "Usage: " << usage << "\n"
            << "`radishplankd ROLE --help` lists the settings.\n";
    return role == "--help" ? 0 : Settings::usageStatus;
}
