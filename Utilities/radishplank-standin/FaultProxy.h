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
/// `PUT /routes/NAME` with `{"link": LINK}` opens a listener and answers with its address; again
/// with `{"target": ADDRESS}` it says where the route leads. Routes of one link share its faults
/// and its bandwidth. `POST /links/LINK` takes any of `mode` (`pass`, `cut`, `stall`, or
/// `stall-open`, which silences the connections open now and lets new ones through), `direction`
/// (`both`, `forward`, `backward`), `delayMs` and `bytesPerSecond` (0 is unlimited);
/// `GET /links` tells the bytes carried.
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
