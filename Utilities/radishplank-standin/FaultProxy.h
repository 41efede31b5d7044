#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Radishplank {

/// Forwards TCP connections over named links and injects faults on request.
///
/// `PUT /routes/NAME` with `{"link": LINK}` opens a listener and returns its address; a further
/// request with `{"target": ADDRESS}` sets the target of the route. Routes of one link share its
/// faults and its bandwidth. `POST /links/LINK` accepts any of `mode` (`pass`, `cut`, `stall`, or
/// `stall-open`, which stalls the connections that are open and forwards new ones), `direction`
/// (`both`, `forward`, `backward`), `delayMs` and `bytesPerSecond` (0 is unlimited);
/// `GET /links` returns the number of bytes forwarded.
class FaultProxy
{
public:
    struct Link;
    struct Route;

    explicit FaultProxy(FiberThreads &threads)
        : m_threads(threads)
    {
    }

    void handle(HttpExchange &exchange);

private:
    void changeRoute(HttpExchange &exchange, const std::string &name);
    Result<std::shared_ptr<Route>> openRoute(const std::string &link);
    void changeLink(HttpExchange &exchange, Link &link);
    void showLinks(HttpExchange &exchange);

    FiberThreads &m_threads;
    std::map<std::string, std::shared_ptr<Link>> m_links;
    std::map<std::string, std::shared_ptr<Route>> m_routes;
};

} // namespace Radishplank
