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

Milliseconds exponentialBackoff(Milliseconds initialDelay, Milliseconds maxDelay,
                                unsigned earlierDelays)
{
    // Every delay in use reaches its maximum within this many doublings.
    constexpr unsigned maxDoublings = 20;
    return std::min<Milliseconds>(initialDelay * (1U << std::min(earlierDelays, maxDoublings)),
                                  maxDelay);
}

} // namespace Radishplank
