#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <string>
#include <vector>

namespace Radishplank {

/// Exit codes of radishplankctl.
enum class ExitCode {
    Success = 0,
    Failure = 1,  ///< The request was refused, or failed for a reason of its own.
    Usage = 2,    ///< The command line or a settings variable is wrong.
    Conflict = 3, ///< Somebody else has changed what was to be changed.
    NotFound = 4,
    Unavailable = 5, ///< The process or the store did not answer; try again.
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
    bool isWaiting = false;
};

/// What a command prints, and how it ends.
struct CommandResult
{
    ExitCode code = ExitCode::Success;
    std::string output;
    std::string error;
};

using Arguments = std::span<const std::string>;

/// Sends requests to a process and turns failures into results.
class ControlClient
{
public:
    explicit ControlClient(FiberThreads &threads)
        : m_threads(threads)
    {
    }

    /// Sends one request; the calling thread waits for the whole answer.
    Result<HttpResponse> send(const Endpoint &to, const std::string &token, HttpRequest request);

private:
    FiberThreads &m_threads;
};

/// Returns the result of an answer that is not the one hoped for.
[[nodiscard]] CommandResult failureOf(const Result<HttpResponse> &answer);
[[nodiscard]] bool isSuccess(const Result<HttpResponse> &answer);
[[nodiscard]] CommandResult usageError(std::string message);

/// Reads a file whole; `-` is standard input.
Result<std::string> readInput(const std::string &path);

} // namespace Radishplank
