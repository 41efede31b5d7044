#include <Batch/RunTimeEstimate.h>

namespace Radishplank {

namespace {

/// Smoothing factor of the moving average; upstreams slow down and recover within some seconds.
constexpr double smoothingFactor = 0.05;

} // namespace

void RunTimeEstimate::recordCompletion(double size, Duration runTime)
{
    if (size <= 0)
        return;
    const double secondsPerUnit = std::chrono::duration<double>(runTime).count() / size;
    const bool isFirst = m_secondsPerUnit == 0;
    m_secondsPerUnit += (isFirst ? 1 : smoothingFactor) * (secondsPerUnit - m_secondsPerUnit);
}

Duration RunTimeEstimate::expected(double size) const
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(m_secondsPerUnit * size));
}

} // namespace Radishplank
