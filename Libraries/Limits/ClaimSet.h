#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Radishplank {

/// The claim of one process on a limit that all processes share.
struct Claim
{
    /// In the limit's unit.
    std::int64_t amount = 0;
    /// Unique to each write of this process; a change shows that the process is alive.
    std::string writeId;

    bool operator==(const Claim &) const = default;
};

/// The claims of all processes on one limit, stored as one object.
struct ClaimSet
{
    std::map<NodeId, Claim> claims;

    bool operator==(const ClaimSet &) const = default;
};

[[nodiscard]] std::string serialize(const ClaimSet &claimSet);
[[nodiscard]] Result<ClaimSet> parseClaimSet(std::string_view text);

} // namespace Radishplank
