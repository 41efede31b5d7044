#pragma once

#include "Common/DaemonSettings.h"

namespace Radishplank {

/// Runs an agent until a stop signal, and then until its work has ended.
Result<void> runAgentDaemon(const AgentRoleSettings &settings);

} // namespace Radishplank
