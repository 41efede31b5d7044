#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <optional>
#include <span>

namespace Radishplank {

/// How far an upstream is from the entry process; nearer ones come first.
enum class Distance { SameZone, SameRegion, OtherRegion };

/// The state of one upstream that routing considers.
struct Candidate
{
    std::uint64_t idHash = 0;
    Distance distance = Distance::SameZone;
    std::uint32_t slots = 1;
    /// Number of online streams: those in the last report plus those sent since.
    std::uint32_t onlineLoad = 0;
    bool isEligible = true;

    [[nodiscard]] bool hasFreeSlot() const { return onlineLoad < slots; }
};

enum class RoutingPolicy { Random, RoundRobin, Balanced };

/// Chooses the upstream for one online attempt.
///
/// The Balanced policy picks the nearest distance with a free slot. There it picks the upstream
/// whose prefix cache is likely warm, unless its load is clearly above the average; else the less
/// loaded of two random upstreams.
class Router
{
public:
    explicit Router(RoutingPolicy policy)
        : m_policy(policy)
    {
    }

    /// Returns the index of the chosen candidate, or nothing if none is eligible.
    /// A prefix key of 0 means no prefix. `turn` increases by one with each call of the process.
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const Candidate> candidates,
                                                    std::uint64_t prefixKey, std::uint64_t turn,
                                                    RandomEngine &random) const;

private:
    RoutingPolicy m_policy;
};

} // namespace Radishplank
