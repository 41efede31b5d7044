#pragma once

#include "Entry/CallRunner.h"

namespace Radishplank {

void respondJson(HttpExchange &exchange, unsigned status, const boost::json::value &value);
/// Responds with a JSON error body, the outcome header and, if set, Retry-After.
void respondError(HttpExchange &exchange, const CallResult &result);
void respondError(HttpExchange &exchange, unsigned status, Outcome outcome, std::string_view code,
                  std::string_view message);
/// Maps the kind of a library error to a status and a code, and responds with them.
void respondError(HttpExchange &exchange, const Error &error);
[[nodiscard]] boost::json::object describeError(const CallResult &result);

} // namespace Radishplank
