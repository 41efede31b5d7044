#pragma once

#include <Core/Core.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Radishplank {

/// Detects streams that send bytes, possibly without end, but no further events.
class StreamProgress
{
public:
    static constexpr std::size_t maxBytesWithoutEvent = std::size_t{1024} * 1024;

    StreamProgress(std::optional<std::uint64_t> lastEvent, TimePoint now)
        : m_lastEvent(lastEvent)
        , m_lastProgress(now)
    {
    }

    /// Records received bytes, and the id of the last event received with or before them.
    void note(std::size_t bytes, std::optional<std::uint64_t> lastEvent, TimePoint now)
    {
        if (lastEvent != m_lastEvent) {
            m_lastEvent = lastEvent;
            m_lastProgress = now;
            m_bytesWithoutEvent = 0;
            return;
        }
        m_bytesWithoutEvent += bytes;
    }

    [[nodiscard]] bool isStalled(Milliseconds idleTimeout, TimePoint now) const
    {
        return m_bytesWithoutEvent > maxBytesWithoutEvent || now - m_lastProgress > idleTimeout;
    }

private:
    std::optional<std::uint64_t> m_lastEvent;
    TimePoint m_lastProgress;
    std::size_t m_bytesWithoutEvent = 0;
};

} // namespace Radishplank
