#include "Commands.h"

#include <Catalogue/Catalogue.h>

namespace Radishplank {

namespace {

constexpr std::string_view usage
        = "expected: catalogue check FILE... | put KEY | get KEY | list | delete KEY | status\n"
          "A KEY is owners/OWNER or entries/OWNER/ENTRY.";

std::string objectTarget(const std::string &key)
{
    return "/catalogue/" + percentEncode(key);
}

/// Checks one line of a catalogue file: `{"key": KEY, "value": OBJECT}`.
void checkLine(std::string_view line, const std::string &place, Findings &findings)
{
    const auto parsed = parseJsonObject(line);
    if (parsed.isError()) {
        findings.add(place, parsed.error().message);
        return;
    }
    const auto key = textField(parsed.value(), "key");
    const auto *value = parsed.value().if_contains("value");
    if (!key || value == nullptr) {
        findings.add(place, "needs a 'key' and a 'value'");
        return;
    }
    const auto found = checkConfigurationObject(std::string(configurationPrefix) + *key,
                                                boost::json::serialize(*value));
    for (const auto &finding : found.all())
        findings.add(place + ": " + finding.place, finding.message);
}

CommandResult check(Arguments files)
{
    Findings findings;
    std::size_t lines = 0;
    for (const auto &file : files) {
        const auto content = readInput(file);
        if (content.isError()) {
            findings.add(file, content.error().message);
            continue;
        }
        std::size_t number = 0;
        std::string_view rest = content.value();
        while (!rest.empty()) {
            const auto end = rest.find('\n');
            const auto line = rest.substr(0, end);
            rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
            number += 1;
            if (line.find_first_not_of(" \t\r") == std::string_view::npos)
                continue;
            lines += 1;
            checkLine(line, file + ":" + std::to_string(number), findings);
        }
    }
    if (!findings.isEmpty())
        return {ExitCode::Failure, "", findings.text()};
    return {ExitCode::Success, std::to_string(lines) + " objects, no findings\n", ""};
}

Result<HttpResponse> call(ControlClient &client, const CommandSettings &settings,
                          std::string method, std::string target, std::string body = "")
{
    HttpRequest request{std::move(method), std::move(target), {}, std::move(body)};
    if (!settings.ifVersion.empty())
        request.headers.add("If-Version", settings.ifVersion);
    return client.send(settings.operators, settings.operatorToken, std::move(request));
}

CommandResult put(ControlClient &client, const CommandSettings &settings, const std::string &key)
{
    auto content = readInput(settings.file);
    if (content.isError())
        return {ExitCode::Failure, "", content.error().message};
    auto result
            = show(settings, call(client, settings, "PUT", objectTarget(key), content.takeValue()));
    if (result.code == ExitCode::Conflict)
        result.error = "another operator has changed " + key
                       + " since you read it; read the object again and reapply your change ("
                       + result.error + ")";
    return result;
}

} // namespace

CommandResult runCatalogueCommand(ControlClient &client, const CommandSettings &settings,
                                  Arguments arguments)
{
    if (arguments.empty())
        return usageError(std::string(usage));
    const auto &subcommand = arguments[0];
    if (subcommand == "check" && arguments.size() > 1)
        return check(arguments.subspan(1));
    if (settings.operators.address.empty())
        return usageError("--operators: is required (an entry process's operator address)");
    if (subcommand == "list" && arguments.size() == 1)
        return show(settings, call(client, settings, "GET", "/catalogue"));
    if (subcommand == "status" && arguments.size() == 1)
        return show(settings, call(client, settings, "GET", "/catalogue-status"));
    if (arguments.size() != 2)
        return usageError(std::string(usage));
    if (subcommand == "get")
        return show(settings, call(client, settings, "GET", objectTarget(arguments[1])));
    if (subcommand == "put")
        return put(client, settings, arguments[1]);
    if (subcommand == "delete")
        return show(settings, call(client, settings, "DELETE", objectTarget(arguments[1])));
    return usageError(std::string(usage));
}

} // namespace Radishplank
