#pragma once

#include <Core/Findings.h>
#include <Core/Result.h>

#include <boost/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// How to handle an object in which a field occurs twice.
enum class DuplicateFields { Refused, LastWins };

/// Parses a text that consists of one JSON object.
Result<boost::json::object> parseJsonObject(std::string_view text,
                                            DuplicateFields duplicates = DuplicateFields::Refused);
/// Parses a document that other programs have written parts of. Values in it that the parser cannot
/// represent (nested too deeply, or numbers with a huge exponent) are read as null, and invalid
/// UTF-8 is kept, so that one such part does not make the others unreadable.
Result<boost::json::object> parseForeignJsonObject(std::string_view text);

/// Reads typed fields of a JSON object and collects errors in them.
class JsonReader
{
public:
    JsonReader(const boost::json::object &object, std::string place, Findings &findings);

    [[nodiscard]] std::string requiredText(std::string_view field);
    [[nodiscard]] std::string text(std::string_view field, std::string_view fallback);
    [[nodiscard]] std::int64_t integer(std::string_view field, std::int64_t fallback,
                                       std::int64_t lowest, std::int64_t highest);
    [[nodiscard]] double number(std::string_view field, double fallback);
    [[nodiscard]] bool boolean(std::string_view field, bool fallback);
    [[nodiscard]] std::vector<std::string> texts(std::string_view field);

    /// Reports every field that is not in the list.
    void rejectUnknownFields(std::initializer_list<std::string_view> known);

private:
    void report(std::string_view field, std::string message);

    const boost::json::object &m_object;
    std::string m_place;
    Findings &m_findings;
};

/// Returns the string in a field, or nothing if it is missing or of another type.
[[nodiscard]] std::optional<std::string> textField(const boost::json::object &object,
                                                   std::string_view field);

/// Returns the integer in a field, or the fallback if it is missing or of another type.
[[nodiscard]] std::int64_t integerField(const boost::json::object &object, std::string_view field,
                                        std::int64_t fallback);

} // namespace Radishplank
