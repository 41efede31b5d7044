#pragma once

#include <Core/Clock.h>

#include <cstddef>

namespace Radishplank {

/// Limits the number of batch items that one entry process has in flight at one upstream.
///
/// The window grows while the upstream accepts items and shrinks when it refuses one, so that entry
/// processes share the idle slots of an upstream without coordination. Pure.
class BatchWindow
{
public:
    explicit BatchWindow(std::size_t maximum);

    [[nodiscard]] bool mayTake(TimePoint now) const;
    void take();
    void noteFinished();
    /// Records that the upstream has no free slot; the next item is sent after a pause.
    void noteRefused(TimePoint now);
    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }
    [[nodiscard]] TimePoint pausedUntil() const { return m_pausedUntil; }

private:
    void releaseSlot();

    std::size_t m_maximum;
    std::size_t m_inFlight = 0;
    double m_window;
    TimePoint m_pausedUntil{};
};

} // namespace Radishplank
