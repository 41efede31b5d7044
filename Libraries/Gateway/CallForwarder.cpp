#include <Gateway/CallForwarder.h>

#include <Gateway/HeaderRules.h>

namespace Radishplank {

namespace {

constexpr Milliseconds connectTimeout{300};

} // namespace

bool forwardCall(HttpExchange &exchange, const std::string &body, const Endpoint &peer,
                 Milliseconds timeout)
{
    const auto &incoming = exchange.request();
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.readTimeout = timeout;
    options.bodyTimeout = timeout;
    auto result = HttpClient::call(
            peer, {incoming.method, incoming.target, endToEndHeaders(incoming.headers), body},
            options);
    auto *answer = std::get_if<HttpResponse>(&result);
    if (answer == nullptr || answer->status == misdirectedRequestStatus || answer->status >= 500)
        return false;
    answer->headers = endToEndHeaders(answer->headers);
    (void)exchange.respond(std::move(*answer));
    return true;
}

} // namespace Radishplank
