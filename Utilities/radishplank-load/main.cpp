#include "Replay.h"
#include "TraceGenerator.h"

#include <fstream>
#include <iostream>

using namespace Radishplank;

namespace {

constexpr std::string_view usage
        = "radishplank-load [SETTING...] generate|replay\n"
          "  generate  writes a random trace to --trace\n"
          "  replay    sends the calls of --trace to the addresses in --callers";

struct LoadSettings
{
    std::string trace;
    GeneratorSettings generator;
    std::vector<std::string> callers;
    std::string token;
    bool isDirect = false;
    bool checksText = true;
    std::string csv;
    std::uint64_t threads = 2;
};

void bindSettings(Settings &settings, LoadSettings &values)
{
    settings.bind(&values.trace, "trace", "PATH", "Trace file in JSON Lines format.",
                  Settings::Presence::Required);
    settings.bind(&values.generator.deployment, "deployment", "sundholl|lotka",
                  "Deployment whose traffic pattern the trace follows.");
    settings.bind(&values.generator.seed, "seed", "NUMBER", "Seed of the generated trace.");
    settings.bind(&values.generator.duration, "duration", "MILLISECONDS", "Length of the trace.");
    settings.bind(&values.generator.callsPerSecond, "rate", "NUMBER", "Mean calls per second.");
    settings.bind(&values.generator.meanTokens, "tokens", "NUMBER",
                  "Mean number of tokens per answer.");
    settings.bind(&values.callers, "callers", "ADDRESS:PORT,...",
                  "Entry processes that receive the calls, in round-robin order.");
    settings.bind(&values.token, "token", "TEXT", "Bearer token of the owner.");
    settings.bind(&values.isDirect, "direct", "true|false",
                  "Send calls directly to engines instead of entry processes.");
    settings.bind(&values.checksText, "check", "true|false",
                  "Compare each answer with the text that the engine stand-in generates.");
    settings.bind(&values.csv, "csv", "PATH", "Output file with one line per call.");
    settings.bind(&values.threads, "threads", "COUNT", "Number of threads that send calls.");
}

Result<void> runGenerate(const LoadSettings &values)
{
    const auto calls = generateTrace(values.generator);
    TRY(writeTrace(values.trace, calls));
    std::cout << calls.size() << " calls\n";
    return {};
}

Result<void> runReplay(const LoadSettings &values)
{
    ReplaySettings settings;
    for (const auto &caller : values.callers)
        settings.targets.push_back(TRY(Endpoint::parse(caller)));
    if (settings.targets.empty())
        return Error{ErrorKind::InvalidInput, "--callers: is required for replay"};
    settings.token = values.token;
    settings.isDirect = values.isDirect;
    settings.checksText = values.checksText;
    const auto calls = TRY(readTrace(values.trace));
    FiberThreads threads(values.threads);
    const auto report = replay(threads, calls, settings);
    std::cout << boost::json::serialize(report.toJson()) << '\n';
    if (!values.csv.empty())
        std::ofstream(values.csv) << report.toCsv();
    return {};
}

} // namespace

int main(int argumentCount, char **arguments)
{
    LoadSettings values;
    Settings settings;
    bindSettings(settings, values);
    const auto parsed
            = settings.parse(std::span(arguments, static_cast<std::size_t>(argumentCount)));
    if (const auto status = settings.reportErrorOrHelp(parsed, usage))
        return *status;
    const auto &words = parsed.value().positional;
    if (words.size() != 1 || (words[0] != "generate" && words[0] != "replay")) {
        std::cerr << settings.helpText(usage);
        return Settings::usageStatus;
    }
    const auto result = words[0] == "generate" ? runGenerate(values) : runReplay(values);
    if (result.isError())
        std::cerr << result.error().message << '\n';
    exitProcess(result.isError() ? 1 : 0);
}
