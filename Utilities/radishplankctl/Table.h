#pragma once

#include <boost/json.hpp>
#include <string>

namespace Radishplank {

/// Renders JSON in a readable form: nested objects by indentation, lists of objects as tables.
[[nodiscard]] std::string toTable(const boost::json::value &value);

} // namespace Radishplank
