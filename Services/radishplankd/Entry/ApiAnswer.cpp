#include "Entry/ApiAnswer.h"

namespace Radishplank {

namespace {

constexpr std::string_view jsonType = "application/json";

unsigned statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::Refused:
    case ErrorKind::LimitReached:
        return 429;
    case ErrorKind::Timeout:
    case ErrorKind::Unavailable:
        return 503;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

std::string_view codeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return "invalid_request";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::Refused:
    case ErrorKind::LimitReached:
        return "limit_exceeded";
    case ErrorKind::Timeout:
    case ErrorKind::Unavailable:
        return "store_unavailable";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

/// Rounds up to whole seconds, the unit of the Retry-After header.
std::string retryAfterSeconds(Milliseconds wait)
{
    return std::to_string(std::max<long long>(1, (wait.count() + 999) / 1000));
}

} // namespace

void respondJson(HttpExchange &exchange, unsigned status, const boost::json::value &value)
{
    (void)exchange.respond({status,
                            {{"Content-Type", std::string(jsonType)}},
                            boost::json::serialize(value) + "\n"});
}

boost::json::object describeError(const CallResult &result)
{
    return {{"error",
             boost::json::object{{"message", result.message},
                                 {"type", result.status < 500 ? "request_error" : "server_error"},
                                 {"code", result.code},
                                 {"outcome", outcomeName(result.outcome)}}}};
}

void respondError(HttpExchange &exchange, const CallResult &result)
{
    HttpResponse response{result.status,
                          {{"Content-Type", std::string(jsonType)}},
                          boost::json::serialize(describeError(result)) + "\n"};
    response.headers.add(std::string(AttemptHeader::outcome),
                         std::string(outcomeName(result.outcome)));
    if (result.retryAfter)
        response.headers.add("Retry-After", retryAfterSeconds(*result.retryAfter));
    (void)exchange.respond(std::move(response));
}

void respondError(HttpExchange &exchange, unsigned status, Outcome outcome, std::string_view code,
                  std::string_view message)
{
    CallResult result;
    result.status = status;
    result.outcome = outcome;
    result.code = code;
    result.message = message;
    respondError(exchange, result);
}

void respondError(HttpExchange &exchange, const Error &error)
{
    CallResult result;
    result.status = statusOf(error.kind);
    result.outcome = Outcome::NotRun;
    result.code = codeOf(error.kind);
    result.message = error.message;
    if (result.status == 503 || result.status == 429)
        result.retryAfter = Milliseconds(1'000);
    respondError(exchange, result);
}

} // namespace Radishplank
