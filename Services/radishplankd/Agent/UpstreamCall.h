#pragma once

#include "Agent/Attempt.h"

#include <Net/Net.h>

namespace Radishplank {

/// How long an upstream may make no progress before an attempt on it is given up.
inline constexpr Milliseconds upstreamProgressTimeout{10'000};

/// Runs an attempt on the model engine and appends its tokens; returns how it ended.
EndMessage runOnEngine(const Endpoint &engine, Attempt &attempt);

/// Runs an attempt on a plain service and appends its answer; returns how it ended.
EndMessage runOnService(const Endpoint &service, Attempt &attempt);

/// Asks the engine to stop a stream; its end comes on the stream itself.
void cancelOnEngine(const Endpoint &engine, const AttemptId &attempt);

} // namespace Radishplank
