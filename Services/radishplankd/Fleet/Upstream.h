#pragma once

#include <Serving/Serving.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace Radishplank {

/// An entry process's view of one agent: its last load report, heartbeats and work in flight.
/// Thread-safe.
class Upstream
{
public:
    Upstream(AgentMember member, Distance distance);

    [[nodiscard]] const AgentMember &member() const { return m_member; }
    [[nodiscard]] Distance distance() const { return m_distance; }
    [[nodiscard]] std::uint64_t idHash() const { return m_idHash; }

    /// Records that a heartbeat is sent or has failed.
    void noteHeartbeatAttempt(TimePoint now);
    void noteReport(const LoadReport &report, TimePoint now);
    /// Returns the wait before the next heartbeat, which is shorter while the upstream is in use.
    Milliseconds nextHeartbeatDelay(TimePoint now);
    /// Stops sending work until the next report, after a refusal or a failed connection.
    void noteUnavailable();
    /// Returns whether the agent answers heartbeats and accepts new work according to its last
    /// report.
    [[nodiscard]] bool isAccepting(TimePoint now) const;
    [[nodiscard]] std::string incarnation() const;

    [[nodiscard]] Candidate candidate(TimePoint now) const;
    void noteOnlineSent();
    void noteOnlineEnded();

    /// Acquires a permit to send one batch item; returns false if the window is full.
    bool acquireBatchPermit(TimePoint now);
    void releaseBatchPermit();
    /// Releases the permit of an item that the agent has refused, and shrinks the window.
    void noteBatchRefused(TimePoint now);

    [[nodiscard]] boost::json::object state(TimePoint now) const;

private:
    AgentMember m_member;
    Distance m_distance;
    std::uint64_t m_idHash;
    /// Returns the age beyond which a report is stale; call with the lock held.
    [[nodiscard]] Milliseconds maxReportAge() const;

    mutable std::mutex m_mutex;
    LoadReport m_report;
    HeartbeatMonitor m_heartbeats;
    TimePoint m_lastUsedAt;
    bool m_isIdle = false;
    std::uint32_t m_sentSinceReport = 0;
    std::uint32_t m_onlineInFlight = 0;
    BatchWindow m_window;
};

using UpstreamPointer = std::shared_ptr<Upstream>;

} // namespace Radishplank
