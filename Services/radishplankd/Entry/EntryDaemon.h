#pragma once

#include "Common/DaemonSettings.h"

namespace Radishplank {

/// Runs an entry process until it receives a stop signal, then drains it and exits.
Result<void> runEntryDaemon(const EntrySettings &settings);

} // namespace Radishplank
