#include <Batch/RunTimeEstimate.h>

namespace Radishplank {

namespace {

/// Weight of the newest item; upstreams slow down and recover within some seconds.
constexpr double newestWeight = 0.05;

} // namespace

void RunTimeEstimate::noteDone(double size, Duration ranFor)
{
    if (size <= 0)
        return;
    const double secondsPerUnit = std::chrono::duration<double>(ranFor).count() / size;
    const bool isFirst = m_secondsPerUnit == 0;
    m_secondsPerUnit += (isFirst ? 1 : newestWeight) * (secondsPerUnit - m_secondsPerUnit);
}

Duration RunTimeEstimate::expected(double size) const
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(m_secondsPerUnit * size));
}

} // namespace Radishplank
