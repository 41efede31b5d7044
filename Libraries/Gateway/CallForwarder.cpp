#include <Gateway/CallForwarder.h>

#include <Gateway/HeaderRules.h>

namespace Radishplank {

namespace {

constexpr Milliseconds connectTimeout{300};

} // namespace

bool forwardCall(HttpExchange &exchange, const std::string &body, const Endpoint &peer,
                 Milliseconds timeout, HeaderChanges changes)
{
    const auto &incoming = exchange.request();
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.readTimeout = timeout;
    options.bodyTimeout = timeout;
    auto &omitted = changes.omitted;
    for (const auto &header : changes.replaced.all())
        omitted.push_back(header.name);
    HttpRequest request{incoming.method, incoming.target,
                        endToEndHeaders(incoming.headers, omitted), body};
    for (const auto &header : changes.replaced.all())
        request.headers.add(header.name, header.value);
    auto result = HttpClient::call(peer, request, options);
    auto *answer = std::get_if<HttpResponse>(&result);
    // The operator may allow callers longer heads than processes take from each other.
    constexpr unsigned headTooLarge = 431;
    if (answer == nullptr || answer->status == misdirectedRequestStatus
        || answer->status == headTooLarge || answer->status >= 500)
        return false;
    answer->headers = endToEndHeaders(answer->headers);
    (void)exchange.respond(std::move(*answer));
    return true;
}

} // namespace Radishplank
