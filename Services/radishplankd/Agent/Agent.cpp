#include "Agent/Agent.h"

#include "Agent/UpstreamCall.h"

#include <Net/MemoryBudget.h>

#include <boost/fiber/operations.hpp>
#include <charconv>

namespace Radishplank {

namespace {

constexpr Milliseconds attemptRetention{60'000};
constexpr Milliseconds unreadTimeout{5'000};
constexpr Milliseconds heartbeatInterval{300};
constexpr Milliseconds sweepInterval{500};
constexpr Milliseconds probeInterval{250};
constexpr Milliseconds probeTimeout{2'000};
constexpr Milliseconds cancelRepeatInterval{20};
constexpr Milliseconds crashAttributionWindow{1'000};
/// Time that running online attempts get to finish before the engine loads another model.
constexpr Milliseconds quiesceTimeout{30'000};
constexpr Milliseconds quiescePollInterval{20};
constexpr std::int64_t maxDeadlineMilliseconds = 24LL * 3600 * 1000;
constexpr std::string_view attemptPrefix = "/attempts/";

std::int64_t parseNumber(std::string_view text, std::int64_t fallback)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() ? value : fallback;
}

HttpResponse refusal(unsigned status, std::string_view reason)
{
    HttpResponse response{status, {}, std::string(reason)};
    response.headers.add(std::string(AttemptHeader::outcome),
                         std::string(outcomeName(Outcome::NotRun)));
    return response;
}

AttemptRequest readOrder(const AttemptId &id, const HttpHeaders &headers)
{
    AttemptRequest order;
    order.id = id;
    order.pool = headers.value(AttemptHeader::pool);
    order.kind = headers.value(AttemptHeader::kind) == "service" ? EntryKind::Service
                                                                 : EntryKind::Model;
    order.workClass = headers.value(AttemptHeader::workClass) == "batch" ? WorkClass::Batch
                                                                         : WorkClass::Online;
    order.suspicion = headers.find(AttemptHeader::suspect) ? Suspicion::Suspect : Suspicion::None;
    order.isRepeatable = headers.value(AttemptHeader::repeatable) != "false";
    const auto remaining = parseNumber(headers.value(AttemptHeader::deadline), 0);
    order.deadline
            = SteadyClock().now()
              + Milliseconds(std::clamp<std::int64_t>(remaining, 0, maxDeadlineMilliseconds));
    order.method = headers.value(AttemptHeader::method);
    order.target = headers.value(AttemptHeader::target);
    order.contentType = headers.value("Content-Type");
    return order;
}

} // namespace

Agent::Agent(FiberThreads &threads, AgentSettings settings)
    : m_threads(threads)
    , m_settings(std::move(settings))
    , m_incarnation(threadRandomEngine()())
    , m_ledger(std::to_string(m_incarnation), attemptRetention)
    , m_scheduler(m_settings.slots)
    , m_orders(m_settings.upstream, m_settings.models)
{
}

void Agent::start()
{
    m_threads.spawn([this] { probeUpstream(); });
    m_threads.spawn([this] { sweep(); });
}

void Agent::handle(HttpExchange &exchange)
{
    const auto &request = exchange.request();
    const auto target = HttpTarget::parse(request.target);
    if (sha256Hex(request.headers.value(AttemptHeader::secret)) != sha256Hex(m_settings.secret)) {
        (void)exchange.respond({401, {}, "wrong cluster secret"});
        return;
    }
    if (target.path == "/orders" && request.method == "POST") {
        m_orders.handle(exchange);
        return;
    }
    if (!target.path.starts_with(attemptPrefix)) {
        (void)exchange.respond({404, {}, "no such path"});
        return;
    }
    const AttemptId id(target.path.substr(attemptPrefix.size()));
    if (request.method == "POST")
        handleNew(exchange, id);
    else
        handleAttach(exchange, id, target);
}

void Agent::handleNew(HttpExchange &exchange, const AttemptId &id)
{
    const auto &headers = exchange.request().headers;
    auto order = readOrder(id, headers);
    auto body = exchange.readBody();
    if (body.isError()) {
        const bool isTooLarge = body.error().kind == ErrorKind::TooLarge;
        (void)exchange.respond(refusal(isTooLarge ? 413 : 503, body.error().message));
        return;
    }
    order.body = body.takeValue();
    const auto admitted = admit(std::move(order), headers.value(AttemptHeader::incarnation));
    if (!admitted.attempt) {
        m_refused.increase();
        (void)exchange.respond(admitted.refusal);
        return;
    }
    streamLines(exchange, admitted.attempt, 0);
}

Agent::Admitted Agent::admit(AttemptRequest order, const std::string &incarnation)
{
    if (m_isDraining)
        return {{}, refusal(503, "this agent is draining")};
    if (!m_isUpstreamUp)
        return {{}, refusal(503, "the upstream is down")};
    SchedulerActions actions;
    AttemptPointer attempt;
    {
        const std::scoped_lock lock(m_mutex);
        // Checked under the lock: a model load that starts concurrently either has this attempt
        // rejected or waits until it ends.
        if (!m_orders.loader().serves(order.pool))
            return {{}, refusal(409, "the engine does not have this model now")};
        switch (m_ledger.admit(order.id, incarnation)) {
        case AttemptRegistry::Admission::OtherIncarnation:
            return {{}, refusal(409, "this agent has restarted")};
        case AttemptRegistry::Admission::Cancelled:
            return {{}, refusal(410, "the attempt has been cancelled")};
        case AttemptRegistry::Admission::Known: {
            const auto known = m_attempts.find(order.id);
            // Rejected earlier; the entry process has already received that response.
            if (known == m_attempts.end())
                return {{}, refusal(410, "the attempt has been refused")};
            return {known->second, {}};
        }
        case AttemptRegistry::Admission::New:
            break;
        }
        attempt = std::make_shared<Attempt>(std::move(order));
        attempt->ticket = m_nextTicket++;
        const auto &accepted = attempt->order();
        const auto admission = m_scheduler.submit(attempt->ticket, accepted.workClass,
                                                  accepted.suspicion, actions);
        if (admission == SlotScheduler::Admission::QueueFull) {
            (void)m_ledger.cancel(accepted.id, m_ledger.incarnation(), SteadyClock().now());
            return {{}, refusal(429, "the queue is full")};
        }
        m_attempts[accepted.id] = attempt;
        m_inProgress[attempt->ticket] = attempt;
    }
    apply(actions);
    m_threads.spawn([this, attempt] { run(attempt); });
    return {attempt, {}};
}

void Agent::handleAttach(HttpExchange &exchange, const AttemptId &id, const HttpTarget &target)
{
    const auto attempt = find(id);
    if (!attempt) {
        (void)exchange.respond({404, {}, "no such attempt"});
        return;
    }
    m_reattached.increase();
    const auto from = parseNumber(target.parameter("from"), 0);
    streamLines(exchange, attempt, static_cast<std::size_t>(std::max<std::int64_t>(from, 0)));
}

void Agent::streamLines(HttpExchange &exchange, const AttemptPointer &attempt, std::size_t from)
{
    attempt->attachReader();
    auto written = exchange.beginStream(200, {{"Content-Type", "application/jsonl"}});
    while (!written.isError()) {
        const auto lines = attempt->waitForLines(from, heartbeatInterval);
        from += lines.count;
        if (lines.count > 0)
            written = exchange.writeStream(lines.text);
        else if (!lines.isLast)
            written = exchange.writeStream(serializeAttemptMessage(HeartbeatMessage{}));
        if (lines.isLast) {
            (void)exchange.endStream();
            break;
        }
    }
    attempt->detachReader();
}

void Agent::run(const AttemptPointer &attempt)
{
    auto line = runGranted(attempt);
    SchedulerActions actions;
    {
        const std::scoped_lock lock(m_mutex);
        actions = m_scheduler.remove(attempt->ticket);
        m_inProgress.erase(attempt->ticket);
        m_ledger.finish(attempt->order().id, SteadyClock().now());
    }
    if (line.end == AttemptEnd::Preempted)
        m_preempted.increase();
    attempt->end(line);
    apply(actions);
}

EndMessage Agent::runGranted(const AttemptPointer &attempt)
{
    const auto &order = attempt->order();
    const auto reason = attempt->waitForGrant();
    if (reason == StopReason::DeadlinePassed)
        return {AttemptEnd::DeadlinePassed, Outcome::NotRun, "the deadline passed in the queue",
                false};
    if (reason == StopReason::Preempted)
        return {AttemptEnd::Preempted, Outcome::NotRun, "", false};
    {
        const std::scoped_lock lock(m_mutex);
        if (reason != StopReason::None || !m_ledger.markDispatched(order.id))
            return {AttemptEnd::Cancelled, Outcome::NotRun, "cancelled before it began", false};
        if (order.suspicion == Suspicion::Suspect)
            m_suspectsInProgress += 1;
    }
    m_begun.increase();
    EndMessage line{AttemptEnd::Rejected, Outcome::Unknown, "", false};
    const auto exception = exceptionOf([&] {
        line = order.kind == EntryKind::Model ? runOnEngine(m_settings.upstream, *attempt)
                                              : runOnService(m_settings.upstream, *attempt);
    });
    if (exception) {
        logFailure("attempt-failed", {{"attempt", order.id.text()}, {"reason", *exception}});
        line.detail = *exception;
    }
    if (line.end == AttemptEnd::UpstreamLost) {
        m_upstreamLosses.increase();
        m_isUpstreamUp = false;
    }
    attributeCrash(attempt, line);
    return line;
}

void Agent::attributeCrash(const AttemptPointer &attempt, EndMessage &line)
{
    const bool isSuspect = attempt->order().suspicion == Suspicion::Suspect;
    const bool hasCrashed = line.end == AttemptEnd::UpstreamLost && line.outcome != Outcome::NotRun;
    const std::scoped_lock lock(m_mutex);
    const auto now = SteadyClock().now();
    if (line.outcome == Outcome::NotRun)
        m_ledger.revertDispatch(attempt->order().id);
    if (isSuspect)
        m_suspectsInProgress -= 1;
    if (!hasCrashed)
        return;
    // If a suspect was in flight, the crash is attributed to it alone; the other attempts were
    // running by coincidence. The same holds for the next suspect, which can be dispatched to the
    // upstream before the crash is detected.
    const bool hasSuspectCrashedRecently = now - m_lastSuspectCrashAt < crashAttributionWindow;
    if (isSuspect)
        line.mayHaveCausedCrash = !hasSuspectCrashedRecently;
    else
        line.mayHaveCausedCrash = m_suspectsInProgress == 0 && !hasSuspectCrashedRecently;
    if (isSuspect && line.mayHaveCausedCrash)
        m_lastSuspectCrashAt = now;
}

void Agent::apply(const SchedulerActions &actions)
{
    std::vector<AttemptPointer> started;
    std::vector<AttemptPointer> preempted;
    {
        const std::scoped_lock lock(m_mutex);
        const auto collect = [this](const std::vector<Ticket> &tickets, auto &attempts) {
            for (const auto ticket : tickets) {
                const auto found = m_inProgress.find(ticket);
                if (found != m_inProgress.end())
                    attempts.push_back(found->second);
            }
        };
        collect(actions.start, started);
        collect(actions.preempt, preempted);
    }
    for (const auto &attempt : started)
        attempt->grant();
    for (const auto &attempt : preempted)
        stop(attempt, StopReason::Preempted);
}

void Agent::stop(const AttemptPointer &attempt, StopReason reason)
{
    const bool wasRunning = attempt->requestStop(reason);
    if (!wasRunning || attempt->order().kind != EntryKind::Model)
        return;
    m_threads.spawn([this, attempt] {
        // Sent repeatedly: a cancel that reaches the engine before the attempt's own request has no
        // effect.
        while (!attempt->hasEnded()) {
            cancelOnEngine(m_settings.upstream, attempt->order().id);
            attempt->waitForEnd(cancelRepeatInterval);
        }
    });
}

AttemptPointer Agent::find(const AttemptId &id)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : found->second;
}

void Agent::loadModels(const std::function<void(const std::string &model)> &announce)
{
    m_orders.loader().run({[this] { quiesce(); }, announce});
}

void Agent::quiesce()
{
    preempt(WorkClass::Batch);
    const auto until = SteadyClock().now() + quiesceTimeout;
    while (attemptsInProgress() > 0) {
        boost::this_fiber::sleep_for(quiescePollInterval);
        if (SteadyClock().now() > until)
            preempt(WorkClass::Online);
    }
}

void Agent::preempt(WorkClass workClass)
{
    std::vector<AttemptPointer> preempted;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[ticket, attempt] : m_inProgress) {
            const auto &order = attempt->order();
            // An online attempt that is not repeatable runs to completion.
            const bool mayStop = order.workClass == WorkClass::Batch || order.isRepeatable;
            if (order.workClass == workClass && mayStop)
                preempted.push_back(attempt);
        }
    }
    for (const auto &attempt : preempted)
        stop(attempt, StopReason::Preempted);
}

Result<LoadReport> Agent::observe()
{
    const std::scoped_lock lock(m_mutex);
    const auto counts = m_scheduler.counts();
    LoadReport report;
    report.incarnation = m_incarnation;
    report.slots = static_cast<std::uint32_t>(m_settings.slots.slots);
    report.onlineRunning = static_cast<std::uint32_t>(counts.onlineRunning);
    report.onlineQueued = static_cast<std::uint32_t>(counts.onlineQueued);
    report.batchRunning = static_cast<std::uint32_t>(counts.batchRunning);
    report.batchQueued = static_cast<std::uint32_t>(counts.batchQueued);
    report.isAccepting = !m_isDraining && m_isUpstreamUp && !m_orders.loader().isLoading();
    return report;
}

Result<AttemptFate> Agent::cancelAttempt(const AttemptId &id, const std::string &incarnation)
{
    AttemptFate fate = AttemptFate::Unknown;
    AttemptPointer attempt;
    {
        const std::scoped_lock lock(m_mutex);
        fate = m_ledger.cancel(id, incarnation, SteadyClock().now());
        const auto found = m_attempts.find(id);
        if (found != m_attempts.end())
            attempt = found->second;
    }
    if (attempt && fate != AttemptFate::Unknown) {
        // cancelAttempt() runs on the control thread, where a fiber cannot block.
        m_threads.spawn([this, attempt] { stop(attempt, StopReason::Cancelled); });
    }
    return fate;
}

void Agent::beginDrain()
{
    m_isDraining = true;
    m_threads.spawn([this] { preempt(WorkClass::Batch); });
}

std::size_t Agent::attemptsInProgress()
{
    const std::scoped_lock lock(m_mutex);
    return m_inProgress.size();
}

void Agent::probeUpstream()
{
    HttpCallOptions options;
    options.readTimeout = probeTimeout;
    while (true) {
        boost::this_fiber::sleep_for(probeInterval);
        const auto target = m_settings.kind == EntryKind::Model ? "/load" : "/executions";
        const auto probed
                = HttpClient::fetch(m_settings.upstream, {"GET", target, {}, ""}, options);
        const bool isUp = !probed.isError();
        if (isUp)
            m_orders.handleEngineLoad(probed.value(), SteadyClock().now());
        if (m_isUpstreamUp.exchange(isUp) != isUp)
            logStateChange(isUp ? "upstream-up" : "upstream-down",
                           {{"upstream", m_settings.upstream.text()}});
    }
}

void Agent::sweep()
{
    while (true) {
        boost::this_fiber::sleep_for(sweepInterval);
        const auto now = SteadyClock().now();
        std::vector<AttemptPointer> abandoned;
        std::vector<AttemptPointer> overdue;
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto &id : m_ledger.expire(now))
                m_attempts.erase(id);
            for (const auto &[ticket, attempt] : m_inProgress) {
                const auto since = attempt->unreadSince();
                if (since && now - *since > unreadTimeout && attempt->order().isRepeatable)
                    abandoned.push_back(attempt);
                else if (now > attempt->order().deadline)
                    overdue.push_back(attempt);
            }
        }
        for (const auto &attempt : abandoned)
            stop(attempt, StopReason::Cancelled);
        for (const auto &attempt : overdue)
            stop(attempt, StopReason::DeadlinePassed);
    }
}

