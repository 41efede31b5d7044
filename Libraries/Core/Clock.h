#pragma once

#include <chrono>
#include <concepts>

namespace Radishplank {

/// Monotonic time; decisions take it as an argument so that tests can drive it.
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

/// The clock of this machine.
class SteadyClock
{
public:
    [[nodiscard]] TimePoint now() const { return std::chrono::steady_clock::now(); }
};

/// Time since this machine started. It goes on while the machine is suspended; the steady clock
/// does not.
class BootClock
{
public:
    [[nodiscard]] static Duration now();
};

/// A clock that moves only when told to.
class ManualClock
{
public:
    [[nodiscard]] TimePoint now() const { return m_now; }
    void advance(Duration by) { m_now += by; }

private:
    TimePoint m_now{};
};

/// Returns a pause before trying again that doubles with each earlier one, up to the longest.
[[nodiscard]] Milliseconds exponentialBackoff(Milliseconds first, Milliseconds longest,
                                              unsigned earlierPauses);

/// Milliseconds since the Unix epoch by the wall clock.
[[nodiscard]] inline long long unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
}

} // namespace Radishplank
