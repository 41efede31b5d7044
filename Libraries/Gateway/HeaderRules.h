#pragma once

#include <Net/HttpMessage.h>

#include <span>
#include <string_view>

namespace Radishplank {

/// Copies the end-to-end header fields: all fields except hop-by-hop fields, those listed in the
/// `Connection` field, and the omitted ones.
[[nodiscard]] HttpHeaders endToEndHeaders(const HttpHeaders &headers,
                                          std::span<const std::string_view> omitted = {});

} // namespace Radishplank
