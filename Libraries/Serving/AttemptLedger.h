#pragma once

#include <Control/Control.h>

#include <deque>
#include <unordered_map>

namespace Radishplank {

/// Remembers which attempts an agent has begun, and which it must never begin.
///
/// Cancelling an attempt that has not been handed to the upstream leaves a tombstone, so that a
/// late arrival of it is refused; only then is it said never to have begun. Attempts addressed to
/// another incarnation of the agent are refused, so a restart forgets nothing that matters. Pure.
class AttemptLedger
{
public:
    AttemptLedger(std::string incarnation, Duration retention);

    enum class Admission { New, Known, Cancelled, OtherIncarnation };

    [[nodiscard]] const std::string &incarnation() const { return m_incarnation; }
    /// Takes in an attempt that has arrived.
    Admission admit(const AttemptId &attempt, const std::string &incarnation);
    /// Marks the attempt as handed to the upstream; false if it has been cancelled before.
    bool hand(const AttemptId &attempt);
    /// Marks the attempt as ended; it is forgotten after the retention.
    void finish(const AttemptId &attempt, TimePoint now);
    /// Takes back the mark of hand(): the upstream was not reached.
    void unhand(const AttemptId &attempt);
    AttemptFate cancel(const AttemptId &attempt, const std::string &incarnation, TimePoint now);
    /// Forgets what ended before the retention; returns the attempts forgotten.
    std::vector<AttemptId> expire(TimePoint now);
    [[nodiscard]] std::size_t size() const { return m_states.size(); }

private:
    enum class State { Waiting, Handed, Cancelled };
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
