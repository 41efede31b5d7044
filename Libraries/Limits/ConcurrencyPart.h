#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace Radishplank {

/// Returns which part of a whole number is this process's own.
///
/// The parts of all members add up to the limit exactly. What an equal division leaves over goes to
/// members chosen by hashing with the limit's key, so that it is not always the same ones. A
/// process that is not a member has no part.
[[nodiscard]] std::int64_t concurrencyPart(std::int64_t limit, std::string_view key,
                                           std::span<const NodeId> members, const NodeId &own);

} // namespace Radishplank
