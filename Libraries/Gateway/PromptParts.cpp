#include <Gateway/PromptParts.h>

#include <Core/Core.h>
#include <Gateway/CallFingerprint.h>

#include <algorithm>
#include <cctype>

namespace Radishplank {

namespace {

/// A list of ids in a log line stays readable and short.
constexpr std::size_t maxLoggedParts = 8;

/// Returns the id of one entry in lower case, since ids are hexadecimal.
std::string partId(std::string_view entry)
{
    std::string id;
    for (const char character : entry.substr(0, entry.find(':'))) {
        if (std::isspace(static_cast<unsigned char>(character)) == 0)
            id += static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    return id;
}

} // namespace

PromptParts sharedPromptParts(std::string_view list)
{
    PromptParts parts;
    for (auto comma = list.find(','); comma != std::string_view::npos; comma = list.find(',')) {
        const auto id = partId(list.substr(0, comma));
        list.remove_prefix(comma + 1);
        const auto hash = stableHash(id);
        if (id.empty() || std::find(parts.begin(), parts.end(), hash) != parts.end())
            continue;
        parts.push_back(hash);
        if (parts.size() == maxPromptParts)
            break;
    }
    return parts;
}

std::string promptPartsText(std::span<const std::uint64_t> parts)
{
    std::string text;
    for (const auto part : parts.first(std::min(parts.size(), maxLoggedParts))) {
        if (!text.empty())
            text += ' ';
        text += fingerprintText(part);
    }
    return text;
}

} // namespace Radishplank
