#include <Serving/AttemptRegistry.h>

namespace Radishplank {

AttemptRegistry::AttemptRegistry(std::string incarnation, Duration retention)
    : m_incarnation(std::move(incarnation))
    , m_retention(retention)
{
}

AttemptRegistry::Admission AttemptRegistry::admit(const AttemptId &attempt,
                                                  const std::string &incarnation)
{
    if (incarnation != m_incarnation)
        return Admission::OtherIncarnation;
    const auto [position, isNew] = m_states.try_emplace(attempt, State::Waiting);
    if (isNew)
        return Admission::New;
    return position->second == State::Cancelled ? Admission::Cancelled : Admission::Known;
}

bool AttemptRegistry::markDispatched(const AttemptId &attempt)
{
    const auto found = m_states.find(attempt);
    if (found == m_states.end() || found->second == State::Cancelled)
        return false;
    found->second = State::Dispatched;
    return true;
}

void AttemptRegistry::revertDispatch(const AttemptId &attempt)
{
    const auto found = m_states.find(attempt);
    if (found != m_states.end() && found->second == State::Dispatched)
        found->second = State::Waiting;
}

void AttemptRegistry::finish(const AttemptId &attempt, TimePoint now)
{
    m_expiries.push_back({attempt, now + m_retention});
}

AttemptFate AttemptRegistry::cancel(const AttemptId &attempt, const std::string &incarnation,
                                    TimePoint now)
{
    // Only the addressed incarnation knew which attempts it had received.
    if (incarnation != m_incarnation)
        return AttemptFate::Unknown;
    const auto [position, isNew] = m_states.try_emplace(attempt, State::Cancelled);
    if (isNew)
        m_expiries.push_back({attempt, now + m_retention});
    if (position->second == State::Dispatched)
        return AttemptFate::Began;
    position->second = State::Cancelled;
    return AttemptFate::NeverBegan;
}

std::vector<AttemptId> AttemptRegistry::expire(TimePoint now)
{
    std::vector<AttemptId> expired;
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        m_states.erase(m_expiries.front().attempt);
        expired.push_back(std::move(m_expiries.front().attempt));
        m_expiries.pop_front();
    }
    return expired;
}

} // namespace Radishplank
