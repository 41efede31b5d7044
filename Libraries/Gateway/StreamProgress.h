#pragma once

#include <Core/Core.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Radishplank {

/// Tells a stream that goes on from one that only sends bytes: they may come without end.
class StreamProgress
{
public:
    static constexpr std::size_t maxBytesWithoutEvent = std::size_t{1024} * 1024;

    StreamProgress(std::optional<std::uint64_t> lastEvent, TimePoint now)
        : m_lastEvent(lastEvent)
        , m_since(now)
    {
    }

    /// Takes note of bytes that have come, and of the number of the last event by then.
    void note(std::size_t bytes, std::optional<std::uint64_t> lastEvent, TimePoint now)
    {
        if (lastEvent != m_lastEvent) {
            m_lastEvent = lastEvent;
            m_since = now;
            m_bytes = 0;
            return;
        }
        m_bytes += bytes;
    }

    [[nodiscard]] bool isStuck(Milliseconds silenceLimit, TimePoint now) const
    {
        return m_bytes > maxBytesWithoutEvent || now - m_since > silenceLimit;
    }

private:
    std::optional<std::uint64_t> m_lastEvent;
    TimePoint m_since;
    std::size_t m_bytes = 0;
};

} // namespace Radishplank
