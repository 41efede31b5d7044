#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Hashes of the parts of a call's prompt that other calls may share, without duplicates.
using PromptParts = std::vector<std::uint64_t>;

/// Parses a list of parts in the form "ID:TOKENS,ID:TOKENS,..." and returns the hashes of their ids
/// in order. Leaves out the last part, which belongs to one call or session only, and entries
/// without an id. Never fails: a malformed list yields the parts that can be read, at most
/// `maxPromptParts`.
[[nodiscard]] PromptParts sharedPromptParts(std::string_view list);

inline constexpr std::size_t maxPromptParts = 64;

/// Formats the first parts for log lines, separated by spaces.
[[nodiscard]] std::string promptPartsText(std::span<const std::uint64_t> parts);

} // namespace Radishplank
