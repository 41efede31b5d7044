#include <Core/DuplicateFields.h>

#include <boost/json/basic_parser_impl.hpp>
#include <unordered_set>
#include <vector>

namespace Radishplank {

namespace {

/// Parser event handler that tracks the field names seen in each open object.
// The parser requires these names of constants and functions.
// NOLINTBEGIN(readability-identifier-naming)
class DuplicateFieldHandler
{
public:
    using Code = boost::system::error_code;
    using Text = boost::json::string_view;

    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    bool on_document_begin(Code &) { return true; }
    bool on_document_end(Code &) { return true; }
    bool on_array_begin(Code &) { return true; }
    bool on_array_end(std::size_t, Code &) { return true; }
    bool on_string_part(Text, std::size_t, Code &) { return true; }
    bool on_string(Text, std::size_t, Code &) { return true; }
    bool on_number_part(Text, Code &) { return true; }
    bool on_int64(std::int64_t, Text, Code &) { return true; }
    bool on_uint64(std::uint64_t, Text, Code &) { return true; }
    bool on_double(double, Text, Code &) { return true; }
    bool on_bool(bool, Code &) { return true; }
    bool on_null(Code &) { return true; }
    bool on_comment_part(Text, Code &) { return true; }
    bool on_comment(Text, Code &) { return true; }

    bool on_object_begin(Code &)
    {
        m_openObjects.emplace_back();
        return true;
    }

    bool on_object_end(std::size_t, Code &)
    {
        m_openObjects.pop_back();
        return true;
    }

    bool on_key_part(Text part, std::size_t, Code &)
    {
        m_name += std::string_view(part);
        return true;
    }

    bool on_key(Text lastPart, std::size_t, Code &code)
    {
        m_name += std::string_view(lastPart);
        auto name = std::exchange(m_name, {});
        if (m_openObjects.back().insert(name).second)
            return true;
        duplicate = std::move(name);
        // Any error code stops the parser.
        code = boost::json::error::syntax;
        return false;
    }

    std::optional<std::string> duplicate;

private:
    std::string m_name;
    std::vector<std::unordered_set<std::string>> m_openObjects;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

std::optional<std::string> findDuplicateField(std::string_view text)
{
    boost::json::basic_parser<DuplicateFieldHandler> parser{boost::json::parse_options()};
    boost::system::error_code code;
    (void)parser.write_some(false, text.data(), text.size(), code);
    return parser.handler().duplicate;
}

} // namespace Radishplank
