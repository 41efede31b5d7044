#pragma once

#include "Entry/CallRunner.h"

namespace Radishplank {

void respondJson(HttpExchange &exchange, unsigned status, const boost::json::value &value);
/// Answers with an error in the usual JSON shape.
void respondError(HttpExchange &exchange, const CallResult &result);
void respondError(HttpExchange &exchange, unsigned status, Outcome outcome, std::string_view code,
                  std::string_view message);
/// Answers with the error of a library call.
void respondError(HttpExchange &exchange, const Error &error);
[[nodiscard]] boost::json::object describeError(const CallResult &result);

} // namespace Radishplank
