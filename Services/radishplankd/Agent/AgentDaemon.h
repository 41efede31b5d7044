#pragma once

#include "Common/DaemonSettings.h"

namespace Radishplank {

/// Runs an agent until a stop signal, then drains it and exits the process. Returns only if startup
/// fails.
Result<void> runAgentDaemon(const AgentRoleSettings &settings);

} // namespace Radishplank
