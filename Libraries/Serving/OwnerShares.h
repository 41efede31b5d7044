#pragma once

#include <Serving/CallAdmission.h>

#include <cstdint>
#include <vector>

namespace Radishplank {

/// Streams of one owner that run or wait at upstreams.
struct OwnerHolding
{
    std::uint64_t owner = 0;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Fractional if averaged over some time.
    double streams = 0;
};

/// Divides slots among owners by max-min fairness: an owner gets as many as it uses, up to a level
/// that is the same for all. The slots are divided among the owners of the highest priority first.
/// What an owner does not use is divided among the others. Pure.
class OwnerShares
{
public:
    OwnerShares(std::vector<OwnerHolding> holdings, unsigned slots);

    /// Compares an owner's streams with its share. Owners of a lower priority do not count.
    [[nodiscard]] ShareStanding standing(std::uint64_t owner, unsigned priority) const;

private:
    std::vector<OwnerHolding> m_holdings;
    /// Slots to be divided.
    double m_slots;
};

} // namespace Radishplank
