#pragma once

#include <Gateway/AdmissionControl.h>
#include <Gateway/CallHeaderNames.h>
#include <Gateway/CallWatch.h>
#include <Gateway/CallerAuthenticator.h>
#include <Gateway/CrashTracker.h>
#include <Gateway/CrashingPartDetector.h>
#include <Gateway/EventFramer.h>
#include <Gateway/GatewayMetrics.h>
#include <Gateway/PromptParts.h>
#include <Gateway/Route.h>
#include <Gateway/StreamDelivery.h>
#include <Gateway/UpstreamTable.h>
#include <Gateway/WorkHeaders.h>
#include <Net/Net.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Radishplank {

/// A call as received from its caller.
struct IncomingCall
{
    std::shared_ptr<const Route> route;
    std::string service;
    std::string body;
    TimePoint arrived;
    TimePoint deadline;
    /// Version of the configuration that contains the route.
    std::uint64_t configuration = 0;
    CallerIdentity caller;
};

/// Proxies one call to upstreams until one of them has answered it or no further attempt is
/// possible.
class RelayCall
{
public:
    RelayCall(HttpExchange &exchange, UpstreamTable &upstreams, CrashTracker &crashes,
              CrashingPartDetector &crashingParts, AdmissionControl &admissionControl,
              const CallHeaderNames &headerNames, GatewayMetrics &metrics, IncomingCall call);

    void run();
    /// Returns whether an upstream may have run the call.
    [[nodiscard]] bool mayHaveRun() const { return m_mayHaveRun; }

private:
    enum class AttemptOutcome {
        Answered,       ///< The caller has received the whole answer.
        NotRun,         ///< The upstream has not run the call and will not run it.
        Interrupted,    ///< The upstream may have run all or part of the call.
        ConnectionLost, ///< As Interrupted; the upstream closed the connection or timed out.
    };

    AttemptOutcome attempt(UpstreamTable::Reservation &reservation);
    /// Returns the outcome of an attempt whose request was sent but whose answer could not be read.
    [[nodiscard]] AttemptOutcome outcomeOf(const Error &error) const;
    /// Forwards the answer of an upstream, unless the answer says that the call has not run.
    AttemptOutcome handleAnswer(UpstreamTable::Reservation &reservation,
                                HttpResponseStream &answer);
    AttemptOutcome forwardAnswer(UpstreamTable::Reservation &reservation,
                                 HttpResponseStream &answer);
    AttemptOutcome forwardEvents(UpstreamTable::Reservation &reservation,
                                 HttpResponseStream &answer);
    /// Writes the events that the caller has not received yet; an error means that the caller has
    /// disconnected.
    Result<void> writeEvents(const std::vector<StreamEvent> &events);
    [[nodiscard]] HttpRequest requestFor(const UpstreamInfo &upstream) const;
    [[nodiscard]] HttpCallOptions attemptOptions();
    [[nodiscard]] Milliseconds timeLeft() const;
    [[nodiscard]] Milliseconds upstreamIdleTimeout() const;
    /// Waits for a moment if an upstream that limits its requests may soon take one from this
    /// process; returns false at once otherwise.
    [[nodiscard]] bool waitForRequest(const UpstreamTable::OnlineAdmission &admission,
                                      const AdmissionLimit &limit);
    [[nodiscard]] bool mayRetry() const;

    /// Records that an upstream crashed while it ran the call, if it no longer accepts connections.
    void checkForCrash(const UpstreamInfo &upstream);
    /// Returns whether the call has been refused because it or a part of its prompt is known to
    /// crash the upstreams that run it.
    bool refuseIfCrashing();
    void refuseCrashing(Duration wait, std::string_view reason);
    /// Sends the final answer to a call that no upstream has answered.
    void giveUp(std::string_view reason);
    /// Refuses a call that no upstream can begin within the limit.
    void refuseForLackOfSlots(const UpstreamTable::OnlineAdmission &admission,
                              const AdmissionLimit &limit);
    void refuse(Milliseconds retryAfter, std::string_view reason);
    void logAttempt(const UpstreamTable::OnlineAdmission &admission) const;
    void logFailedAttempt(const UpstreamInfo &upstream, const std::string &reason);
    void logEnd(std::string_view event, std::string_view reason) const;
    void noteAnswered(const UpstreamInfo &upstream, unsigned status);
    void recordBytesReceived();
    /// Records how long the first attempt of the call took until its first event.
    void recordFirstEvent();
    /// Returns how long the call may wait for a slot.
    [[nodiscard]] AdmissionLimit slotWaitLimit() const;
    /// Delivers what the caller has not read yet of a complete answer, and records the end.
    void finishAnswered(const UpstreamInfo &upstream);
    /// Returns the priority of the call: that of its owner, otherwise that of its route.
    [[nodiscard]] unsigned priority() const;
    /// Returns the name under which the times of calls like this one are recorded.
    [[nodiscard]] std::string admissionClass() const;
    /// Records the slot time of a call that ran at one upstream from beginning to end.
    void noteCompleted(UpstreamTable::Reservation &reservation);
    /// Records that the upstream has begun to answer and went on.
    void noteAnswering();
    /// Returns how long the current attempt has been receiving its answer.
    [[nodiscard]] Milliseconds answeringTime() const;
    [[nodiscard]] std::string id() const;
    [[nodiscard]] Milliseconds age() const;

    HttpExchange &m_exchange;
    UpstreamTable &m_upstreams;
    CrashTracker &m_crashes;
    CrashingPartDetector &m_crashingParts;
    AdmissionControl &m_admissionControl;
    const CallHeaderNames &m_headerNames;
    IncomingCall m_call;
    const std::uint64_t m_fingerprint;
    const PromptParts m_parts;
    const WorkFeatures m_features;
    /// Hash of the name of the owner, as ownerHash() gives it.
    const std::uint64_t m_owner;
    GatewayMetrics &m_metrics;
    CallWatch m_watch;
    std::set<UpstreamId> m_triedUpstreams;
    unsigned m_refusals = 0;
    unsigned m_runs = 0;
    bool m_mayHaveRun = false;
    bool m_hasStreamStarted = false;
    std::optional<Milliseconds> m_firstBytesAge;
    /// When the upstream last sent something, or when the request was sent to it.
    TimePoint m_lastActivity{};
    /// Until when the call, which has not run yet, waits for a peer to grant it a request.
    std::optional<TimePoint> m_grantAwaitedUntil;
    std::optional<std::uint64_t> m_lastEvent;
    /// Reads of the body that the current attempt has received, and the time of the first one.
    unsigned m_attemptReads = 0;
    TimePoint m_attemptAnswerBegan{};
    /// Events that the current attempt has received.
    std::size_t m_attemptEvents = 0;
    /// Whether the upstream of the current attempt went on after the beginning of its answer.
    bool m_isAnswering = false;
    /// When the current attempt was sent, and its expected wait for a slot.
    TimePoint m_attemptSentAt{};
    Milliseconds m_attemptExpectedWait{0};
    unsigned m_answerStatus = 0;
    bool m_isUnread = false;
    /// Last, so that a write in progress ends before the other members are destroyed.
    std::optional<StreamDelivery> m_delivery;
};

/// Formats a wait as the value of a Retry-After header, in seconds.
[[nodiscard]] std::string retryAfterText(Milliseconds wait);

} // namespace Radishplank
