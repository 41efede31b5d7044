#include "Entry/UsageCounters.h"

namespace Radishplank {

void UsageCounters::note(const OwnerId &owner, WorkClass workClass, std::uint64_t tokens)
{
    const std::scoped_lock lock(m_mutex);
    auto &usage = m_usage[owner];
    if (workClass == WorkClass::Online) {
        usage.onlineCalls += 1;
        usage.onlineTokens += tokens;
    } else {
        usage.batchItems += 1;
        usage.batchTokens += tokens;
    }
}

boost::json::array UsageCounters::state() const
{
    const std::scoped_lock lock(m_mutex);
    boost::json::array result;
    for (const auto &[owner, usage] : m_usage) {
        result.push_back(boost::json::object{{"owner", owner.text()},
                                             {"onlineCalls", usage.onlineCalls},
                                             {"onlineTokens", usage.onlineTokens},
                                             {"batchItems", usage.batchItems},
                                             {"batchTokens", usage.batchTokens}});
    }
    return result;
}

} // namespace Radishplank
