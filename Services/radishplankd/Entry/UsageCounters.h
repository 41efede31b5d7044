#pragma once

#include <Catalogue/Catalogue.h>

#include <map>
#include <mutex>

namespace Radishplank {

/// Counts usage by owner and work class since this process started; thread-safe.
///
/// Counts answered calls, completed items and their tokens. Operators set the prices; batch work is
/// counted separately so that it can cost less.
class UsageCounters
{
public:
    void note(const OwnerId &owner, WorkClass workClass, std::uint64_t tokens);
    [[nodiscard]] boost::json::array state() const;

private:
    struct Usage
    {
        std::uint64_t onlineCalls = 0;
        std::uint64_t onlineTokens = 0;
        std::uint64_t batchItems = 0;
        std::uint64_t batchTokens = 0;
    };

    mutable std::mutex m_mutex;
    std::map<OwnerId, Usage> m_usage;
};

} // namespace Radishplank
