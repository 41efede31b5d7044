#include <Core/Clock.h>

#include <algorithm>
#include <ctime>

namespace Radishplank {

Duration BootClock::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

Milliseconds exponentialBackoff(Milliseconds first, Milliseconds longest, unsigned earlierPauses)
{
    // Beyond this, any pause in use has reached its longest.
    constexpr unsigned maxDoublings = 20;
    return std::min<Milliseconds>(first * (1U << std::min(earlierPauses, maxDoublings)), longest);
}

} // namespace Radishplank
