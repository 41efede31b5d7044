#pragma once

#include <Core/Result.h>

#include <boost/json/object.hpp>
#include <string>

namespace Radishplank {

/// Blocks the stop signals and SIGHUP in this thread and those it starts; call before any thread
/// starts.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT; call on the main thread.
void waitForStopSignal();

/// What a process is asked to do by a signal.
enum class ProcessSignal {
    Stop,   ///< SIGTERM or SIGINT.
    Reload, ///< SIGHUP: settings may have changed.
};

/// Waits for a stop signal or SIGHUP; call on the main thread.
ProcessSignal waitForProcessSignal();

/// Tells whoever started this process that it serves: writes the JSON object to a file, in one
/// step, so that a reader sees all of it or nothing. An empty path does nothing.
Result<void> writeReadyFile(const std::string &path, const boost::json::object &content);

/// Ends the process without destroying what its threads still use.
[[noreturn]] void exitProcess(int status);

} // namespace Radishplank
