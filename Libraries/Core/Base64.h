#pragma once

#include <Core/Result.h>

#include <string>
#include <string_view>

namespace Radishplank {

/// Encodes bytes by RFC 4648, section 4, with padding.
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/// Decodes what encodeBase64() makes; InvalidInput for any other text.
[[nodiscard]] Result<std::string> decodeBase64(std::string_view text);

} // namespace Radishplank
