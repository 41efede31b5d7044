#include "LogTimeline.h"

#include <algorithm>
#include <array>
#include <set>

namespace Radishplank {

namespace json = boost::json;

namespace {

/// Fields that identify the request, job or item that a line belongs to.
constexpr std::array<std::string_view, 3> subjectFields{"id", "job", "item"};
/// Upstream events that may explain the outcome of a request at that upstream.
constexpr std::array<std::string_view, 3> upstreamEvents{"upstream-known", "upstream-removed",
                                                         "upstream-unreadable"};
/// Events that concern the whole process and may explain the outcome of any of its requests.
constexpr std::array<std::string_view, 7> processEvents{
        "entry-started",   "entry-draining", "entry-stopped", "store-unreachable",
        "store-reachable", "store-lost",     "store-back"};

template<typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string fieldOf(const json::object &fields, std::string_view name)
{
    return textField(fields, name).value_or("");
}

} // namespace

LogTimeline::LogTimeline(std::string id)
    : m_id(std::move(id))
{
}

void LogTimeline::addLine(std::string_view line)
{
    const auto brace = line.find('{');
    if (brace == std::string_view::npos)
        return;
    auto fields = parseJsonObject(line.substr(brace), DuplicateFields::LastWins);
    if (fields.isError() || !fields.value().contains("event"))
        return;
    m_lines.push_back({fieldOf(fields.value(), "time"), fields.takeValue()});
}

std::vector<json::object> LogTimeline::lines() const
{
    const auto isAboutSubject = [&](const Line &line) {
        return std::any_of(subjectFields.begin(), subjectFields.end(), [&](std::string_view field) {
            return fieldOf(line.fields, field) == m_id;
        });
    };
    std::set<std::string> upstreams;
    std::set<std::string> processes;
    std::string first;
    std::string last;
    for (const auto &line : m_lines) {
        if (!isAboutSubject(line))
            continue;
        upstreams.insert(fieldOf(line.fields, "upstream"));
        processes.insert(fieldOf(line.fields, "process"));
        first = first.empty() ? line.time : std::min(first, line.time);
        last = std::max(last, line.time);
    }
    const auto isContext = [&](const Line &line) {
        if (line.time < first || line.time > last
            || !processes.contains(fieldOf(line.fields, "process")))
            return false;
        const auto event = fieldOf(line.fields, "event");
        return contains(processEvents, event)
               || (contains(upstreamEvents, event)
                   && upstreams.contains(fieldOf(line.fields, "upstream")));
    };
    std::vector<Line> selected;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(selected),
                 [&](const Line &line) { return isAboutSubject(line) || isContext(line); });
    std::stable_sort(selected.begin(), selected.end(),
                     [](const Line &left, const Line &right) { return left.time < right.time; });
    std::vector<json::object> result;
    for (auto &line : selected)
        result.push_back(std::move(line.fields));
    return result;
}

std::string LogTimeline::render(const std::vector<json::object> &lines)
{
    std::string text;
    for (const auto &line : lines) {
        text += fieldOf(line, "time") + "  " + fieldOf(line, "process") + "  "
                + fieldOf(line, "event");
        for (const auto &[name, value] : line) {
            const bool isPrinted = name == "time" || name == "process" || name == "event";
            if (isPrinted || !value.is_string() || value.as_string().empty())
                continue;
            text += "  " + std::string(name) + "=" + std::string(value.as_string());
        }
        text += '\n';
    }
    return text;
}

} // namespace Radishplank
