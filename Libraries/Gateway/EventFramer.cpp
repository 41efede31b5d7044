#include <Gateway/EventFramer.h>

#include <charconv>

namespace Radishplank {

namespace {

/// Returns where the first event of the text ends, or nothing if it is incomplete.
std::optional<std::size_t> findEventEnd(std::string_view text, std::size_t from)
{
    for (auto end = text.find('\n', from); end != std::string_view::npos;
         end = text.find('\n', end + 1)) {
        const auto rest = text.substr(end + 1);
        if (rest.starts_with("\n"))
            return end + 2;
        if (rest.starts_with("\r\n"))
            return end + 3;
    }
    return {};
}

std::string_view fieldValue(std::string_view line, std::string_view name)
{
    auto value = line.substr(name.size() + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

bool isField(std::string_view line, std::string_view name)
{
    return line.starts_with(name) && line.size() > name.size() && line[name.size()] == ':';
}

StreamEvent parseEvent(std::string_view raw)
{
    StreamEvent event{std::string(raw), {}, {}};
    bool hasData = false;
    while (!raw.empty()) {
        const auto end = raw.find('\n');
        auto line = raw.substr(0, end);
        raw.remove_prefix(end == std::string_view::npos ? raw.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (isField(line, "id")) {
            const auto digits = fieldValue(line, "id");
            std::uint64_t id = 0;
            if (std::from_chars(digits.data(), digits.data() + digits.size(), id).ec == std::errc())
                event.id = id;
        } else if (isField(line, "data")) {
            if (hasData)
                event.data += '\n';
            hasData = true;
            event.data += fieldValue(line, "data");
        }
    }
    return event;
}

} // namespace

std::vector<StreamEvent> EventFramer::feed(std::string_view bytes)
{
    m_partial += bytes;
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    while (const auto end = findEventEnd(std::string_view(m_partial).substr(begin),
                                         begin == 0 ? m_searchStart : 0)) {
        events.push_back(parseEvent(std::string_view(m_partial).substr(begin, *end)));
        begin += *end;
    }
    m_partial.erase(0, begin);
    // Up to two bytes of the end of an event may be at the end of the partial data.
    m_searchStart = m_partial.size() < 2 ? 0 : m_partial.size() - 2;
    return events;
}

} // namespace Radishplank
