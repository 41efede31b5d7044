#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Radishplank {

/// Returns the first field that occurs twice in one object of a JSON text; nothing if there is
/// none, or if the text is not well-formed.
[[nodiscard]] std::optional<std::string> findDuplicateField(std::string_view text);

} // namespace Radishplank