boost::json::object Agent::state()
{
    const std::scoped_lock lock(m_mutex);
    const auto counts = m_scheduler.counts();
    boost::json::array attempts;
    for (const auto &[ticket, attempt] : m_inProgress) {
        const auto &order = attempt->order();
        attempts.push_back(boost::json::object{
                {"id", order.id.text()},
                {"class", order.workClass == WorkClass::Online ? "online" : "batch"},
                {"suspect", order.suspicion == Suspicion::Suspect}});
    }
    return {{"role", "agent"},
            {"incarnation", m_ledger.incarnation()},
            {"upstream", m_settings.upstream.text()},
            {"upstreamUp", m_isUpstreamUp.load()},
            {"draining", m_isDraining.load()},
            {"slots", m_settings.slots.slots},
            {"onlineRunning", counts.onlineRunning},
            {"onlineQueued", counts.onlineQueued},
            {"batchRunning", counts.batchRunning},
            {"batchQueued", counts.batchQueued},
            {"attemptsRemembered", m_ledger.size()},
            {"highestFencing", m_orders.highestFencing()},
            {"model", m_orders.loader().state()},
            {"attempts", std::move(attempts)}};
}

std::string Agent::metrics()
{
    std::string text;
    renderCounter(text, "radishplank_agent_attempts_begun_total", m_begun);
    renderCounter(text, "radishplank_agent_attempts_refused_total", m_refused);
    renderCounter(text, "radishplank_agent_batch_preempted_total", m_preempted);
    renderCounter(text, "radishplank_agent_upstream_lost_total", m_upstreamLosses);
    renderCounter(text, "radishplank_agent_reattached_total", m_reattached);
    renderCounter(text, "radishplank_agent_orders_refused_total", m_orders.refused());
    MemoryBudget::ofProcess().renderPrometheus(text);
    return text;
}

} // namespace Radishplank
