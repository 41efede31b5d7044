#pragma once

#include <Gateway/PeerReport.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Radishplank {

/// A process of the own zone, as far as the choice of the relays depends on it.
struct RelayCandidate
{
    /// Hash of the process's name.
    std::uint64_t node = 0;
    /// Whether it has been heard very recently.
    bool isAlive = false;
};

/// Passes on the full reports of the processes of a zone to processes of other zones.
///
/// In a large fleet most full reports have little to tell beyond that their sender is alive, and
/// sending each to every process takes most of the datagrams. Two processes of a zone, others for
/// each recipient, tell it in one datagram which processes of the zone they have heard, and pass on
/// the reports that have changed and a quarter of the others. Pure; used on one thread.
class ReportRelay
{
public:
    /// How long a changed report is passed on each time: through two datagrams of each relay, as
    /// one can be lost.
    static constexpr Milliseconds changeDuration{1'300};
    /// Datagrams in which a relay passes on every report of its zone at least once.
    static constexpr unsigned rotation = 4;

    /// Notes a full report that a process of the own zone has sent to this one.
    void note(const PeerReport &report, TimePoint now);
    /// Adds what the processes of the zone have reported. `turn` counts the datagrams to the same
    /// recipient; without it all reports are added.
    void describe(PeerReport &report, std::optional<unsigned> turn, TimePoint now) const;

    /// Returns whether a process relays for the recipient with this index among all processes
    /// outside of the zone. `zone` holds all processes of the zone, this one too, ordered by node.
    [[nodiscard]] static bool isRelayFor(std::size_t recipient, std::uint64_t self,
                                         std::span<const RelayCandidate> zone);

private:
    struct Entry
    {
        /// Without what only direct recipients need.
        PeerReport report;
        TimePoint heardAt;
        TimePoint changedAt;
        std::uint64_t digest = 0;
        std::size_t bytes = 0;
    };

    std::map<std::uint64_t, Entry> m_entries;
};

} // namespace Radishplank
