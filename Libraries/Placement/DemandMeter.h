#pragma once

#include <Control/ControlMessages.h>
#include <Core/Core.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Radishplank {

/// Measures the online demand for each pool. Thread-safe.
class DemandMeter
{
public:
    void noteBegin(const std::string &pool, TimePoint now);
    void noteAnswered(const std::string &pool, TimePoint now);
    void noteRefused(const std::string &pool, TimePoint now);
    [[nodiscard]] std::vector<PoolDemand> totals(TimePoint now) const;

private:
    struct Pool
    {
        std::uint64_t inFlight = 0;
        double slotSeconds = 0;
        std::uint64_t refused = 0;
        std::uint64_t answered = 0;
        TimePoint updatedAt{};
    };

    static double slotSecondsAt(const Pool &pool, TimePoint now);
    Pool &advance(const std::string &pool, TimePoint now);

    mutable std::mutex m_mutex;
    std::map<std::string, Pool> m_pools;
};

/// Returns the average number of slots that the demand between two readings of one process would
/// have used; refused calls count with the average duration of answered calls.
[[nodiscard]] double slotsBetween(const PoolDemand &before, const PoolDemand &after,
                                  Duration passed);

} // namespace Radishplank
