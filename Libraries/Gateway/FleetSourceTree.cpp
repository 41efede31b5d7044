#include <Gateway/FleetSourceTree.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Radishplank {

namespace {

/// Returns a peer with a newer version. Processes choose different ones, so that no peer has to
/// serve all of them, and another one after some time, as the first may not answer.
std::optional<std::size_t>
chooseAny(std::string_view self, std::span<const FleetSourceCandidate> peers, Milliseconds waited)
{
    const auto turn = static_cast<std::uint64_t>(waited / FleetSourceTree::parentTimeout);
    std::optional<std::size_t> best;
    std::pair<bool, std::uint64_t> bestRank;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        if (!peers[i].hasNewerFleet)
            continue;
        const bool isPreferred = turn == 0 && peers[i].isSameZone;
        const std::pair rank(isPreferred, stableHash(peers[i].node, stableHash(self, turn)));
        if (best && rank <= bestRank)
            continue;
        best = i;
        bestRank = rank;
    }
    return best;
}

} // namespace

std::optional<std::size_t> FleetSourceTree::choose(std::string_view self, bool isWatching,
                                                   std::span<const FleetSourceCandidate> peers,
                                                   Milliseconds waited)
{
    struct Member
    {
        std::pair<bool, std::string_view> rank;
        std::optional<std::size_t> peer;
    };
    std::vector<Member> zone{{{!isWatching, self}, {}}};
    for (std::size_t i = 0; i < peers.size(); ++i) {
        if (peers[i].isSameZone)
            zone.push_back({{!peers[i].isWatching, peers[i].node}, i});
    }
    std::sort(zone.begin(), zone.end(),
              [](const auto &left, const auto &right) { return left.rank < right.rank; });
    auto position = static_cast<std::size_t>(
            std::find_if(zone.begin(), zone.end(), [](const auto &each) { return !each.peer; })
            - zone.begin());
    if (position == 0 || waited >= treeTimeout)
        return chooseAny(self, peers, waited);
    do {
        position = (position - 1) / fanOut;
        const auto ancestor = *zone[position].peer;
        if (peers[ancestor].hasNewerFleet)
            return ancestor;
    } while (position > 0 && waited >= parentTimeout);
    return {};
}

} // namespace Radishplank
