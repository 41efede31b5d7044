#include <Limits/ConcurrencyShare.h>

#include <algorithm>
#include <utility>

namespace Radishplank {

std::int64_t concurrencyShare(std::int64_t limit, std::string_view key,
                              std::span<const NodeId> members, const NodeId &own)
{
    if (std::find(members.begin(), members.end(), own) == members.end())
        return 0;
    const auto count = static_cast<std::int64_t>(members.size());
    const auto seed = stableHash(key);
    const auto scoreOf
            = [seed](const NodeId &node) { return std::pair(stableHash(node.text(), seed), node); };
    const auto ownScore = scoreOf(own);
    const auto rank = std::count_if(members.begin(), members.end(), [&](const NodeId &member) {
        return scoreOf(member) < ownScore;
    });
    return limit / count + (rank < limit % count ? 1 : 0);
}

} // namespace Radishplank
