#pragma once

#include <Serving/Serving.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace Radishplank {

/// What an entry process knows of one agent. Safe from any thread.
class Upstream
{
public:
    Upstream(AgentMember member, Distance distance);

    [[nodiscard]] const AgentMember &member() const { return m_member; }
    [[nodiscard]] Distance distance() const { return m_distance; }
    [[nodiscard]] std::uint64_t idHash() const { return m_idHash; }

    /// Notes that a heartbeat is sent, or has failed.
    void noteHeartbeat(TimePoint now);
    void noteReport(const LoadReport &report, TimePoint now);
    /// Returns how long to wait before the next heartbeat: shorter while it is used.
    Milliseconds nextHeartbeat(TimePoint now);
    /// Notes a refusal or loss that shows sooner than the next report that it takes nothing.
    void noteUnavailable();
    /// Returns whether it answers and takes new work, by the last report.
    [[nodiscard]] bool isAccepting(TimePoint now) const;
    [[nodiscard]] std::string incarnation() const;

    [[nodiscard]] Candidate candidate(TimePoint now) const;
    void noteOnlineSent();
    void noteOnlineEnded();

    /// Takes a place for a batch item; false if there is none.
    bool takeBatchPlace(TimePoint now);
    void releaseBatchPlace();
    void refuseBatchPlace(TimePoint now);

    [[nodiscard]] boost::json::object state(TimePoint now) const;

private:
    AgentMember m_member;
    Distance m_distance;
    std::uint64_t m_idHash;
    /// Returns how old a report may be; call with the lock held.
    [[nodiscard]] Milliseconds reportLifetime() const;

    mutable std::mutex m_mutex;
    LoadReport m_report;
    HeartbeatMonitor m_heartbeats;
    TimePoint m_usedAt;
    bool m_isWatchedSlowly = false;
    std::uint32_t m_sentSinceReport = 0;
    std::uint32_t m_onlineInFlight = 0;
    BatchWindow m_window;
};

using UpstreamPointer = std::shared_ptr<Upstream>;

} // namespace Radishplank
