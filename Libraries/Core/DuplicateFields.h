#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Radishplank {

/// Returns the first field that occurs twice in one object of a JSON text, or nothing if there is
/// none. A malformed text is checked up to the syntax error.
[[nodiscard]] std::optional<std::string> findDuplicateField(std::string_view text);

} // namespace Radishplank
