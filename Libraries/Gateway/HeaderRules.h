#pragma once

#include <Net/HttpMessage.h>

#include <initializer_list>
#include <string_view>

namespace Radishplank {

/// Copies the fields that go from one connection to the next: all but those that concern a single
/// connection, those that its `Connection` field names, and the ones left out.
[[nodiscard]] HttpHeaders endToEndHeaders(const HttpHeaders &headers,
                                          std::initializer_list<std::string_view> leftOut = {});

} // namespace Radishplank
