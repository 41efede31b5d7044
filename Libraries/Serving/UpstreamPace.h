#pragma once

#include <Core/Core.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// Streams that share usual gaps between events: those of one service and work class.
struct PaceGroup
{
    std::uint64_t service = 0;
    bool isBatch = false;

    bool operator==(const PaceGroup &) const = default;
};

/// How slow an upstream is, as observed by one process.
struct ObservedPace
{
    /// 1: as fast as its peers; 3: takes three times as long.
    double pace = 1;
    /// Amount of evidence in usual gaps; 0: none.
    double weight = 0;
};

/// Estimates each upstream's slowness relative to its peers with as many running streams, from the
/// gaps between events and the times to the first event that streams show.
///
/// Gaps are compared with the usual gap at the same number of running streams, so that a full
/// upstream is not mistaken for a slow one. A slow gap counts only if the one before it at the same
/// upstream was slow as well. Gaps count for as long as they last, so that an upstream that shows
/// few events is still known quickly. New evidence replaces old evidence; without any, what is
/// known fades within some seconds. Pure; the cost of each operation is constant.
class UpstreamPace
{
public:
    explicit UpstreamPace(std::size_t maxUpstreams = 4'096);

    /// Records that `events` events arrived at once, `gap` after the previous ones of their stream,
    /// while `running` streams ran at the upstream.
    void noteEvents(std::uint64_t upstream, PaceGroup group, Duration gap, std::size_t events,
                    unsigned running, TimePoint now);
    /// Records the time to the first event of a stream that had a slot at once.
    void noteFirstEvent(std::uint64_t upstream, Duration time, Duration expected, TimePoint now);
    /// Records what a peer has observed.
    void notePeer(std::uint64_t upstream, const ObservedPace &observed, TimePoint now);

    /// Returns the upstream's slowness, between 0.7 and 8; 1 if nothing is known. `silence` is the
    /// time for which a running stream has shown nothing, and `usual` what is usual there.
    [[nodiscard]] double pace(std::uint64_t upstream, TimePoint now, Duration silence = {},
                              Duration usual = {}) const;
    /// Returns what this process has observed itself in the last moments, for its peers.
    [[nodiscard]] ObservedPace observed(std::uint64_t upstream, TimePoint now) const;
    /// Returns the usual gap with this number of running streams; 0 without data.
    [[nodiscard]] Duration usualGap(PaceGroup group, unsigned running) const;

    struct SlowUpstream
    {
        std::uint64_t upstream = 0;
        double pace = 1;
    };
    /// Returns the slowest upstreams, the slowest first, at most `count`, of those that are slow.
    [[nodiscard]] std::vector<SlowUpstream> slowest(std::size_t count, TimePoint now) const;
    [[nodiscard]] std::size_t upstreamCount() const { return m_upstreams.size(); }

private:
    static constexpr std::size_t maxRunning = 32;

    /// Sums of weights and of weighted log ratios to what is usual.
    struct Evidence
    {
        double weight = 0;
        double sum = 0;
        TimePoint updatedAt{};
    };
    struct Upstream
    {
        Evidence own;
        Evidence peers;
        double lastLogRatio = 0;
    };
    /// Median of the logarithm of the gap in ms, approximated step by step.
    struct UsualGap
    {
        double logGap = 0;
        unsigned samples = 0;
    };
    struct GroupHash
    {
        std::size_t operator()(const PaceGroup &group) const
        {
            return group.service * 2 + (group.isBatch ? 1 : 0);
        }
    };
    using UsualGaps = std::array<UsualGap, maxRunning>;

    [[nodiscard]] static const UsualGap *nearest(const UsualGaps &gaps, std::size_t level);
    static void add(Evidence &evidence, double weight, double logRatio, TimePoint now);
    [[nodiscard]] static Evidence at(const Evidence &evidence, TimePoint now);
    void noteRatio(Upstream &upstream, double weight, double logRatio, TimePoint now);
    Upstream &stateOf(std::uint64_t upstream, TimePoint now);

    std::size_t m_maxUpstreams;
    std::unordered_map<std::uint64_t, Upstream> m_upstreams;
    std::unordered_map<PaceGroup, UsualGaps, GroupHash> m_usual;
};

} // namespace Radishplank
