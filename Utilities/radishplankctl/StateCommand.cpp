#include "Commands.h"
#include "Table.h"

namespace Radishplank {

CommandResult show(const CommandSettings &settings, const Result<HttpResponse> &answer)
{
    if (!isSuccess(answer))
        return failureOf(answer);
    const auto parsed = parseJsonObject(answer.value().body);
    if (settings.isJson || parsed.isError())
        return {ExitCode::Success, answer.value().body, ""};
    return {ExitCode::Success, toTable(parsed.value()), ""};
}

CommandResult runStateCommand(ControlClient &client, const CommandSettings &settings,
                              Arguments arguments)
{
    if (arguments.size() != 1)
        return usageError("expected: state ADDRESS:PORT (a process's operator address)");
    const auto address = Endpoint::parse(arguments[0]);
    if (address.isError())
        return usageError(address.error().message);
    return show(settings,
                client.send(address.value(), settings.operatorToken, {"GET", "/state", {}, ""}));
}

} // namespace Radishplank
