#pragma once

#include <Core/Result.h>

#include <string>
#include <string_view>

namespace Radishplank {

/// Encodes bytes as base64 with padding (RFC 4648, section 4).
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/// Decodes the output of encodeBase64(); InvalidInput for any other text.
[[nodiscard]] Result<std::string> decodeBase64(std::string_view text);

} // namespace Radishplank
