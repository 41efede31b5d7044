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

namespace {

/// Copies a JSON document and replaces the values that the parser cannot represent by null.
class JsonRepair
{
public:
    explicit JsonRepair(std::string_view text)
        : m_text(text)
    {
        m_result.reserve(text.size());
    }

    std::string run()
    {
        while (m_position < m_text.size())
            copyNext();
        return std::move(m_result);
    }

private:
    /// Maximum depth that the parser accepts by default.
    static constexpr std::size_t maxDepth = 32;
    /// A longer exponent does not fit into a floating-point number.
    static constexpr std::size_t maxExponentDigits = 4;

    void copyNext()
    {
        const char character = m_text[m_position];
        if (character == '"')
            return append(takeString());
        if (character == '-' || (character >= '0' && character <= '9'))
            return copyNumber();
        m_position += 1;
        if (character == '[' || character == '{') {
            m_depth += 1;
            if (m_depth == maxDepth + 1)
                m_result += "null";
        }
        append({&character, 1});
        if (character == ']' || character == '}')
            m_depth -= m_depth > 0 ? 1 : 0;
    }

    void append(std::string_view text)
    {
        if (m_depth <= maxDepth)
            m_result += text;
    }

    std::string_view takeString()
    {
        const auto start = m_position;
        for (m_position += 1; m_position < m_text.size() && m_text[m_position] != '"'; ++m_position)
            m_position += m_text[m_position] == '\\' ? 1 : 0;
        m_position = std::min(m_position + 1, m_text.size());
        return m_text.substr(start, m_position - start);
    }

    void copyNumber()
    {
        const auto end = m_text.find_first_not_of("+-.0123456789eE", m_position);
        const auto number
                = m_text.substr(m_position, end == std::string_view::npos ? std::string_view::npos
                                                                          : end - m_position);
        m_position += number.size();
        const auto exponent = number.find_first_of("eE");
        const auto firstDigit = exponent == std::string_view::npos
                                        ? exponent
                                        : number.find_first_not_of("+-", exponent + 1);
        const bool isTooLarge = firstDigit != std::string_view::npos
                                && number.size() - firstDigit > maxExponentDigits;
        append(isTooLarge ? "null" : number);
    }

    const std::string_view m_text;
    std::size_t m_position = 0;
    std::size_t m_depth = 0;
    std::string m_result;
};

} // namespace

Result<boost::json::object> parseForeignJsonObject(std::string_view text)
{
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::system::error_code code;
    auto value = boost::json::parse(text, code, {}, options);
    if (code)
        value = boost::json::parse(JsonRepair(text).run(), code, {}, options);
    if (code)
        return Error{ErrorKind::InvalidInput, "malformed JSON: " + code.message()};
    if (!value.is_object())
        return Error{ErrorKind::InvalidInput, "expected a JSON object"};
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
