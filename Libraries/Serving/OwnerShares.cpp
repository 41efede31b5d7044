#include <Serving/OwnerShares.h>

#include <algorithm>
#include <limits>

namespace Radishplank {

namespace {

/// Share of the slots that is divided. All slots together meet the demands that hold them, so that
/// no owner would be above its share until a queue has formed.
constexpr double dividedShare = 0.9;

/// Returns the level up to which every demand can be met; infinity if all can be met whole.
double fairLevel(std::vector<double> demands, double slots)
{
    std::sort(demands.begin(), demands.end());
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const double level = slots / static_cast<double>(demands.size() - index);
        if (demands[index] > level)
            return std::max(0.0, level);
        slots -= demands[index];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace

OwnerShares::OwnerShares(std::vector<OwnerHolding> holdings, unsigned slots)
    : m_holdings(std::move(holdings))
{
    // The slots of one service can all be in use while those of others are free, and a process
    // without reports of its peers sees only its own streams. What is divided is therefore what is
    // in use, where that is less than all slots.
    double inUse = 0;
    for (const auto &holding : m_holdings)
        inUse += holding.streams;
    m_slots = dividedShare * std::min<double>(slots, inUse);
}

ShareStanding OwnerShares::standing(std::uint64_t owner, unsigned priority) const
{
    double slots = m_slots;
    double wanted = 0;
    bool hasOthers = false;
    std::vector<double> demands;
    for (const auto &holding : m_holdings) {
        if (holding.owner == owner) {
            wanted += holding.streams;
            continue;
        }
        hasOthers = hasOthers || holding.streams > 0;
        if (holding.priority < priority)
            slots -= holding.streams;
        else if (holding.priority == priority)
            demands.push_back(holding.streams);
    }
    if (!hasOthers)
        return ShareStanding::Within;
    // Higher priorities hold everything; that leaves no share even to an owner without streams.
    if (slots <= 0)
        return ShareStanding::Above;
    demands.push_back(wanted);
    return wanted > fairLevel(std::move(demands), slots) ? ShareStanding::Above
                                                         : ShareStanding::Below;
}

} // namespace Radishplank
