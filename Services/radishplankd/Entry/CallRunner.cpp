#include "Entry/CallRunner.h"

namespace Radishplank {

namespace {

/// A call is tried on at most this many upstreams: the first one and two others.
constexpr std::size_t maxUpstreams = 3;
constexpr Milliseconds busyRetryAfter{1'000};
constexpr std::size_t prefixBytes = 128;
constexpr std::string_view noUpstreamCode = "no_upstream";
constexpr std::string_view overloadedCode = "overloaded";

} // namespace

CallResult refusal(unsigned status, Outcome outcome, std::string code, std::string message)
{
    CallResult result;
    result.status = status;
    result.outcome = outcome;
    result.code = std::move(code);
    result.message = std::move(message);
    return result;
}

CallResult CallRunner::run(const CallSpec &spec, const TokenSink &sink)
{
    const auto &pool = spec.entry->pool;
    m_context.demand.noteBegin(pool, SteadyClock().now());
    bool hadNoCapacity = false;
    const FinalAction noteEnd([&] {
        if (hadNoCapacity)
            m_context.demand.noteRefused(pool, SteadyClock().now());
        else
            m_context.demand.noteAnswered(pool, SteadyClock().now());
    });
    auto result = runOnUpstreams(spec, sink);
    hadNoCapacity = result.code == noUpstreamCode || result.code == overloadedCode;
    return result;
}

CallResult CallRunner::runOnUpstreams(const CallSpec &spec, const TokenSink &sink)
{
    Progress progress;
    while (true) {
        if (auto barred = refuseQuarantined(spec, progress))
            return *barred;
        if (SteadyClock().now() >= spec.deadline) {
            return refusal(504, progress.mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                           "deadline_exceeded", "the deadline has passed");
        }
        const auto upstream
                = progress.tried.size() < maxUpstreams
                          ? m_context.fleet.choose(spec.entry->pool, spec.prefixKey, progress.tried)
                          : UpstreamPointer();
        if (!upstream)
            return refuseExhausted(spec, progress);
        if (std::exchange(progress.isRetry, false) && !mayRetryAt(*upstream))
            return failWithUnknownOutcome(spec);
        progress.tried.push_back(upstream->member().id);
        const auto result = attempt(spec, *upstream, sink, progress);
        if (auto answer = handleAttemptResult(spec, result, progress))
            return *answer;
        m_context.metrics.retries.increase();
    }
}

AttemptResult CallRunner::runOnline(Upstream &upstream, const AttemptRequest &request,
                                    const TokenSink &sink)
{
    upstream.noteOnlineSent();
    const FinalAction noteEnd([&] { upstream.noteOnlineEnded(); });
    return m_context.attempts.run(upstream, request, sink);
}

AttemptResult CallRunner::runOnce(const CallSpec &spec, const AttemptId &id, Upstream &upstream,
                                  const TokenSink &sink)
{
    auto result = runOnline(upstream, makeAttempt(spec, WorkClass::Online, id, 0, Suspicion::None),
                            sink);
    if (result.isBlamed)
        noteCrash(spec, id);
    return result;
}

std::optional<CallResult> CallRunner::refuseQuarantined(const CallSpec &spec,
                                                        const Progress &progress)
{
    const auto barred = m_context.quarantine.quarantinedFor(spec.fingerprint, SteadyClock().now());
    if (!barred)
        return {};
    auto result = refusal(422, progress.mayHaveRun ? Outcome::Ran : Outcome::NotRun, "quarantined",
                          "this request has crashed upstreams and is not run again for now");
    result.retryAfter = std::chrono::duration_cast<Milliseconds>(*barred);
    return result;
}

CallResult CallRunner::refuseExhausted(const CallSpec &spec, const Progress &progress)
{
    // The same request may have crashed upstreams at another process as well, which then tells the
    // caller not to come again.
    if (exchangeCrashes && m_context.quarantine.isSuspect(spec.fingerprint, SteadyClock().now())) {
        exchangeCrashes();
        if (auto barred = refuseQuarantined(spec, progress))
            return *barred;
    }
    const auto outcome = progress.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    auto result = progress.sawFullQueue ? refusal(429, outcome, std::string(overloadedCode),
                                                  "every upstream that was asked is full")
                                        : refusal(503, outcome, std::string(noUpstreamCode),
                                                  "no upstream takes this call now");
    if (!progress.lastDetail.empty())
        result.message += " (" + progress.lastDetail + ")";
    result.retryAfter = busyRetryAfter;
    return result;
}

AttemptResult CallRunner::attempt(const CallSpec &spec, Upstream &upstream, const TokenSink &sink,
                                  Progress &progress)
{
    const AttemptId id(makeUniqueId(m_context.node.text()));
    const bool isSuspect = m_context.quarantine.isSuspect(spec.fingerprint, SteadyClock().now());
    const auto suspicion = isSuspect ? Suspicion::Suspect : Suspicion::None;
    if (progress.tokens > 0)
        m_context.metrics.resumed.increase();
    const auto request = makeAttempt(spec, WorkClass::Online, id, progress.tokens, suspicion);
    auto result = runOnline(upstream, request, [&](std::string_view token) {
        progress.tokens += 1;
        return sink(token);
    });
    if (result.isBlamed)
        noteCrash(spec, id);
    return result;
}

std::optional<CallResult> CallRunner::handleAttemptResult(const CallSpec &spec,
                                                          const AttemptResult &result,
                                                          Progress &progress)
{
    progress.lastDetail = result.detail;
    switch (result.status) {
    case AttemptStatus::Complete: {
        m_context.retryBudget.noteSuccess();
        m_context.quarantine.noteSuccess(spec.fingerprint);
        CallResult success;
        success.finishReason = result.finishReason;
        success.answer = result.answer;
        return success;
    }
    case AttemptStatus::Rejected:
        return refusal(400, Outcome::Ran, "rejected_by_upstream", result.detail);
    case AttemptStatus::Stopped:
        return refusal(504, Outcome::Unknown, "deadline_exceeded", "the deadline has passed");
    case AttemptStatus::NotRun:
        progress.sawFullQueue = progress.sawFullQueue || result.wasQueueFull;
        return {};
    case AttemptStatus::Preempted:
    case AttemptStatus::UpstreamLost:
    case AttemptStatus::Lost:
        break;
    }
    progress.mayHaveRun = true;
    if (!spec.isRetryable)
        return failWithUnknownOutcome(spec);
    progress.isRetry = true;
    return {};
}

bool CallRunner::mayRetryAt(const Upstream &upstream)
{
    const auto candidate = upstream.candidate(SteadyClock().now());
    return m_context.retryBudget.takeRetry(candidate.hasFreeSlot() ? SlotAvailability::Free
                                                                   : SlotAvailability::Full);
}

CallResult CallRunner::failWithUnknownOutcome(const CallSpec &spec)
{
    m_context.metrics.unknownOutcomes.increase();
    auto refused = refusal(502, Outcome::Unknown, "upstream_lost",
                           "the upstream was lost and the call may have run");
    if (spec.isRetryable)
        refused.retryAfter = busyRetryAfter;
    return refused;
}

void CallRunner::noteCrash(const CallSpec &spec, const AttemptId &id)
{
    m_context.metrics.crashes.increase();
    m_context.quarantine.noteCrash(spec.fingerprint, id, SteadyClock().now());
    logStateChange("upstream-crash-suspected", {{"attempt", id.text()}});
    if (exchangeCrashes)
        exchangeCrashes();
}

std::uint64_t prefixKeyOf(const boost::json::object &request)
{
    if (const auto prompt = textField(request, "prompt"))
        return stableHash(std::string_view(*prompt).substr(0, prefixBytes));
    const auto *messages = request.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->as_array().empty())
        return 0;
    const auto &first = messages->as_array().front();
    const auto content = first.is_object() ? textField(first.as_object(), "content") : std::nullopt;
    return content ? stableHash(std::string_view(*content).substr(0, prefixBytes)) : 0;
}

AttemptRequest makeAttempt(const CallSpec &spec, WorkClass workClass, AttemptId id,
                           std::uint64_t resumeFrom, Suspicion suspicion)
{
    AttemptRequest request;
    request.id = std::move(id);
    request.pool = spec.entry->pool;
    request.kind = spec.entry->kind;
    request.workClass = workClass;
    request.suspicion = suspicion;
    request.isRepeatable = spec.isRetryable;
    request.deadline = spec.deadline;
    request.method = spec.method;
    request.target = spec.target;
    request.contentType = spec.contentType;
    request.body = spec.body;
    if (spec.entry->kind == EntryKind::Model) {
        auto body = spec.request;
        // Engines know the model by its own name, not by the name of the catalogue entry.
        body["model"] = spec.entry->pool;
        body["stream"] = true;
        if (resumeFrom > 0)
            body["resume_from"] = resumeFrom;
        request.body = boost::json::serialize(body);
    }
    return request;
}

} // namespace Radishplank
