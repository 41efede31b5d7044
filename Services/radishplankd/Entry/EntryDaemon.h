#pragma once

#include "Common/DaemonSettings.h"

namespace Radishplank {

/// Runs an entry process until a stop signal, and then until its work has ended.
Result<void> runEntryDaemon(const EntrySettings &settings);

} // namespace Radishplank
