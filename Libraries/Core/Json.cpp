#include <Core/Json.h>

#include <Core/DuplicateFields.h>

#include <algorithm>

namespace Radishplank {

Result<boost::json::object> parseJsonObject(std::string_view text, DuplicateFields duplicates)
{
    boost::system::error_code code;
    auto value = boost::json::parse(text, code);
    if (code)
        return Error{ErrorKind::InvalidInput, "malformed JSON: " + code.message()};
    if (!value.is_object())
        return Error{ErrorKind::InvalidInput, "expected a JSON object"};
    // JSON parsers disagree on which of two duplicate fields wins, so the text is ambiguous.
    const auto twice
            = duplicates == DuplicateFields::Refused ? findDuplicateField(text) : std::nullopt;
    if (twice)
        return Error{ErrorKind::InvalidInput, "the field '" + *twice + "' occurs twice"};
    return std::move(value.as_object());
}

JsonReader::JsonReader(const boost::json::object &object, std::string place, Findings &findings)
    : m_object(object)
    , m_place(std::move(place))
    , m_findings(findings)
{
}

std::string JsonReader::requiredText(std::string_view field)
{
    const auto *value = m_object.if_contains(field);
    if (value == nullptr) {
        report(field, "is required");
        return {};
    }
    auto result = text(field, "");
    if (value->is_string() && result.empty())
        report(field, "must not be empty");
    return result;
}

std::string JsonReader::text(std::string_view field, std::string_view fallback)
{
    const auto *value = m_object.if_contains(field);
    if (value == nullptr)
        return std::string(fallback);
    if (!value->is_string()) {
        report(field, "must be a string");
        return std::string(fallback);
    }
    return std::string(value->as_string());
}

std::int64_t JsonReader::integer(std::string_view field, std::int64_t fallback, std::int64_t lowest,
                                 std::int64_t highest)
{
    const auto *value = m_object.if_contains(field);
    if (value == nullptr)
        return fallback;
    if (!value->is_int64()) {
        report(field, "must be a whole number");
        return fallback;
    }
    const auto number = value->as_int64();
    if (number < lowest || number > highest) {
        report(field,
               "must lie between " + std::to_string(lowest) + " and " + std::to_string(highest));
        return fallback;
    }
    return number;
}

double JsonReader::number(std::string_view field, double fallback)
{
    const auto *value = m_object.if_contains(field);
    if (value == nullptr)
        return fallback;
    if (!value->is_number()) {
        report(field, "must be a number");
        return fallback;
    }
    const auto number = value->to_number<double>();
    if (number < 0)
        report(field, "must not be negative");
    return number;
}

bool JsonReader::boolean(std::string_view field, bool fallback)
{
    const auto *value = m_object.if_contains(field);
    if (value == nullptr)
        return fallback;
    if (!value->is_bool()) {
        report(field, "must be true or false");
        return fallback;
    }
    return value->as_bool();
}

std::vector<std::string> JsonReader::texts(std::string_view field)
{
    const auto *value = m_object.if_contains(field);
    if (value == nullptr)
        return {};
    if (!value->is_array()) {
        report(field, "must be a list of strings");
        return {};
    }
    std::vector<std::string> result;
    for (const auto &element : value->as_array()) {
        if (!element.is_string()) {
            report(field, "must hold only strings");
            continue;
        }
        result.emplace_back(element.as_string());
    }
    return result;
}

void JsonReader::rejectUnknownFields(std::initializer_list<std::string_view> known)
{
    for (const auto &member : m_object) {
        const std::string_view name = member.key();
        if (std::find(known.begin(), known.end(), name) == known.end())
            report(name, "is not a known field");
    }
}

void JsonReader::report(std::string_view field, std::string message)
{
    m_findings.add(m_place + "." + std::string(field), std::move(message));
}

std::optional<std::string> textField(const boost::json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(field);
    if (value == nullptr || !value->is_string())
        return {};
    return std::string(value->as_string());
}

std::int64_t integerField(const boost::json::object &object, std::string_view field,
                          std::int64_t fallback)
{
    const auto *value = object.if_contains(field);
    if (value == nullptr || !value->is_int64())
        return fallback;
    return value->as_int64();
}

} // namespace Radishplank
