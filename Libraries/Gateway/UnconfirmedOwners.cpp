#include <Gateway/UnconfirmedOwners.h>

namespace Radishplank {

namespace {

/// The successors of an unreachable owner take over its jobs within about this time, if they see
/// them in the store.
constexpr Milliseconds successorTime{5'000};
/// A process that has just started reads its jobs and reports them within about this time.
constexpr Milliseconds startTime{2'000};

} // namespace

// A write of a job, or of its take-over, may take effect long after the process that sent it has
// ended. That process may have listed its jobs before, or exist under another name by now, so the
// owner that the store names need not know of the job. Nobody sees such a write when it takes
// effect; whoever sees its result must not rely on the owner.

void UnconfirmedOwners::note(const std::string &job, const NodeId &owner, TimePoint now)
{
    const auto [entry, isNew] = m_entries.try_emplace(job, Entry{owner, now});
    if (!isNew)
        entry->second.owner = owner;
}

UnconfirmedOwners::Step UnconfirmedOwners::nextStep(const std::string &job, const Entry &entry,
                                                    TimePoint now) const
{
    if (m_peers.isReportedAsRunning(job, now))
        return Step::None;
    const auto age = now - entry.since;
    if (m_peers.isReachable(entry.owner, now))
        return age >= startTime ? Step::Ask : Step::Wait;
    const bool isLeftBehind = age >= successorTime;
    return isLeftBehind || m_peers.isSuccessor(entry.owner, job, now) ? Step::TakeOver : Step::Wait;
}

} // namespace Radishplank
