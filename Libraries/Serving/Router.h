#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <optional>
#include <span>

namespace Radishplank {

/// How far an upstream is from the entry process; nearer ones come first.
enum class Distance { SameZone, SameRegion, OtherRegion };

/// What routing knows of one upstream.
struct Candidate
{
    std::uint64_t idHash = 0;
    Distance distance = Distance::SameZone;
    std::uint32_t slots = 1;
    /// Online streams: those last reported, and those sent since.
    std::uint32_t onlineLoad = 0;
    bool isEligible = true;

    [[nodiscard]] bool hasRoom() const { return onlineLoad < slots; }
};

enum class RoutingPolicy { Random, RoundRobin, Balanced };

/// Chooses the upstream for one online attempt.
///
/// Balanced: the nearest distance that has room, there the upstream whose prefix cache is likely
/// warm unless it has clearly more than its share of the load, else the less loaded of two.
class Router
{
public:
    explicit Router(RoutingPolicy policy)
        : m_policy(policy)
    {
    }

    /// Returns the index of the chosen candidate, or nothing if none is eligible.
    /// A prefix key of 0 is no prefix. `turn` rises by one with each call of the process.
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const Candidate> candidates,
                                                    std::uint64_t prefixKey, std::uint64_t turn,
                                                    RandomEngine &random) const;

private:
    RoutingPolicy m_policy;
};

} // namespace Radishplank
