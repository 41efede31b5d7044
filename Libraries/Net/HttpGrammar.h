#pragma once

#include <Core/Result.h>
#include <Net/HttpMessage.h>

#include <string_view>

namespace Radishplank {

/// Returns whether a text may stand as a method or as the name of a header field (RFC 9110, section
/// 5.6.2).
[[nodiscard]] bool isHttpToken(std::string_view text);
/// Returns whether a text may stand as the value of a header field (RFC 9110, section 5.5). The
/// receiver removes whitespace around it.
[[nodiscard]] bool isHttpFieldValue(std::string_view text);
/// Returns whether a text may stand as the target of a request. Bytes beyond ASCII are allowed, as
/// servers take them too.
[[nodiscard]] bool isHttpTarget(std::string_view text);

/// InvalidInput if a receiver would not read these header fields as they are meant.
[[nodiscard]] Result<void> checkHeaders(const HttpHeaders &headers);
/// InvalidInput if a receiver would not read the request line and headers as they are meant.
[[nodiscard]] Result<void> checkRequestHead(const HttpRequest &request);

} // namespace Radishplank
