#pragma once

#include <Core/Core.h>
#include <Serving/FleetPartition.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Radishplank {

/// A reachable peer, as far as the choice of a source for a newer version of the fleet depends on
/// it.
struct FleetSourceCandidate
{
    std::string_view node;
    bool isSameZone = false;
    /// Whether the peer watches the store itself.
    bool isWatching = false;
    bool hasNewerFleet = false;
};

/// Chooses which peer a process of a large fleet asks for a newer version of the fleet.
///
/// If all processes of a zone asked the one that learns of a change first, that one would send the
/// list of upstreams to dozens of others at once: it sent 4.9 MB/s in a fleet of 300 with 3,000
/// upstreams. The processes of a zone therefore form a tree, ordered by name with those that watch
/// the store first. Pure.
class FleetSourceTree
{
public:
    /// Processes that ask one process of their zone. With 50 processes in a zone, a change passes
    /// three of them.
    static constexpr std::size_t fanOut = 4;
    /// How long a process waits for its parent before it asks the parent's predecessors. A change
    /// takes about 0.1 s for each level of the tree.
    static constexpr Milliseconds parentTimeout{500};
    /// How long a process waits before it asks any peer with a newer version.
    static constexpr Milliseconds treeTimeout{1'000};

    /// Returns the index of the peer to ask; nothing if none is newer, or the process should wait
    /// for its parent. `waited` is the time for which a newer version has been known.
    [[nodiscard]] static std::optional<std::size_t>
    choose(std::string_view self, bool isWatching, std::span<const FleetSourceCandidate> peers,
           Milliseconds waited);
};

} // namespace Radishplank
