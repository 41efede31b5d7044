#pragma once

#include "Agent/Attempt.h"
#include "Agent/EngineOrders.h"

#include <Control/Control.h>
#include <Net/Net.h>

#include <atomic>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Radishplank {

struct AgentSettings
{
    Endpoint upstream;
    EntryKind kind = EntryKind::Model;
    SlotLimits slots;
    std::string secret;
    /// Models that the agent can have the engine load; if empty, the upstream serves whatever it
    /// has.
    std::vector<std::string> models;
};

/// The sidecar process of one upstream, and the only process that connects to it.
///
/// All entry processes send their attempts for the upstream through its agent. The agent therefore
/// schedules online before batch work, keeps the state of the attempts and rejects stale orders.
class Agent : public ControlHandler
{
public:
    Agent(FiberThreads &threads, AgentSettings settings);

    /// Starts the health check of the upstream and the sweep for abandoned and overdue attempts.
    void start();
    /// Serves requests of entry processes:
    /// `POST /attempts/ID`, `GET /attempts/ID?from=LINE`, `POST /orders`.
    void handle(HttpExchange &exchange);

    Result<LoadReport> observe() override;
    Result<AttemptFate> cancelAttempt(const AttemptId &attempt,
                                      const std::string &incarnation) override;

    [[nodiscard]] EngineOrders &orders() { return m_orders; }
    /// Loads models as ordered, publishing each through `announce`; never returns.
    void loadModels(const std::function<void(const std::string &model)> &announce);
    /// Rejects new attempts and preempts batch attempts; running online attempts continue.
    void beginDrain();
    [[nodiscard]] std::size_t attemptsInProgress();
    [[nodiscard]] boost::json::object state();
    [[nodiscard]] std::string metrics();

private:
    struct Admitted
    {
        AttemptPointer attempt;
        HttpResponse refusal;
    };

    void handleNew(HttpExchange &exchange, const AttemptId &id);
    void handleAttach(HttpExchange &exchange, const AttemptId &id, const HttpTarget &target);
    Admitted admit(AttemptRequest order, const std::string &incarnation);
    void streamLines(HttpExchange &exchange, const AttemptPointer &attempt, std::size_t from);
    void run(const AttemptPointer &attempt);
    EndMessage runGranted(const AttemptPointer &attempt);
    void attributeCrash(const AttemptPointer &attempt, EndMessage &line);
    void apply(const SchedulerActions &actions);
    void stop(const AttemptPointer &attempt, StopReason reason);
    /// Preempts batch attempts and waits until no attempt is running. After `quiesceTimeout` it
    /// also preempts repeatable online attempts, which other agents can run again.
    void quiesce();
    void preempt(WorkClass workClass);
    AttemptPointer find(const AttemptId &id);
    void probeUpstream();
    void sweep();

    FiberThreads &m_threads;
    AgentSettings m_settings;
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_isUpstreamUp{true};
    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    AttemptRegistry m_ledger;
    SlotScheduler m_scheduler;
    std::unordered_map<AttemptId, AttemptPointer> m_attempts;
    std::unordered_map<Ticket, AttemptPointer> m_inProgress;
    Ticket m_nextTicket = 1;
    std::size_t m_suspectsInProgress = 0;
    TimePoint m_lastSuspectCrashAt{};
    EngineOrders m_orders;
    Counter m_begun;
    Counter m_refused;
    Counter m_preempted;
    Counter m_upstreamLosses;
    Counter m_reattached;
};

} // namespace Radishplank
