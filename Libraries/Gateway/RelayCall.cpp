#include <Gateway/RelayCall.h>

#include <Gateway/AnswerHead.h>
#include <Gateway/CallFingerprint.h>
#include <Gateway/HeaderRules.h>
#include <Gateway/StreamProgress.h>

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>
#include <cmath>
#include <cstdio>

namespace Radishplank {

namespace {

/// Upstreams that may refuse a call before its caller is told to retry later.
constexpr unsigned maxRefusals = 3;
/// A round trip within the deployment takes 16 ms at most.
constexpr Milliseconds connectTimeout{250};
/// The host of a dead process refuses connections at once; a lost VM does not answer at all.
constexpr Milliseconds crashCheckTimeout{100};
/// Callers that disconnect after a shorter silence do so for reasons unrelated to the upstream.
constexpr Milliseconds minSuspiciousSilence{1'000};
/// Share of the latency target that a call usually waits for a slot at most.
constexpr double usualWaitShareOfTarget = 0.6;
/// Latency target of routes for which the operator configures none.
constexpr Milliseconds defaultTarget{1'000};
constexpr Milliseconds minRetryAfter{100};
/// An upstream is lost if it pauses for this many times the target for gaps between events.
constexpr int idleTimeoutPerGapTarget = 3;
constexpr Milliseconds minUpstreamIdleTimeout{500};

/// How often a resumed stream that waits for a limited upstream checks for its caller and for
/// other upstreams.
constexpr Milliseconds limitCheckInterval{100};
/// How often a call that has not run checks whether a peer has granted it a request.
constexpr Milliseconds grantCheckInterval{20};
/// An upstream that has sent this many events of a stream has got past the beginning of its answer.
constexpr std::size_t minEventsOfAnswer = 2;

/// Returns whether a status tells callers that their call has not run and never will.
bool promisesNotRun(unsigned status)
{
    constexpr std::array<unsigned, 4> statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

Milliseconds targetOf(const Route &route)
{
    return route.target.count() > 0 ? route.target : defaultTarget;
}

WorkFeatures featuresOf(const HttpRequest &request, const CallHeaderNames &names,
                        const IncomingCall &call)
{
    auto features = workFeatures(request.headers, names);
    features.isStream = call.route->kind == RouteKind::Stream;
    features.route = stableHash(call.route->name);
    features.owner = stableHash(call.caller.name());
    return features;
}

} // namespace

std::string retryAfterText(Milliseconds wait)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", static_cast<double>(wait.count()) / 1'000);
    return text;
}

RelayCall::RelayCall(HttpExchange &exchange, UpstreamTable &upstreams, CrashTracker &crashes,
                     CrashingPartDetector &crashingParts, AdmissionControl &admissionControl,
                     const CallHeaderNames &headerNames, GatewayMetrics &metrics, IncomingCall call)
    : m_exchange(exchange)
    , m_upstreams(upstreams)
    , m_crashes(crashes)
    , m_crashingParts(crashingParts)
    , m_admissionControl(admissionControl)
    , m_headerNames(headerNames)
    , m_call(std::move(call))
    , m_fingerprint(callFingerprint(exchange.request(), m_call.body))
    , m_parts(sharedPromptParts(exchange.request().headers.value(headerNames.promptParts)))
    , m_features(featuresOf(exchange.request(), headerNames, m_call))
    , m_owner(ownerHash(m_call.caller.name()))
    , m_metrics(metrics)
    , m_watch(exchange, m_call.deadline)
{
}

void RelayCall::run()
{
    std::optional<UpstreamInfo> silentUpstream;
    while (!m_watch.isStopped()) {
        if (refuseIfCrashing())
            return;
        // A call that has begun may wait until its deadline, because its caller cannot retry just
        // the rest.
        const auto limit = slotWaitLimit();
        const auto wait = limit.longestWait;
        auto admission
                = m_upstreams.reserveOnline(m_call.service, m_triedUpstreams, wait, m_features);
        // If no other upstream is available, continue at one that has failed before.
        if (!admission.reservation && m_runs > 0)
            admission = m_upstreams.reserveOnline(m_call.service, {}, wait, m_features);
        if (!admission.reservation) {
            if (waitForRequest(admission, limit))
                continue;
            if (m_runs > 0)
                return giveUp("no upstream is available for another attempt");
            return refuseForLackOfSlots(admission, limit);
        }
        m_triedUpstreams.insert(admission.reservation->upstream().id);
        logAttempt(admission);
        std::optional<AdmissionControl::OwnerStream> ownerStream(std::in_place, m_admissionControl,
                                                                 m_owner);
        m_attemptSentAt = SteadyClock().now();
        m_attemptExpectedWait = admission.expectedWait.value_or(Milliseconds(0));
        const auto outcome = attempt(*admission.reservation);
        m_mayHaveRun |= outcome != AttemptOutcome::NotRun;
        if (outcome == AttemptOutcome::Answered) {
            const auto upstream = admission.reservation->upstream();
            // The caller may take its time to read the rest.
            admission.reservation.reset();
            ownerStream.reset();
            return finishAnswered(upstream);
        }
        if (m_watch.isStopped() && !m_isUnread
            && SteadyClock().now() - m_lastActivity >= minSuspiciousSilence)
            silentUpstream = admission.reservation->upstream();
        if (outcome == AttemptOutcome::NotRun)
            m_refusals += 1;
        else
            m_runs += 1;
        if (!mayRetry())
            break;
    }
    giveUp("no further attempt is allowed");
    if (silentUpstream)
        checkForCrash(*silentUpstream);
}

bool RelayCall::waitForRequest(const UpstreamTable::OnlineAdmission &admission,
                               const AdmissionLimit &limit)
{
    if (!admission.wasLimited)
        return false;
    const auto now = SteadyClock().now();
    if (m_runs == 0) {
        // While grants are rare, further calls would wait in vain, so they are refused at once.
        if (admission.mayBeGranted && admission.isFirstInNeed && !m_grantAwaitedUntil)
            m_grantAwaitedUntil = now + std::min(limit.longestWait, timeLeft());
        if (now + grantCheckInterval >= m_grantAwaitedUntil.value_or(now))
            return false;
        boost::this_fiber::sleep_for(grantCheckInterval);
        return true;
    }
    const auto nextRequest = admission.nextRequest.value_or(limitCheckInterval);
    if (timeLeft() <= limitCheckInterval || (nextRequest >= timeLeft() && !admission.mayBeGranted))
        return false;
    boost::this_fiber::sleep_for(std::min(nextRequest, limitCheckInterval));
    return true;
}

bool RelayCall::mayRetry() const
{
    if (m_watch.isStopped())
        return false;
    if (m_runs == 0)
        return m_refusals < maxRefusals;
    return m_call.route->mayRunAgain() && m_runs < m_call.route->maxUpstreams
           && m_refusals < maxRefusals;
}

RelayCall::AttemptOutcome RelayCall::attempt(UpstreamTable::Reservation &reservation)
{
    m_metrics.attemptsSent.increase();
    m_lastActivity = SteadyClock().now();
    m_attemptReads = 0;
    m_attemptEvents = 0;
    m_isAnswering = false;
    const auto &upstream = reservation.upstream();
    auto opened = HttpClient::open(upstream.endpoint, requestFor(upstream), attemptOptions());
    if (const auto *failure = std::get_if<HttpCallError>(&opened)) {
        if (!m_watch.isStopped()) {
            if (failure->error.kind != ErrorKind::InvalidInput)
                reservation.reportHealth(UpstreamHealth::Failed);
            logFailedAttempt(upstream, failure->error.message);
        }
        if (failure->progress == CallProgress::NotSent)
            return AttemptOutcome::NotRun;
        const auto outcome = outcomeOf(failure->error);
        if (outcome == AttemptOutcome::ConnectionLost)
            checkForCrash(upstream);
        return outcome;
    }
    return handleAnswer(reservation, *std::get<std::unique_ptr<HttpResponseStream>>(opened));
}

RelayCall::AttemptOutcome RelayCall::handleAnswer(UpstreamTable::Reservation &reservation,
                                                  HttpResponseStream &answer)
{
    const auto &upstream = reservation.upstream();
    if (noteAnswerHead(reservation, answer, m_headerNames, id())) {
        m_metrics.attemptsNotRun.increase();
        return AttemptOutcome::NotRun;
    }
    if (promisesNotRun(answer.status())) {
        // Without the upstream's statement, the call may have run.
        logFailedAttempt(upstream, "status " + std::to_string(answer.status())
                                           + " without a statement that the call has not run");
        answer.skipBody();
        return AttemptOutcome::Interrupted;
    }
    const auto outcome = forwardAnswer(reservation, answer);
    if (outcome == AttemptOutcome::Answered) {
        reservation.reportHealth(UpstreamHealth::Healthy);
        if (answer.status() >= 200 && answer.status() < 300)
            noteCompleted(reservation);
        m_answerStatus = answer.status();
    } else if (!m_watch.isStopped()) {
        reservation.reportHealth(UpstreamHealth::Failed);
        logFailedAttempt(upstream, "the answer was interrupted");
    }
    if (outcome == AttemptOutcome::ConnectionLost)
        checkForCrash(upstream);
    return outcome;
}

RelayCall::AttemptOutcome RelayCall::forwardAnswer(UpstreamTable::Reservation &reservation,
                                                   HttpResponseStream &answer)
{
    const bool isSuccess = answer.status() >= 200 && answer.status() < 300;
    if (m_hasStreamStarted && !isSuccess) {
        // Another upstream has sent the status and the beginning of the stream, so the caller
        // cannot receive this status.
        answer.skipBody();
        return AttemptOutcome::Interrupted;
    }
    if (isSuccess && m_call.route->kind == RouteKind::Stream)
        return forwardEvents(reservation, answer);
    auto body = answer.readBody();
    if (body.isError())
        return outcomeOf(body.error());
    recordBytesReceived();
    if (isSuccess) {
        m_crashes.noteAnswered(m_fingerprint, SteadyClock().now());
        noteAnswering();
    }
    auto headers = endToEndHeaders(answer.headers());
    if (m_exchange.respond({answer.status(), std::move(headers), body.takeValue()}).isError())
        m_watch.noteCallerLeft();
    return AttemptOutcome::Answered;
}

RelayCall::AttemptOutcome RelayCall::forwardEvents(UpstreamTable::Reservation &reservation,
                                                   HttpResponseStream &answer)
{
    if (!m_hasStreamStarted) {
        m_hasStreamStarted = true;
        const auto started
                = m_exchange.beginStream(answer.status(), endToEndHeaders(answer.headers()));
        if (started.isError()) {
            m_watch.noteCallerLeft();
            return AttemptOutcome::Interrupted;
        }
        m_delivery.emplace(m_exchange);
    }
    const bool isResumable = m_call.route->resumption == Resumption::Allowed;
    EventFramer framer;
    StreamProgress progress(m_lastEvent, SteadyClock().now());
    while (true) {
        reservation.noteReading();
        const auto chunk = answer.readChunk();
        if (chunk.isError())
            return outcomeOf(chunk.error());
        const bool isEnd = chunk.value().empty();
        const auto events = framer.feed(chunk.value());
        m_attemptEvents += events.size();
        reservation.noteEvents(events.size());
        // A resumed stream may have no events left.
        const bool hasContent = m_attemptEvents > 0 || m_lastEvent;
        if (isEnd && (framer.isInsideEvent() || !hasContent))
            return AttemptOutcome::ConnectionLost;
        if (framer.partial().size() > StreamProgress::maxBytesWithoutEvent)
            return AttemptOutcome::Interrupted;
        recordBytesReceived();
        if (isEnd)
            m_crashes.noteAnswered(m_fingerprint, SteadyClock().now());
        if (isEnd || m_attemptEvents >= minEventsOfAnswer)
            noteAnswering();
        Result<void> written;
        if (!isResumable || isEnd)
            written = m_delivery->write(chunk.value());
        else {
            written = writeEvents(events);
            const auto now = SteadyClock().now();
            progress.note(chunk.value().size(), m_lastEvent, now);
            if (progress.isStalled(upstreamIdleTimeout(), now))
                return AttemptOutcome::Interrupted;
        }
        if (written.isError()) {
            m_isUnread = written.error().kind == ErrorKind::Timeout;
            m_watch.noteCallerLeft();
            return AttemptOutcome::Interrupted;
        }
        if (isEnd)
            return AttemptOutcome::Answered;
    }
}

Result<void> RelayCall::writeEvents(const std::vector<StreamEvent> &events)
{
    std::string bytes;
    for (const auto &event : events) {
        const bool isDuplicate = event.id && m_lastEvent && *event.id <= *m_lastEvent;
        if (isDuplicate)
            continue;
        if (event.id)
            m_lastEvent = event.id;
        bytes += event.raw;
    }
    return m_delivery->write(bytes);
}

HttpRequest RelayCall::requestFor(const UpstreamInfo &upstream) const
{
    const auto &incoming = m_exchange.request();
    HttpRequest request{incoming.method, incoming.target, {}, m_call.body};
    std::vector<std::string_view> omitted{m_headerNames.timeLeft, m_headerNames.expectedUpstream};
    if (m_lastEvent)
        omitted.push_back(m_headerNames.resumeAfter);
    if (m_call.caller.isRequired) {
        omitted.push_back(m_headerNames.credentials);
        omitted.push_back(m_headerNames.owner);
    }
    request.headers = endToEndHeaders(incoming.headers, omitted);
    if (m_lastEvent)
        request.headers.add(m_headerNames.resumeAfter, std::to_string(*m_lastEvent));
    if (m_call.caller.owner)
        request.headers.add(m_headerNames.owner, m_call.caller.name());
    request.headers.add(m_headerNames.timeLeft, std::to_string(timeLeft().count()));
    request.headers.add(m_headerNames.expectedUpstream, upstream.id.text());
    return request;
}

HttpCallOptions RelayCall::attemptOptions()
{
    HttpCallOptions options;
    options.connectTimeout = std::min(connectTimeout, timeLeft());
    options.readTimeout = upstreamIdleTimeout();
    options.bodyTimeout = timeLeft();
    options.cancellation = m_watch.cancellation();
    options.match = {m_headerNames.attemptId,
                     m_exchange.request().headers.value(m_headerNames.attemptId)};
    return options;
}

Milliseconds RelayCall::timeLeft() const
{
    const auto left
            = std::chrono::duration_cast<Milliseconds>(m_call.deadline - SteadyClock().now());
    return std::max(left, Milliseconds(1));
}

Milliseconds RelayCall::upstreamIdleTimeout() const
{
    const auto &route = *m_call.route;
    const bool canResume
            = route.resumption == Resumption::Allowed && m_runs + 1 < route.maxUpstreams;
    if (!canResume || route.kind != RouteKind::Stream)
        return timeLeft() + Milliseconds(1'000);
    // An upstream that stays silent for longer than this and the wait for a slot is lost.
    const auto pause = std::max<Milliseconds>(route.gapTarget * idleTimeoutPerGapTarget,
                                              minUpstreamIdleTimeout);
    return pause
           + Milliseconds(std::llround(static_cast<double>(targetOf(route).count())
                                       * usualWaitShareOfTarget));
}

RelayCall::AttemptOutcome RelayCall::outcomeOf(const Error &error) const
{
    const bool isConnectionLost
            = error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Timeout;
    return isConnectionLost && !m_watch.isStopped() ? AttemptOutcome::ConnectionLost
                                                    : AttemptOutcome::Interrupted;
}

void RelayCall::checkForCrash(const UpstreamInfo &upstream)
{
    const auto at = SteadyClock().now();
    // If the upstream still accepts connections, the failure says nothing about the call.
    const auto state = HttpClient::checkPeer(upstream.endpoint, crashCheckTimeout);
    if (state == PeerState::Listening)
        return;
    m_metrics.crashesSuspected.increase();
    m_crashes.noteCrash(m_fingerprint, upstream, at);
    // A lost link makes many upstreams silent, so silence is no evidence against a part that many
    // calls share.
    if (state == PeerState::Refusing && !m_isAnswering)
        m_crashingParts.noteCrash(m_parts, upstream, at);
    logStateChange("upstream-ended-under-call", {{"id", id()},
                                                 {"request", fingerprintText(m_fingerprint)},
                                                 {"parts", promptPartsText(m_parts)},
                                                 {"upstream", upstream.id.text()}});
}

bool RelayCall::refuseIfCrashing()
{
    const auto now = SteadyClock().now();
    if (const auto wait = m_crashes.remainingRefusal(m_fingerprint, now)) {
        refuseCrashing(*wait, "upstreams have ended under it");
        return true;
    }
    if (const auto wait = m_crashingParts.refusal(m_parts, now)) {
        refuseCrashing(*wait, "upstreams have ended under calls with a part of its prompt");
        return true;
    }
    return false;
}

void RelayCall::refuseCrashing(Duration wait, std::string_view reason)
{
    if (m_runs > 0)
        return giveUp(reason);
    m_metrics.callsRefusedAsCrashing.increase();
    refuse(std::chrono::duration_cast<Milliseconds>(wait), reason);
}

void RelayCall::giveUp(std::string_view reason)
{
    if (m_watch.stopReason() == StopReason::CallerLeft) {
        m_metrics.callsAbandoned.increase();
        if (m_isUnread)
            m_metrics.callsUnread.increase();
        logEnd("call-abandoned",
               m_isUnread ? "the caller does not read its stream" : "the caller has disconnected");
        m_exchange.abandon();
        return;
    }
    const bool hasDeadlinePassed = m_watch.stopReason() == StopReason::DeadlinePassed;
    const auto cause = hasDeadlinePassed ? std::string_view("its time is over") : reason;
    if (m_hasStreamStarted) {
        m_metrics.callsCutOff.increase();
        logEnd("call-cut-off", cause);
        m_exchange.abandon();
        return;
    }
    if (m_runs == 0)
        return refuse(minRetryAfter, cause);
    m_metrics.callsFailed.increase();
    logEnd("call-failed", cause);
    (void)m_exchange.respond({hasDeadlinePassed ? 504U : 502U,
                              {{"Content-Type", "text/plain"}},
                              "the call may have run, and has no answer\n"});
}

void RelayCall::refuseForLackOfSlots(const UpstreamTable::OnlineAdmission &admission,
                                     const AdmissionLimit &limit)
{
    const auto retryAfter = m_admissionControl.retryAfter(timeLeft(), SteadyClock().now());
    m_admissionControl.noteRefused(m_owner);
    if (admission.wasLimited) {
        m_metrics.callsRefusedForUpstreamLimit.increase();
        return refuse(std::max(retryAfter, admission.nextRequest.value_or(retryAfter)),
                      "upstreams have asked for fewer requests");
    }
    if (!admission.expectedWait) {
        m_metrics.callsRefusedWithoutUpstream.increase();
        return refuse(retryAfter, "no upstream to send it to");
    }
    const bool isAboveShare = limit.standing == ShareStanding::Above;
    (isAboveShare ? m_metrics.callsRefusedForShare : m_metrics.callsRefusedForWait).increase();
    const std::string cause = isAboveShare ? "its owner holds its share of the slots, none is free"
                                           : "no slot in time";
    refuse(retryAfter, cause + ": expected in " + std::to_string(admission.expectedWait->count())
                               + " ms, wanted within " + std::to_string(limit.longestWait.count())
                               + " ms");
}

void RelayCall::refuse(Milliseconds retryAfter, std::string_view reason)
{
    m_metrics.callsRefused.increase();
    logEnd("call-refused", reason);
    (void)m_exchange.respond(
            {503,
             {{"Content-Type", "text/plain"},
              {"Retry-After", retryAfterText(std::max(retryAfter, minRetryAfter))}},
             "the call has not run: " + std::string(reason) + "\n"});
}

std::string RelayCall::id() const
{
    return m_exchange.request().headers.value(m_headerNames.attemptId);
}

Milliseconds RelayCall::age() const
{
    return std::chrono::duration_cast<Milliseconds>(SteadyClock().now() - m_call.arrived);
}

Milliseconds RelayCall::answeringTime() const
{
    if (m_attemptReads == 0)
        return Milliseconds(0);
    return std::chrono::duration_cast<Milliseconds>(SteadyClock().now() - m_attemptAnswerBegan);
}

void RelayCall::noteAnswering()
{
    if (m_isAnswering)
        return;
    m_isAnswering = true;
    m_crashingParts.noteAnswering(m_parts, m_attemptAnswerBegan, SteadyClock().now());
}

void RelayCall::recordBytesReceived()
{
    m_lastActivity = SteadyClock().now();
    if (m_attemptReads++ == 0)
        m_attemptAnswerBegan = m_lastActivity;
    if (m_firstBytesAge)
        return;
    m_firstBytesAge = age();
    m_metrics.firstEvent.record(*m_firstBytesAge);
    recordFirstEvent();
}

void RelayCall::recordFirstEvent()
{
    // A later attempt resumes a stream, and its first event comes at another time.
    if (m_runs > 0)
        return;
    const auto observed
            = std::chrono::duration_cast<Milliseconds>(m_lastActivity - m_attemptSentAt);
    if (m_attemptExpectedWait.count() > 0)
        m_metrics.firstEventAfterWait.record(observed);
    m_admissionControl.noteFirstEvent(admissionClass(), m_attemptExpectedWait, observed,
                                      m_lastActivity);
}

std::string RelayCall::admissionClass() const
{
    // The answer to a call comes as a whole, that to a stream event by event.
    return m_call.route->kind == RouteKind::Stream ? "stream " + m_call.service
                                                   : "call " + m_call.service;
}

AdmissionLimit RelayCall::slotWaitLimit() const
{
    if (m_runs > 0)
        return {timeLeft(), ShareStanding::Within};
    return m_admissionControl.limitFor(
            {admissionClass(), age(), targetOf(*m_call.route), m_owner, priority()},
            m_upstreams.slots(), SteadyClock().now());
}

unsigned RelayCall::priority() const
{
    const auto &owner = m_call.caller.owner;
    return owner && owner->priority ? *owner->priority : m_call.route->priority;
}

void RelayCall::finishAnswered(const UpstreamInfo &upstream)
{
    m_admissionControl.noteAnswered(SteadyClock().now());
    if (m_delivery && m_delivery->finish().isError()) {
        m_watch.noteCallerLeft();
        return giveUp("the caller has disconnected");
    }
    noteAnswered(upstream, m_answerStatus);
}

void RelayCall::noteCompleted(UpstreamTable::Reservation &reservation)
{
    if (m_runs > 0 || m_exchange.request().headers.find(m_headerNames.resumeAfter))
        return;
    if (const auto ratio = reservation.noteCompleted())
        m_metrics.recordSlotTimeRatio(*ratio);
}

void RelayCall::noteAnswered(const UpstreamInfo &upstream, unsigned status)
{
    m_metrics.callsAnswered.increase();
    m_metrics.wholeCall.record(age());
    logDecision("call-answered",
                {{"id", id()},
                 {"route", m_call.route->name},
                 {"upstream", upstream.id.text()},
                 {"status", std::to_string(status)},
                 {"firstBytesMs", std::to_string(m_firstBytesAge.value_or(age()).count())},
                 {"ageMs", std::to_string(age().count())},
                 {"attempts", std::to_string(m_triedUpstreams.size())}});
}

void RelayCall::logAttempt(const UpstreamTable::OnlineAdmission &admission) const
{
    if (m_runs > 0)
        m_metrics.callsResumed.increase();
    if (admission.expectedWait && admission.expectedWait->count() > 0)
        m_metrics.expectedWait.record(*admission.expectedWait);
    logDecision(m_runs > 0 ? "call-resumed" : "attempt-sent",
                {{"id", id()},
                 {"route", m_call.route->name},
                 {"configuration", std::to_string(m_call.configuration)},
                 {"leftMs", std::to_string(timeLeft().count())},
                 {"owner", m_call.caller.name()},
                 {"upstream", admission.reservation->upstream().id.text()},
                 {"online", std::to_string(admission.basis.online)},
                 {"batch", std::to_string(admission.basis.batch)},
                 {"slots", std::to_string(admission.basis.slots)},
                 {"expectedWaitMs",
                  std::to_string(admission.expectedWait.value_or(Milliseconds(0)).count())},
                 {"preempts", admission.hasPreempted ? "yes" : "no"},
                 {"afterEvent", m_lastEvent ? std::to_string(*m_lastEvent) : ""}});
}

void RelayCall::logFailedAttempt(const UpstreamInfo &upstream, const std::string &reason)
{
    m_metrics.attemptsFailed.increase();
    logFailure("attempt-failed", {{"id", id()},
                                  {"request", fingerprintText(m_fingerprint)},
                                  {"upstream", upstream.id.text()},
                                  {"reason", reason},
                                  {"reads", std::to_string(m_attemptReads)},
                                  {"answeringMs", std::to_string(answeringTime().count())},
                                  {"ageMs", std::to_string(age().count())}});
}

void RelayCall::logEnd(std::string_view event, std::string_view reason) const
{
    logFailure(event, {{"id", id()},
                       {"route", m_call.route->name},
                       {"owner", m_call.caller.name()},
                       {"configuration", std::to_string(m_call.configuration)},
                       {"reason", std::string(reason)},
                       {"attempts", std::to_string(m_triedUpstreams.size())},
                       {"runs", std::to_string(m_runs)},
                       {"ageMs", std::to_string(age().count())}});
}

} // namespace Radishplank
