#include <Gateway/CallerAuthenticator.h>

#include <Gateway/RelayCall.h>

#include <boost/algorithm/string/predicate.hpp>

namespace Radishplank {

namespace {

/// How long a token that was found to be unknown is refused without another look.
constexpr Milliseconds unknownTokenTime{2'000};
constexpr std::size_t maxUnknownTokens = 10'000;
/// The configuration is confirmed about twice a second while the store or a peer can be reached.
constexpr Milliseconds evidenceRetryAfter{500};

} // namespace

std::optional<std::string_view> bearerToken(std::string_view credentials)
{
    constexpr std::string_view scheme = "Bearer ";
    if (credentials.size() <= scheme.size()
        || !boost::algorithm::iequals(credentials.substr(0, scheme.size()), scheme))
        return {};
    credentials.remove_prefix(scheme.size());
    const auto begin = credentials.find_first_not_of(' ');
    if (begin == std::string_view::npos)
        return {};
    credentials.remove_prefix(begin);
    return credentials.substr(0, credentials.find_last_not_of(' ') + 1);
}

CallerAuthenticator::CallerAuthenticator(const RouteDirectory &routes,
                                         const ConfigurationEvidence &evidence,
                                         CallHeaderNames headerNames, GatewayMetrics &metrics,
                                         ConfirmConfiguration confirm)
    : m_routes(routes)
    , m_evidence(evidence)
    , m_headerNames(std::move(headerNames))
    , m_metrics(metrics)
    , m_confirm(std::move(confirm))
{
}

std::variant<CallerIdentity, CallerRefusal>
CallerAuthenticator::authenticate(const HttpRequest &request, const Route *route, EvidenceNeed need)
{
    if (!m_routes.hasOwners())
        return CallerIdentity{};
    if (route != nullptr && route->access == RouteAccess::Public)
        return CallerIdentity{true, {}};
    const auto credentials = request.headers.find(m_headerNames.credentials);
    const auto token = credentials ? bearerToken(*credentials) : std::nullopt;
    if (!token) {
        if (route == nullptr)
            return CallerIdentity{true, {}};
        return refuse(request, {401, "the call has no bearer token", {}});
    }
    const auto owner = findOwner(sha256Hex(*token));
    const CallerRefusal unconfirmed{
            503, "the call has not run: the configuration could not be confirmed",
            evidenceRetryAfter};
    if (!owner)
        return refuse(request, unconfirmed);
    if (!*owner)
        return refuse(request, {401, "the token of the call is unknown", {}});
    if (need == EvidenceNeed::RecentlyConfirmed
        && !m_evidence.suffices(m_routes.version(), BootClock::now()))
        return refuse(request, unconfirmed);
    return CallerIdentity{true, *owner};
}

std::optional<std::shared_ptr<const Owner>>
CallerAuthenticator::findOwner(const std::string &digest)
{
    if (auto owner = m_routes.ownerByDigest(digest))
        return owner;
    const auto now = BootClock::now();
    if (isKnownUnknown(digest, now))
        return std::shared_ptr<const Owner>();
    if (!m_evidence.covers(m_routes.version(), now) && !m_confirm(now))
        return {};
    auto owner = m_routes.ownerByDigest(digest);
    if (!owner)
        noteUnknown(digest, now);
    return owner;
}

bool CallerAuthenticator::isKnownUnknown(const std::string &digest, Duration now)
{
    const auto found = m_unknownTokens.find(digest);
    return found != m_unknownTokens.end() && now - found->second < unknownTokenTime;
}

void CallerAuthenticator::noteUnknown(const std::string &digest, Duration now)
{
    if (m_unknownTokens.size() >= maxUnknownTokens) {
        std::erase_if(m_unknownTokens,
                      [&](const auto &entry) { return now - entry.second >= unknownTokenTime; });
        if (m_unknownTokens.size() >= maxUnknownTokens)
            m_unknownTokens.clear();
    }
    m_unknownTokens[digest] = now;
}

CallerRefusal CallerAuthenticator::refuse(const HttpRequest &request, CallerRefusal refusal)
{
    const bool isUnauthorized = refusal.status == 401;
    (isUnauthorized ? m_metrics.callsUnauthorized : m_metrics.callsUnconfirmed).increase();
    const auto age = m_evidence.age(BootClock::now());
    logFailure(isUnauthorized ? "call-unauthorized" : "call-unconfirmed",
               {{"id", request.headers.value(m_headerNames.attemptId)},
                {"configuration", std::to_string(m_routes.version())},
                {"evidenceMs", age ? std::to_string(age->count()) : ""},
                {"reason", refusal.reason}});
    return refusal;
}

void CallerAuthenticator::answer(HttpExchange &exchange, const CallerRefusal &refusal)
{
    HttpHeaders headers{{"Content-Type", "text/plain"}};
    if (refusal.status == 401)
        headers.add("WWW-Authenticate", "Bearer");
    if (refusal.retryAfter)
        headers.add("Retry-After", retryAfterText(*refusal.retryAfter));
    (void)exchange.respond({refusal.status, std::move(headers), refusal.reason + "\n"});
}

} // namespace Radishplank
