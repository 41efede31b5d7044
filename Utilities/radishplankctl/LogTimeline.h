#pragma once

#include <Core/Core.h>

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Collects the log lines of several processes that concern one request, job or item. Does no I/O.
class LogTimeline
{
public:
    /// `id` identifies the request, the job or the item.
    explicit LogTimeline(std::string id);

    /// Adds one line. Ignores the text before the first brace, which log collectors prepend, and
    /// lines that are not JSON.
    void addLine(std::string_view line);

    /// Returns the lines of the request, job or item, and the events of its upstreams and processes
    /// in that period, ordered by time.
    [[nodiscard]] std::vector<boost::json::object> lines() const;

    /// Renders lines in a readable form: time, process, event and the other fields.
    [[nodiscard]] static std::string render(const std::vector<boost::json::object> &lines);

private:
    struct Line
    {
        std::string time;
        boost::json::object fields;
    };

    std::string m_id;
    std::vector<Line> m_lines;
};

} // namespace Radishplank
