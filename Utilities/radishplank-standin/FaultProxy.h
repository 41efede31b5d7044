#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Radishplank {

/// Forwards TCP connections over named links and harms them on request.
///
/// A route is `LINK:LISTEN=TARGET`; routes of one link share its faults and its bandwidth. A
/// further listener takes `POST /links/LINK` with any of `mode` (`pass`, `cut`, `stall`, or
/// `stall-open`, which silences the connections open now and lets new ones through), `direction`
/// (`both`, `forward`, `backward`), `delayMs` and `bytesPerSecond` (0 is unlimited), and
/// `GET /links` with the bytes carried.
class FaultProxy
{
public:
    struct Link;

    /// Starts listening on every route; findings name the routes that are wrong.
    static Result<std::unique_ptr<FaultProxy>> create(FiberThreads &threads,
                                                      const std::vector<std::string> &routes);
    void handle(HttpExchange &exchange);
    /// Returns the address that each route listens on, in the order given.
    [[nodiscard]] const std::vector<Endpoint> &listeners() const { return m_listeners; }

private:
    Result<void> addRoute(FiberThreads &threads, const std::string &route);
    void changeLink(HttpExchange &exchange, Link &link);
    void showLinks(HttpExchange &exchange);

    std::map<std::string, std::shared_ptr<Link>> m_links;
    std::vector<Endpoint> m_listeners;
};

} // namespace Radishplank
