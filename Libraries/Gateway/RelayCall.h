#pragma once

#include <Gateway/CallDialect.h>
#include <Gateway/CallWatch.h>
#include <Gateway/CrashLedger.h>
#include <Gateway/EventFramer.h>
#include <Gateway/GatewayMetrics.h>
#include <Gateway/Route.h>
#include <Gateway/UpstreamTable.h>
#include <Net/Net.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Radishplank {

/// A call as it came from its caller.
struct IncomingCall
{
    std::shared_ptr<const Route> route;
    std::string service;
    std::string body;
    TimePoint arrived;
    TimePoint deadline;
    /// Version of the configuration that the route is from.
    std::uint64_t configuration = 0;
};

/// Passes one call through to upstreams until one has answered it or nothing more can be done.
class RelayCall
{
public:
    RelayCall(HttpExchange &exchange, UpstreamTable &upstreams, CrashLedger &crashes,
              const CallDialect &dialect, GatewayMetrics &metrics, IncomingCall call);

    void run();

private:
    enum class AttemptEnd {
        Answered,    ///< The caller has the whole answer.
        NotRun,      ///< The upstream has not run the call, and never will.
        Interrupted, ///< The upstream may have run the call, or a part of it.
        BrokenOff,   ///< As Interrupted; the upstream ended the connection or fell silent.
    };

    AttemptEnd attempt(UpstreamTable::Place &place);
    /// Tells how an attempt ended whose request was sent, and whose answer could not be read.
    [[nodiscard]] AttemptEnd endOf(const Error &error) const;
    /// Passes on what an upstream has answered, unless it says that it has not run the call.
    AttemptEnd takeAnswer(UpstreamTable::Place &place, HttpAnswer &answer);
    AttemptEnd passAnswer(HttpAnswer &answer);
    AttemptEnd passEvents(HttpAnswer &answer);
    /// Writes the events that the caller lacks; an error means that the caller has left.
    Result<void> writeEvents(const std::vector<StreamEvent> &events);
    [[nodiscard]] HttpRequest requestFor(const UpstreamInfo &upstream) const;
    [[nodiscard]] HttpCallOptions attemptOptions();
    [[nodiscard]] Milliseconds timeLeft() const;
    [[nodiscard]] Milliseconds silenceLimit() const;
    [[nodiscard]] bool mayTryAgain() const;

    /// Notes that an upstream has ended under the call, if it takes no connections any more.
    void checkForCrash(const UpstreamInfo &upstream);
    /// Refuses the call, which is known to end the upstreams that run it.
    void refuseCrashing(Duration wait);
    /// Gives the final answer of a call that no upstream has answered.
    void giveUp(std::string_view reason);
    void refuse(Milliseconds retryAfter, std::string_view reason);
    void logAttempt(const UpstreamTable::OnlineOffer &offer) const;
    void logFailedAttempt(const UpstreamInfo &upstream, const std::string &reason);
    void logEnd(std::string_view event, std::string_view reason) const;
    void noteAnswered(const UpstreamInfo &upstream, unsigned status);
    void noteBytes();
    [[nodiscard]] std::string id() const;
    [[nodiscard]] Milliseconds age() const;

    HttpExchange &m_exchange;
    UpstreamTable &m_upstreams;
    CrashLedger &m_crashes;
    const CallDialect &m_dialect;
    IncomingCall m_call;
    const std::uint64_t m_fingerprint;
    GatewayMetrics &m_metrics;
    CallWatch m_watch;
    std::set<UpstreamId> m_tried;
    unsigned m_refusals = 0;
    unsigned m_runs = 0;
    bool m_hasBegun = false;
    std::optional<Milliseconds> m_firstBytesAge;
    /// When the upstream was last heard, or the request was sent to it.
    TimePoint m_heardAt{};
    std::optional<std::uint64_t> m_lastEvent;
};

/// Retry-After in seconds, as header text.
[[nodiscard]] std::string retryAfterText(Milliseconds wait);

} // namespace Radishplank
