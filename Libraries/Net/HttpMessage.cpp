#include <Net/HttpMessage.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/url.hpp>

namespace Radishplank {

void HttpHeaders::add(std::string name, std::string value)
{
    m_headers.push_back({std::move(name), std::move(value)});
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const auto &header : m_headers) {
        if (boost::algorithm::iequals(header.name, name))
            return header.value;
    }
    return {};
}

std::string HttpHeaders::value(std::string_view name) const
{
    return std::string(find(name).value_or(""));
}

HttpTarget HttpTarget::parse(std::string_view target)
{
    const auto separator = target.find('?');
    if (separator == std::string_view::npos)
        return {std::string(target), ""};
    return {std::string(target.substr(0, separator)), std::string(target.substr(separator + 1))};
}

std::string HttpTarget::parameter(std::string_view name) const
{
    // The parsed view refers to this string.
    const std::string reference = "/?" + query;
    const auto parsed = boost::urls::parse_uri_reference(reference);
    if (parsed.has_error())
        return {};
    for (const auto &param : parsed->params()) {
        if (param.key == name)
            return param.value;
    }
    return {};
}

std::string percentEncode(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::string percentDecode(std::string_view text)
{
    const auto decoded = boost::urls::make_pct_string_view(text);
    if (decoded.has_error())
        return std::string(text);
    return decoded->decode();
}

} // namespace Radishplank
