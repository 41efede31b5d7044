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
    /// The bytes as they came, the empty line that ends the event included.
    std::string raw;
    std::optional<std::uint64_t> id;
    /// The values of its data lines, joined by line feeds.
    std::string data;
};

/// Splits the bytes of an event stream into whole events.
class EventFramer
{
public:
    /// Takes further bytes and returns the events that they complete.
    [[nodiscard]] std::vector<StreamEvent> feed(std::string_view bytes);
    /// Returns the bytes of the event that is not complete.
    [[nodiscard]] std::string_view partial() const { return m_partial; }

private:
    std::string m_partial;
    /// Where the search for the next end of an event begins.
    std::size_t m_searched = 0;
};

} // namespace Radishplank
