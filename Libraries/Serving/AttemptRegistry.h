#pragma once

#include <Control/Control.h>

#include <deque>
#include <unordered_map>

namespace Radishplank {

/// Tracks which attempts an agent has begun, and which it must never begin.
///
/// Cancelling an attempt that has not been dispatched to the upstream leaves a tombstone, so that
/// the attempt is refused if it arrives late; only with the tombstone in place is the attempt
/// reported as never begun. Attempts addressed to another incarnation of the agent are refused, so
/// losing this state in a restart is safe. Pure.
class AttemptRegistry
{
public:
    AttemptRegistry(std::string incarnation, Duration retention);

    enum class Admission { New, Known, Cancelled, OtherIncarnation };

    [[nodiscard]] const std::string &incarnation() const { return m_incarnation; }
    /// Registers an attempt that has arrived.
    Admission admit(const AttemptId &attempt, const std::string &incarnation);
    /// Marks the attempt as dispatched to the upstream; returns false if it has been cancelled.
    bool markDispatched(const AttemptId &attempt);
    /// Marks the attempt as ended; it is removed after the retention time.
    void finish(const AttemptId &attempt, TimePoint now);
    /// Reverts markDispatched(), because the upstream was not reached.
    void revertDispatch(const AttemptId &attempt);
    AttemptFate cancel(const AttemptId &attempt, const std::string &incarnation, TimePoint now);
    /// Removes attempts whose retention time has passed, and returns them.
    std::vector<AttemptId> expire(TimePoint now);
    [[nodiscard]] std::size_t size() const { return m_states.size(); }

private:
    enum class State { Waiting, Dispatched, Cancelled };
    struct Expiry
    {
        AttemptId attempt;
        TimePoint at;
    };

    std::string m_incarnation;
    Duration m_retention;
    std::unordered_map<AttemptId, State> m_states;
    std::deque<Expiry> m_expiries;
};

} // namespace Radishplank
