#include <Gateway/AdmissionControl.h>

namespace Radishplank {

namespace {

/// Most slots are occupied by other calls after a shorter time: a stream takes about 0.7 s.
constexpr Milliseconds minReturnDelay{500};
constexpr Milliseconds maxReturnDelay{10'000};
/// Callers honour a Retry-After only up to this share of the time that they have left.
constexpr int timeLeftPerReturnDelay = 3;
/// Share of the slots becoming free that returning callers can count on; new calls take the others.
constexpr double shareForReturns = 0.25;

} // namespace

AdmissionControl::AdmissionControl()
    : m_returns({minReturnDelay, maxReturnDelay, minReturnDelay})
{
}

AdmissionLimit AdmissionControl::limitFor(const AdmissionRequest &request, TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    AdmissionLimit limit;
    limit.longestWait = m_admission.longestWait(request.service, request.age, request.target,
                                                limit.standing, now);
    return limit;
}

Milliseconds AdmissionControl::retryAfter(Milliseconds timeLeft, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    return m_returns.scheduleWithin(timeLeft / timeLeftPerReturnDelay, 1, now);
}

void AdmissionControl::noteFirstEvent(const std::string &service, Milliseconds expectedWait,
                                      Milliseconds observed, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_admission.noteFirstEvent(service, expectedWait, observed, now);
}

void AdmissionControl::noteAnswered(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_returns.noteDone(shareForReturns, now);
}

} // namespace Radishplank
