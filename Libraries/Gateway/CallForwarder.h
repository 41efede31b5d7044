#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

namespace Radishplank {

/// Passes a caller's request as it is to another entry process and its answer back. Returns false,
/// with nothing answered, if that process did not answer or says that it is not the one to ask.
bool forwardCall(HttpExchange &exchange, const std::string &body, const Endpoint &peer,
                 Milliseconds timeout);

/// Status by which an entry process tells another that it is not the one to ask.
inline constexpr unsigned notTheOneStatus = 421;

} // namespace Radishplank
