#pragma once

#include "Agent/Attempt.h"

#include <Net/Net.h>

namespace Radishplank {

/// Time without progress after which an attempt on a model engine is abandoned.
inline constexpr Milliseconds upstreamProgressTimeout{10'000};

/// Runs an attempt on a model engine and appends its tokens to the attempt; returns the end line.
EndMessage runOnEngine(const Endpoint &engine, Attempt &attempt);

/// Runs an attempt on a plain service and appends its response to the attempt; returns the end
/// line.
EndMessage runOnService(const Endpoint &service, Attempt &attempt);

/// Requests that the engine stop an attempt; the stream itself reports the end.
void cancelOnEngine(const Endpoint &engine, const AttemptId &attempt);

} // namespace Radishplank
