#pragma once

#include <Core/Clock.h>

#include <cstddef>

namespace Radishplank {

/// Bounds how many batch items one entry process has at one upstream.
///
/// Grows while the upstream takes items and shrinks when it refuses one, so that entry processes
/// share the idle slots of an upstream without talking to each other. Pure.
class BatchWindow
{
public:
    explicit BatchWindow(std::size_t highest);

    [[nodiscard]] bool mayTake(TimePoint now) const;
    void take();
    void noteFinished();
    /// Notes that the upstream has no room; it is asked again after a pause.
    void noteRefused(TimePoint now);
    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }
    [[nodiscard]] TimePoint pausedUntil() const { return m_pausedUntil; }

private:
    void leave();

    std::size_t m_highest;
    std::size_t m_inFlight = 0;
    double m_window;
    TimePoint m_pausedUntil{};
};

} // namespace Radishplank
