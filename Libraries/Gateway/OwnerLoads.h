#pragma once

#include <Core/Core.h>
#include <Gateway/PeerReport.h>

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// Online streams by owner, of this process and of its peers. The sums are updated when a report
/// arrives or expires. Pure.
class OwnerLoads
{
public:
    void begin(std::uint64_t owner);
    void end(std::uint64_t owner);
    /// Replaces a peer's previous report.
    void note(const NodeId &peer, std::span<const OwnerStreams> streams, TimePoint now);
    /// Drops reports that are too old.
    void expire(TimePoint now);

    /// Returns the streams of this process by owner, the largest first, at most `count` owners.
    [[nodiscard]] std::vector<OwnerStreams> own(std::size_t count) const;
    /// Returns the streams of all processes by owner, in no particular order.
    [[nodiscard]] std::vector<OwnerStreams> all() const;
    /// Returns the mean number of streams of all processes by owner over about the last second.
    [[nodiscard]] const std::unordered_map<std::uint64_t, double> &means(TimePoint now);

private:
    struct Report
    {
        TimePoint at;
        std::vector<OwnerStreams> streams;
    };

    void add(std::uint64_t owner, unsigned streams);
    void remove(std::uint64_t owner, unsigned streams);
    void remove(const Report &report);

    std::unordered_map<std::uint64_t, unsigned> m_own;
    /// Sums of all processes; owners without streams are not stored.
    std::unordered_map<std::uint64_t, unsigned> m_sums;
    std::unordered_map<std::uint64_t, double> m_means;
    TimePoint m_meansAt{};
    std::map<NodeId, Report> m_reports;
    /// Lower bound for the times of all reports.
    TimePoint m_oldestAt = TimePoint::max();
};

} // namespace Radishplank
