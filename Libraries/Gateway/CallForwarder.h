#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

namespace Radishplank {

/// Forwards a caller's request unchanged to another entry process and returns that process's answer
/// to the caller. Returns false without answering if that process did not answer, failed, or
/// reported that it is not responsible for the request.
bool forwardCall(HttpExchange &exchange, const std::string &body, const Endpoint &peer,
                 Milliseconds timeout);

/// Status by which an entry process tells a peer that it is not responsible for a request.
inline constexpr unsigned misdirectedRequestStatus = 421;

} // namespace Radishplank
