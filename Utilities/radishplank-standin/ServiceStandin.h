#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <map>
#include <mutex>

namespace Radishplank {

/// Simulates a plain service, such as a booking service; counts the executions of each body.
///
/// Every path except `/executions` runs a call: counts the body, waits, and echoes the body.
class ServiceStandin
{
public:
    explicit ServiceStandin(Milliseconds workTime)
        : m_workTime(workTime)
    {
    }

    void handle(HttpExchange &exchange);

private:
    Milliseconds m_workTime;
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_executions;
};

} // namespace Radishplank
