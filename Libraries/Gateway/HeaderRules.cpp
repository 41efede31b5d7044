#include <Gateway/HeaderRules.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <cmath>
#include <string>

namespace Radishplank {

namespace {

/// Hop-by-hop fields (RFC 9110, section 7.6.1), and the fields that frame the body, which each
/// connection sets for itself.
constexpr std::array<std::string_view, 10> connectionFields{
        "Connection", "Keep-Alive",     "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer",
        "Upgrade",    "Content-Length", "Expect",           "Proxy-Authenticate"};

bool isInList(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        const auto token = boost::algorithm::trim_copy(std::string(list.substr(0, comma)));
        if (boost::algorithm::iequals(token, name))
            return true;
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return false;
}

template<typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](std::string_view other) {
        return boost::algorithm::iequals(other, name);
    });
}

} // namespace

HttpHeaders endToEndHeaders(const HttpHeaders &headers, std::span<const std::string_view> omitted)
{
    const auto connection = headers.value("Connection");
    HttpHeaders result;
    for (const auto &header : headers.all()) {
        if (contains(connectionFields, header.name) || contains(omitted, header.name)
            || isInList(connection, header.name))
            continue;
        result.add(header.name, header.value);
    }
    return result;
}

std::optional<double> requestLimitOf(const HttpHeaders &headers, const std::string &name)
{
    const auto text = name.empty() ? std::nullopt : headers.find(name);
    if (!text)
        return {};
    double perSecond = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), perSecond);
    if (parsed.ec != std::errc() || !std::isfinite(perSecond) || perSecond < 0)
        return {};
    return perSecond;
}

} // namespace Radishplank
