#pragma once

#include <Gateway/CallHeaderNames.h>
#include <Net/HttpMessage.h>
#include <Serving/WorkEstimator.h>

namespace Radishplank {

/// Reads what a request states about its work. Missing or malformed statements count as 0; service,
/// route and owner are left to the caller.
[[nodiscard]] WorkFeatures workFeatures(const HttpHeaders &headers, const CallHeaderNames &names);

} // namespace Radishplank
