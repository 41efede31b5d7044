#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace Radishplank {

/// Returns the share of this process in a concurrency limit.
///
/// The shares of all members add up to exactly the limit. The remainder of the equal division goes
/// to members chosen by rendezvous hashing with the limit's key, so that it goes to different
/// members for different limits. A process that is not a member has no share.
[[nodiscard]] std::int64_t concurrencyShare(std::int64_t limit, std::string_view key,
                                            std::span<const NodeId> members, const NodeId &own);

} // namespace Radishplank
