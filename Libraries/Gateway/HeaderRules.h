#pragma once

#include <Net/HttpMessage.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Radishplank {

/// Copies the end-to-end header fields: all fields except hop-by-hop fields, those listed in the
/// `Connection` field, and the omitted ones.
[[nodiscard]] HttpHeaders endToEndHeaders(const HttpHeaders &headers,
                                          std::span<const std::string_view> omitted = {});

/// Returns the requests per second that a header field of an answer names; nothing if there is no
/// such field, or if it is not a number that a rate can have.
[[nodiscard]] std::optional<double> requestLimitOf(const HttpHeaders &headers,
                                                   const std::string &name);

} // namespace Radishplank
