#pragma once

#include <Core/Core.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Radishplank {

enum class RouteKind {
    Call,   ///< One complete answer.
    Stream, ///< A stream of events.
    Batch,  ///< Jobs of many items that run later.
};

/// Whether a call may run more than once.
enum class Repetition { Forbidden, Allowed };

/// Whether a stream may resume at another upstream after the last event received.
enum class Resumption { Forbidden, Allowed };

/// Whether calls need credentials, if the configuration has organisations.
enum class RouteAccess { Restricted, Public };

struct WeightedService
{
    std::string name;
    double weight = 1;
};

/// The services that handle calls for one host and path prefix, and the limits of these calls.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Call;
    Repetition repetition = Repetition::Forbidden;
    Resumption resumption = Resumption::Forbidden;
    RouteAccess access = RouteAccess::Restricted;
    /// Maximum time from the arrival of a call to its final answer.
    Milliseconds timeout{0};
    /// Target time to the answer, or to the first event of a stream.
    Milliseconds target{0};
    /// Target for the maximum pause between two events.
    Milliseconds gapTarget{0};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Maximum number of upstreams on which one call may run.
    unsigned maxUpstreams = 1;
    std::vector<WeightedService> services;
    /// Limit of the total tokens of all items that wait or run at the same time; 0 for no limit.
    std::int64_t maxPendingTokens = 0;
    /// Time from the submission of a job within which its results are due.
    Milliseconds jobTarget{0};
    /// Time from the submission of a job after which its unfinished items may be abandoned.
    Milliseconds jobExpiry{0};

    /// Returns whether a call that may have run can be sent to another upstream.
    [[nodiscard]] bool mayRunAgain() const
    {
        return repetition == Repetition::Allowed || resumption == Resumption::Allowed;
    }
};

/// Size limits and timeouts for requests of callers.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
    Milliseconds headerTimeout{10'000};
    Milliseconds idleTimeout{120'000};
};

/// Chooses one of a route's services by weight; `draw` is in [0, 1).
[[nodiscard]] const std::string &chooseService(const Route &route, double draw);
/// As above, among the services that the predicate accepts; null if there is none.
template<std::predicate<const WeightedService &> IsUsable>
[[nodiscard]] const std::string *chooseService(const Route &route, double draw, IsUsable isUsable)
{
    double total = 0;
    for (const auto &service : route.services)
        total += isUsable(service) ? service.weight : 0;
    double rest = draw * total;
    const std::string *chosen = nullptr;
    for (const auto &service : route.services) {
        if (!isUsable(service))
            continue;
        chosen = &service.name;
        rest -= service.weight;
        if (rest < 0)
            break;
    }
    return chosen;
}

} // namespace Radishplank
