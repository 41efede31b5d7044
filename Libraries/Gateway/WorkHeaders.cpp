#include <Gateway/WorkHeaders.h>

#include <charconv>
#include <string_view>

namespace Radishplank {

namespace {

unsigned numberAt(std::string_view text)
{
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return 0;
    text.remove_prefix(begin);
    unsigned value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() ? value : 0;
}

std::string_view valueOf(const HttpHeaders &headers, const std::string &name)
{
    return name.empty() ? std::string_view() : headers.find(name).value_or(std::string_view());
}

} // namespace

WorkFeatures workFeatures(const HttpHeaders &headers, const CallHeaderNames &names)
{
    WorkFeatures features;
    const auto usage = valueOf(headers, names.tokenUsage);
    const auto comma = usage.find(',');
    features.promptTokens = numberAt(usage.substr(0, comma));
    if (comma != std::string_view::npos)
        features.maxOutputTokens = numberAt(usage.substr(comma + 1));
    features.lengthHint = numberAt(valueOf(headers, names.lengthHint));
    return features;
}

} // namespace Radishplank
