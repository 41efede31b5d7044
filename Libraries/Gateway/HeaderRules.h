#pragma once

#include <Net/HttpMessage.h>

#include <initializer_list>
#include <string_view>

namespace Radishplank {

/// Copies the end-to-end header fields: all fields except hop-by-hop fields, those listed in the
/// `Connection` field, and the omitted ones.
[[nodiscard]] HttpHeaders endToEndHeaders(const HttpHeaders &headers,
                                          std::initializer_list<std::string_view> omitted = {});

} // namespace Radishplank
