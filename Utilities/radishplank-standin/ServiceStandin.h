#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <map>
#include <mutex>

namespace Radishplank {

/// Stands in for a plain service, such as one that books slots: counts how often each body ran.
///
/// Any path but `/executions` runs the call: waits, counts the body, and echoes it.
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
