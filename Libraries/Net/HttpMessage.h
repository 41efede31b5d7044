#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

struct HttpHeader
{
    std::string name;
    std::string value;
};

/// Header fields in order of arrival; names are case-insensitive.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> headers)
        : m_headers(headers)
    {
    }

    void add(std::string name, std::string value);
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    /// Returns the value of a field, or an empty string if the field is missing.
    [[nodiscard]] std::string value(std::string_view name) const;
    [[nodiscard]] const std::vector<HttpHeader> &all() const { return m_headers; }

private:
    std::vector<HttpHeader> m_headers;
};

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
};

/// A request target split into path and query; both stay percent-encoded.
struct HttpTarget
{
    std::string path;
    std::string query;

    static HttpTarget parse(std::string_view target);
    /// Returns the decoded value of a query parameter, or an empty string.
    [[nodiscard]] std::string parameter(std::string_view name) const;
};

/// Encodes every byte that is not allowed in a path segment.
[[nodiscard]] std::string percentEncode(std::string_view text);
[[nodiscard]] std::string percentDecode(std::string_view text);

} // namespace Radishplank
