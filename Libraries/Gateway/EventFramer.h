#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// One event of a `text/event-stream`.
struct StreamEvent
{
    /// The bytes as received, including the empty line that ends the event.
    std::string raw;
    std::optional<std::uint64_t> id;
    /// The values of the `data` fields, joined by line feeds.
    std::string data;
};

/// Splits the bytes of an event stream into complete events.
class EventFramer
{
public:
    /// Appends bytes and returns the events that they complete.
    [[nodiscard]] std::vector<StreamEvent> feed(std::string_view bytes);
    /// Returns the bytes of the incomplete event at the end of the stream.
    [[nodiscard]] std::string_view partial() const { return m_partial; }
    /// Returns whether the bytes so far end inside an event. A stream that ends there has been
    /// broken off, however its transfer ends.
    [[nodiscard]] bool isInsideEvent() const
    {
        return m_partial.find_first_not_of("\r\n") != std::string::npos;
    }

private:
    std::string m_partial;
    /// Offset at which the search for the end of the next event starts.
    std::size_t m_searchStart = 0;
};

} // namespace Radishplank
