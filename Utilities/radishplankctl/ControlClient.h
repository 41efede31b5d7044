#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <string>
#include <vector>

namespace Radishplank {

/// Exit codes of radishplankctl.
enum class ExitCode {
    Success = 0,
    Failure = 1,  ///< The request was rejected, or failed for another reason.
    Usage = 2,    ///< The command line or a settings variable is wrong.
    Conflict = 3, ///< A concurrent change conflicts with the request.
    NotFound = 4,
    Unavailable = 5, ///< The process or the store did not respond; try again.
};

struct CommandSettings
{
    Endpoint callers;
    Endpoint operators;
    std::string token;
    std::string operatorToken;
    std::string entry;
    std::uint64_t dueSeconds = 86'400;
    std::string ifVersion;
    std::string file = "-";
    bool isJson = false;
    bool waitsForEnd = false;
};

/// Output and exit code of a command.
struct CommandResult
{
    ExitCode code = ExitCode::Success;
    std::string output;
    std::string error;
};

using Arguments = std::span<const std::string>;

/// Sends authenticated HTTP requests to a process.
class ControlClient
{
public:
    explicit ControlClient(FiberThreads &threads)
        : m_threads(threads)
    {
    }

    /// Sends one request; blocks the calling thread until the whole response has arrived.
    Result<HttpResponse> send(const Endpoint &to, const std::string &token, HttpRequest request);

private:
    FiberThreads &m_threads;
};

/// Returns the command result for a failed call or an error response.
[[nodiscard]] CommandResult failureOf(const Result<HttpResponse> &answer);
[[nodiscard]] bool isSuccess(const Result<HttpResponse> &answer);
[[nodiscard]] CommandResult usageError(std::string message);

/// Reads a whole file; `-` is standard input.
Result<std::string> readInput(const std::string &path);

} // namespace Radishplank
