#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <string_view>
#include <vector>

namespace Radishplank {

/// Changes to the header fields of a forwarded request.
struct HeaderChanges
{
    /// Fields of the caller that are left out.
    std::vector<std::string_view> omitted;
    /// Fields that take the place of those that the caller has sent.
    HttpHeaders replaced;
};

/// Forwards a caller's request to another entry process and returns that process's answer to the
/// caller. Returns false without answering if that process did not answer,
/// failed, or reported that it is not responsible for the request.
bool forwardCall(HttpExchange &exchange, const std::string &body, const Endpoint &peer,
                 Milliseconds timeout, HeaderChanges changes = {});

/// Status by which an entry process tells a peer that it is not responsible for a request.
inline constexpr unsigned misdirectedRequestStatus = 421;

} // namespace Radishplank
