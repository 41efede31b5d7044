#include <Batch/LeaseObserver.h>

namespace Radishplank {

bool LeaseObserver::hasExpired(const std::string &key, Version version, TimePoint now)
{
    // Over one lease, the clocks of two machines drift apart by far less than this margin.
    const auto margin = m_duration / 10;
    auto &observation = m_observations[key];
    if (observation.version != version) {
        observation = {version, now};
        return false;
    }
    return now - observation.since >= m_duration + margin;
}

} // namespace Radishplank
