#pragma once

#include <Core/Result.h>

#include <boost/json/object.hpp>
#include <string>

namespace Radishplank {

/// Blocks the stop signals and SIGHUP in this thread and in threads that it starts; call before
/// starting any thread.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT; call on the main thread.
void waitForStopSignal();

/// The action that a signal requests.
enum class ProcessSignal {
    Stop,   ///< SIGTERM or SIGINT.
    Reload, ///< SIGHUP: settings may have changed.
};

/// Waits for a stop signal or SIGHUP; call on the main thread.
ProcessSignal waitForProcessSignal();

/// Signals readiness to the process supervisor: writes the JSON object to a file atomically, so
/// that a reader sees all of it or none. Does nothing if the path is empty.
Result<void> writeReadyFile(const std::string &path, const boost::json::object &content);

/// Ends the process without running destructors, because its threads still use the objects.
[[noreturn]] void exitProcess(int status);

} // namespace Radishplank
