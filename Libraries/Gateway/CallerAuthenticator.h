#pragma once

#include <Gateway/CallHeaderNames.h>
#include <Gateway/ConfigurationEvidence.h>
#include <Gateway/GatewayMetrics.h>
#include <Gateway/RouteTable.h>
#include <Net/Net.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace Radishplank {

/// The organisation in whose name a call is made.
struct CallerIdentity
{
    /// Whether the configuration has organisations, so that calls need credentials.
    bool isRequired = false;
    /// Null if the call has no credentials and needs none.
    std::shared_ptr<const Owner> owner;

    /// Returns the name of the owner; empty without one.
    [[nodiscard]] std::string name() const { return owner ? owner->id.text() : std::string(); }
};

/// Why a call is not served; in every case it has not run.
struct CallerRefusal
{
    unsigned status = 401;
    std::string reason;
    std::optional<Milliseconds> retryAfter;
};

/// What a call needs besides credentials that the known configuration holds.
enum class EvidenceNeed {
    None,              ///< The call runs nothing at upstreams.
    RecentlyConfirmed, ///< The configuration must be known to have been the newest one recently.
};

/// Decides in whose name a call is made, and whether it may be.
///
/// Credentials are neither logged nor kept. A token that the configuration does not hold is refused
/// only if the configuration is not older than the call; otherwise the newest configuration is
/// fetched first, so that a process that lags behind refuses no new key.
class CallerAuthenticator
{
public:
    /// Fetches the newest configuration; returns whether the known configuration is now at least
    /// the one that was the newest at the given time of BootClock. Suspends the calling fiber.
    using ConfirmConfiguration = std::function<bool(Duration since)>;

    CallerAuthenticator(const RouteDirectory &routes, const ConfigurationEvidence &evidence,
                        CallHeaderNames headerNames, GatewayMetrics &metrics,
                        ConfirmConfiguration confirm);

    /// `route` may be null if the call has none; such a call may lack credentials, and its handler
    /// decides by the returned identity.
    [[nodiscard]] std::variant<CallerIdentity, CallerRefusal>
    authenticate(const HttpRequest &request, const Route *route, EvidenceNeed need);

    /// Sends the answer to a refused call.
    static void answer(HttpExchange &exchange, const CallerRefusal &refusal);

private:
    /// Returns the owner of a token, after fetching the newest configuration if necessary; nothing
    /// if it is not certain that the token is unknown.
    [[nodiscard]] std::optional<std::shared_ptr<const Owner>> findOwner(const std::string &digest);
    [[nodiscard]] bool isKnownUnknown(const std::string &digest, Duration now);
    void noteUnknown(const std::string &digest, Duration now);
    CallerRefusal refuse(const HttpRequest &request, CallerRefusal refusal);

    const RouteDirectory &m_routes;
    const ConfigurationEvidence &m_evidence;
    const CallHeaderNames m_headerNames;
    GatewayMetrics &m_metrics;
    ConfirmConfiguration m_confirm;
    /// Digests of tokens that were found to be unknown, and when.
    std::unordered_map<std::string, Duration> m_unknownTokens;
};

/// Returns the token of a bearer credential, or nothing (RFC 6750, section 2.1).
[[nodiscard]] std::optional<std::string_view> bearerToken(std::string_view credentials);

} // namespace Radishplank
