#include "Table.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Radishplank {

namespace {

constexpr std::size_t indentWidth = 2;

std::string cell(const boost::json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : boost::json::serialize(value);
}

bool isTable(const boost::json::value &value)
{
    if (!value.is_array() || value.as_array().empty())
        return false;
    const auto &rows = value.as_array();
    return std::all_of(rows.begin(), rows.end(), [](const auto &row) { return row.is_object(); });
}

void appendTable(std::string &text, const boost::json::array &rows, std::size_t indent)
{
    std::vector<std::string> columns;
    for (const auto &row : rows) {
        for (const auto &member : row.as_object()) {
            const std::string name(member.key());
            if (std::find(columns.begin(), columns.end(), name) == columns.end())
                columns.push_back(name);
        }
    }
    std::vector<std::vector<std::string>> lines{columns};
    for (const auto &row : rows) {
        std::vector<std::string> line;
        for (const auto &column : columns) {
            const auto *value = row.as_object().if_contains(column);
            line.push_back(value == nullptr ? "" : cell(*value));
        }
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    for (const auto &line : lines) {
        std::string row(indent, ' ');
        for (std::size_t i = 0; i < line.size(); ++i) {
            row += line[i];
            row += std::string(widths[i] - line[i].size() + indentWidth, ' ');
        }
        row.erase(row.find_last_not_of(' ') + 1);
        text += row + "\n";
    }
}

void append(std::string &text, const boost::json::object &object, std::size_t indent)
{
    for (const auto &member : object) {
        const auto &value = member.value();
        text += std::string(indent, ' ') + std::string(member.key()) + ":";
        if (value.is_object()) {
            text += "\n";
            append(text, value.as_object(), indent + indentWidth);
        } else if (isTable(value)) {
            text += "\n";
            appendTable(text, value.as_array(), indent + indentWidth);
        } else {
            text += " " + cell(value) + "\n";
        }
    }
}

} // namespace

std::string toTable(const boost::json::value &value)
{
    std::string text;
    if (value.is_object())
        append(text, value.as_object(), 0);
    else
        text = cell(value) + "\n";
    return text;
}

} // namespace Radishplank
