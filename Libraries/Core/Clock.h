#pragma once

#include <chrono>
#include <concepts>

namespace Radishplank {

/// Monotonic time; functions take the current time as an argument so that tests can control it.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// A source of monotonic time.
template<typename Type>
concept Clock = requires(const Type &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

/// The machine's monotonic clock.
class SteadyClock
{
public:
    [[nodiscard]] TimePoint now() const { return std::chrono::steady_clock::now(); }
};

/// Time since the machine booted. Unlike the steady clock, it includes time spent suspended.
class BootClock
{
public:
    [[nodiscard]] static Duration now();
};

/// A clock for tests that moves only by advance().
class ManualClock
{
public:
    [[nodiscard]] TimePoint now() const { return m_now; }
    void advance(Duration by) { m_now += by; }

private:
    TimePoint m_now{};
};

/// Returns the delay before a retry, which doubles with each earlier delay up to the maximum.
[[nodiscard]] Milliseconds exponentialBackoff(Milliseconds initialDelay, Milliseconds maxDelay,
                                              unsigned earlierDelays);

/// Returns the wall-clock time in milliseconds since the Unix epoch.
[[nodiscard]] inline long long unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
}

} // namespace Radishplank
