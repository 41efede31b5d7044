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
    /// Models that the engine loads on order; empty if it serves what it has.
    std::vector<std::string> models;
};

/// The process beside one upstream, and the only one that talks to it.
///
/// Every entry process's work for the upstream meets here, so this is where online goes before
/// batch, where attempts are remembered and where old orders are refused.
class Agent : public ControlHandler
{
public:
    Agent(FiberThreads &threads, AgentSettings settings);

    /// Starts the watch over the upstream and over abandoned attempts.
    void start();
    /// Answers an entry process: `POST /attempts/ID`, `GET /attempts/ID?from=LINE`, `POST /orders`.
    void handle(HttpExchange &exchange);

    Result<LoadReport> observe() override;
    Result<AttemptFate> cancelAttempt(const AttemptId &attempt,
                                      const std::string &incarnation) override;

    [[nodiscard]] EngineOrders &orders() { return m_orders; }
    /// Loads models as ordered; never returns.
    void loadModels(const std::function<void(const std::string &model)> &announce);
    /// Refuses new attempts and preempts batch; running online attempts go on.
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
    void blame(const AttemptPointer &attempt, EndMessage &line);
    void apply(const SchedulerActions &actions);
    void stop(const AttemptPointer &attempt, StopReason reason);
    /// Waits until nothing runs; past a bound it preempts what can run again elsewhere.
    void quiesce();
    void preempt(WorkClass workClass);
    AttemptPointer find(const AttemptId &id);
    void watchUpstream();
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
    TimePoint m_suspectLostAt{};
    EngineOrders m_orders;
    Counter m_begun;
    Counter m_refused;
    Counter m_preempted;
    Counter m_lost;
    Counter m_reattached;
};

} // namespace Radishplank
