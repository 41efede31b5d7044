#include "Fleet/Upstream.h"

#include <algorithm>

namespace Radishplank {

namespace {

constexpr Milliseconds busyHeartbeatInterval{250};
constexpr Milliseconds idleHeartbeatInterval{1'500};
/// An upstream counts as in use for this long after its last attempt.
constexpr Milliseconds inUsePeriod{2'000};
/// An agent that has not answered for this long gets no new work.
constexpr Milliseconds busyMaxReportAge{1'500};
constexpr Milliseconds idleMaxReportAge{3'500};
/// An idle agent's next heartbeat is sent 1.5 s after the previous one ends, and it ends within the
/// 1 s timeout in Fleet; the remaining 0.5 s allows for a busy machine.
constexpr Milliseconds maxHeartbeatGap{3'000};

} // namespace

Upstream::Upstream(AgentMember member, Distance distance)
    : m_member(std::move(member))
    , m_distance(distance)
    , m_idHash(stableHash(m_member.id.text()))
    , m_heartbeats(maxHeartbeatGap)
    , m_lastUsedAt(SteadyClock().now())
    // Half as many again as the slots, plus one, so that a freed slot has its next item queued.
    , m_window(static_cast<std::size_t>(m_member.slots + m_member.slots / 2 + 1))
{
}

void Upstream::noteHeartbeatAttempt(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_heartbeats.noteAttempt(now);
}

void Upstream::noteReport(const LoadReport &report, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_report = report;
    m_heartbeats.noteAnswer(now);
    m_sentSinceReport = 0;
}

Milliseconds Upstream::nextHeartbeatDelay(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_isIdle = now - m_lastUsedAt > inUsePeriod;
    return m_isIdle ? idleHeartbeatInterval : busyHeartbeatInterval;
}

Milliseconds Upstream::maxReportAge() const
{
    return m_isIdle ? idleMaxReportAge : busyMaxReportAge;
}

void Upstream::noteUnavailable()
{
    const std::scoped_lock lock(m_mutex);
    m_report.isAccepting = false;
}

bool Upstream::isAccepting(TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return m_report.isAccepting && m_member.state == MemberState::Live
           && m_heartbeats.isResponsive(now, maxReportAge());
}

std::string Upstream::incarnation() const
{
    const std::scoped_lock lock(m_mutex);
    return std::to_string(m_report.incarnation);
}

Candidate Upstream::candidate(TimePoint now) const
{
    const bool isEligible = isAccepting(now);
    const std::scoped_lock lock(m_mutex);
    Candidate candidate;
    candidate.idHash = m_idHash;
    candidate.distance = m_distance;
    candidate.slots = std::max(m_report.slots, 1U);
    const auto reported = m_report.onlineRunning + m_report.onlineQueued + m_sentSinceReport;
    candidate.onlineLoad = std::max(reported, m_onlineInFlight);
    candidate.isEligible = isEligible;
    return candidate;
}

void Upstream::noteOnlineSent()
{
    const std::scoped_lock lock(m_mutex);
    m_sentSinceReport += 1;
    m_onlineInFlight += 1;
    m_lastUsedAt = SteadyClock().now();
}

void Upstream::noteOnlineEnded()
{
    const std::scoped_lock lock(m_mutex);
    m_onlineInFlight -= 1;
    // The last report may or may not count this attempt, so decrement only one of the two counts.
    if (m_sentSinceReport > 0)
        m_sentSinceReport -= 1;
    else if (m_report.onlineRunning > 0)
        m_report.onlineRunning -= 1;
}

bool Upstream::acquireBatchPermit(TimePoint now)
{
    if (!isAccepting(now))
        return false;
    const std::scoped_lock lock(m_mutex);
    if (!m_window.mayTake(now))
        return false;
    m_window.take();
    m_lastUsedAt = now;
    return true;
}

void Upstream::releaseBatchPermit()
{
    const std::scoped_lock lock(m_mutex);
    m_window.noteFinished();
}

void Upstream::noteBatchRefused(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_window.noteRefused(now);
}

boost::json::object Upstream::state(TimePoint now) const
{
    const bool accepting = isAccepting(now);
    const std::scoped_lock lock(m_mutex);
    return {{"id", m_member.id.text()},
            {"zone", m_member.zone.text()},
            {"accepting", accepting},
            {"slots", m_report.slots},
            {"onlineInFlight", m_onlineInFlight},
            {"batchInFlight", m_window.inFlight()},
            {"onlineReported", m_report.onlineRunning + m_report.onlineQueued},
            {"batchReported", m_report.batchRunning + m_report.batchQueued}};
}

} // namespace Radishplank
