#include "Commands.h"

#include <chrono>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace Radishplank {

namespace {

constexpr std::chrono::milliseconds progressInterval{500};
constexpr std::string_view usage = "expected: batch submit NAME | status NAME | results NAME | "
                                   "cancel NAME | list";

std::string jobTarget(const std::string &name)
{
    return "/v1/batches/" + percentEncode(name);
}

Result<HttpResponse> call(ControlClient &client, const CommandSettings &settings,
                          std::string method, std::string target, std::string body = "")
{
    return client.send(settings.callers, settings.token,
                       {std::move(method), std::move(target), {}, std::move(body)});
}

void printProgress(const boost::json::object &status)
{
    if (isatty(STDERR_FILENO) == 0)
        return;
    std::cerr << '\r' << textField(status, "state").value_or("") << ": "
              << integerField(status, "completed", 0) << " completed, "
              << integerField(status, "failed", 0) << " failed, "
              << integerField(status, "waiting", 0) << " waiting   " << std::flush;
}

/// Polls the status of a job until the job has ended; retries while the service is unavailable.
CommandResult waitForEnd(ControlClient &client, const CommandSettings &settings,
                         const std::string &name)
{
    while (true) {
        const auto answer = call(client, settings, "GET", jobTarget(name));
        if (isSuccess(answer)) {
            const auto status = parseJsonObject(answer.value().body);
            if (status.isError())
                return {ExitCode::Failure, "", status.error().message};
            printProgress(status.value());
            const auto state = textField(status.value(), "state").value_or("");
            if (state == "completed" || state == "cancelled") {
                if (isatty(STDERR_FILENO) != 0)
                    std::cerr << '\n';
                return show(settings, answer);
            }
        } else if (failureOf(answer).code != ExitCode::Unavailable) {
            return failureOf(answer);
        }
        std::this_thread::sleep_for(progressInterval);
    }
}

CommandResult submit(ControlClient &client, const CommandSettings &settings,
                     const std::string &name)
{
    if (settings.entry.empty())
        return usageError("--entry-name: is required to submit a job");
    auto content = readInput(settings.file);
    if (content.isError())
        return {ExitCode::Failure, "", content.error().message};
    const auto target = jobTarget(name) + "?entry=" + percentEncode(settings.entry)
                        + "&due=" + std::to_string(settings.dueSeconds);
    const auto answer = call(client, settings, "PUT", target, content.takeValue());
    if (!settings.waitsForEnd || !isSuccess(answer))
        return show(settings, answer);
    return waitForEnd(client, settings, name);
}

} // namespace

CommandResult runBatchCommand(ControlClient &client, const CommandSettings &settings,
                              Arguments arguments)
{
    if (arguments.empty())
        return usageError(std::string(usage));
    if (settings.callers.address.empty())
        return usageError("--callers: is required (an entry process's address for callers)");
    const auto &subcommand = arguments[0];
    if (subcommand == "list" && arguments.size() == 1)
        return show(settings, call(client, settings, "GET", "/v1/batches"));
    if (arguments.size() != 2)
        return usageError(std::string(usage));
    const auto &name = arguments[1];
    if (subcommand == "submit")
        return submit(client, settings, name);
    if (subcommand == "status" && settings.waitsForEnd)
        return waitForEnd(client, settings, name);
    if (subcommand == "status")
        return show(settings, call(client, settings, "GET", jobTarget(name)));
    if (subcommand == "cancel")
        return show(settings, call(client, settings, "DELETE", jobTarget(name)));
    if (subcommand != "results")
        return usageError(std::string(usage));
    const auto answer = call(client, settings, "GET", jobTarget(name) + "/results");
    if (!isSuccess(answer))
        return failureOf(answer);
    return {ExitCode::Success, answer.value().body, ""};
}

} // namespace Radishplank
