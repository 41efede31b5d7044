#include "ServiceStandin.h"

#include <boost/fiber/operations.hpp>

namespace Radishplank {

void ServiceStandin::handle(HttpExchange &exchange)
{
    if (exchange.request().target == "/executions") {
        boost::json::object counts;
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto &[body, count] : m_executions)
                counts[body] = count;
        }
        (void)exchange.respond({200, {}, boost::json::serialize(counts)});
        return;
    }
    const auto body = exchange.readBody();
    if (body.isError()) {
        (void)exchange.respond({400, {}, body.error().message});
        return;
    }
    {
        // Counted before the wait, because a call whose connection breaks has still run.
        const std::scoped_lock lock(m_mutex);
        m_executions[body.value()] += 1;
    }
    boost::this_fiber::sleep_for(m_workTime);
    const boost::json::object echo{{"path", exchange.request().target}, {"done", body.value()}};
    (void)exchange.respond(
            {200, {{"Content-Type", "application/json"}}, boost::json::serialize(echo)});
}

} // namespace Radishplank
