#include <Batch/LeaseObserver.h>

namespace Radishplank {

bool LeaseObserver::hasLapsed(const std::string &key, Version version, TimePoint now)
{
    // Clocks of two machines drift apart by far less than this over one lease.
    const auto margin = m_duration / 10;
    auto &seen = m_seen[key];
    if (seen.version != version) {
        seen = {version, now};
        return false;
    }
    return now - seen.since >= m_duration + margin;
}

} // namespace Radishplank
