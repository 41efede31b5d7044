#pragma once

#include <Core/Core.h>

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// The log lines of several processes that tell of one request, job or item. Pure.
class LogStory
{
public:
    /// `id` names the request, the job or the item.
    explicit LogStory(std::string id);

    /// Takes in one line. What stands before its first brace, as log collectors put it there, is
    /// passed over, and so is a line that is no JSON.
    void addLine(std::string_view line);

    /// Returns the lines that tell of the request, and those that tell what became of the upstreams
    /// and jobs that it met, in order of time.
    [[nodiscard]] std::vector<boost::json::object> lines() const;

    /// Renders lines for people: time, process, event and the other fields.
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
