#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Radishplank {

/// What one process has claimed of a limit that all processes share.
struct Claim
{
    /// In the limit's unit.
    std::int64_t amount = 0;
    /// Differs from write to write of this process, which shows that it lives.
    std::string mark;

    bool operator==(const Claim &) const = default;
};

/// The claims on one limit, as they lie in one object of the store.
struct ClaimSheet
{
    std::map<NodeId, Claim> claims;

    bool operator==(const ClaimSheet &) const = default;
};

[[nodiscard]] std::string serialize(const ClaimSheet &sheet);
[[nodiscard]] Result<ClaimSheet> parseClaimSheet(std::string_view text);

} // namespace Radishplank
