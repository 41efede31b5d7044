#include "Entry/KeyedCalls.h"

#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr std::size_t maxUpstreams = 3;
constexpr Milliseconds storeRetryTimeout{1'500};
constexpr Milliseconds retryAfter{1'000};
constexpr std::size_t maxStoredAnswerBytes = std::size_t{256} * 1024;

CallResult storeUnavailable()
{
    auto result = refusal(503, Outcome::NotRun, "store_unavailable",
                          "the call could not be recorded, so it was not run");
    result.retryAfter = retryAfter;
    return result;
}

CallResult unknownOutcome(std::string message)
{
    return refusal(502, Outcome::Unknown, "fate_unknown", std::move(message));
}

} // namespace

CallResult KeyedCalls::run(const CallSpec &spec, const std::string &key)
{
    const auto objectKey = std::string(callPrefix) + spec.entry->owner.text() + "/"
                           + sha256Hex(spec.entry->name.text() + "\n" + key);
    auto existing = read(objectKey);
    if (existing.isError()) {
        if (existing.error().kind != ErrorKind::NotFound)
            return storeUnavailable();
        Record fresh;
        fresh.fingerprint = spec.fingerprint;
        return begin(spec, objectKey, std::move(fresh));
    }
    auto record = existing.takeValue();
    if (record.fingerprint != spec.fingerprint) {
        return refusal(422, Outcome::NotRun, "key_reused",
                       "this idempotency key belongs to another request");
    }
    if (record.state == State::NotRun)
        return begin(spec, objectKey, std::move(record));
    return resolveFirstAttempt(spec, objectKey, std::move(record));
}

CallResult KeyedCalls::begin(const CallSpec &spec, const std::string &objectKey, Record record)
{
    std::vector<UpstreamId> tried;
    std::string detail;
    bool isRecorded = false;
    while (tried.size() < maxUpstreams) {
        const auto upstream = m_context.fleet.choose(spec.entry->pool, 0, tried);
        if (!upstream)
            break;
        tried.push_back(upstream->member().id);
        record.state = State::Started;
        record.attempt = AttemptId(makeUniqueId(m_context.node.text()));
        record.upstream = upstream->member().id;
        const auto written = write(objectKey, record);
        if (written.isError()) {
            if (written.error().kind != ErrorKind::Conflict)
                return storeUnavailable();
            // Another call has recorded the same key in the meantime; its attempt is the first.
            auto other = read(objectKey);
            return other.isError() ? storeUnavailable()
                                   : resolveFirstAttempt(spec, objectKey, other.takeValue());
        }
        isRecorded = true;
        record.version = written.value();
        const auto result = m_runner.runOnce(spec, record.attempt, *upstream,
                                             [](std::string_view) { return true; });
        if (result.status != AttemptStatus::NotRun)
            return finish(objectKey, std::move(record), result);
        detail = result.detail;
    }
    if (isRecorded) {
        record.state = State::NotRun;
        (void)write(objectKey, record);
    }
    auto exhausted
            = refusal(503, Outcome::NotRun, "no_upstream",
                      "no upstream takes this call now" + (detail.empty() ? "" : ": " + detail));
    exhausted.retryAfter = retryAfter;
    return exhausted;
}

CallResult KeyedCalls::resolveFirstAttempt(const CallSpec &spec, const std::string &objectKey,
                                           Record record)
{
    if (record.state == State::Finished) {
        if (record.answer.status == 0)
            return refusal(409, Outcome::Ran, "answer_not_kept",
                           "the call ran; its answer was too large to keep");
        CallResult result;
        result.answer = record.answer;
        return result;
    }
    const auto upstream = m_context.fleet.find(record.upstream);
    if (!upstream)
        return unknownOutcome("the upstream of the first attempt is gone");
    const auto request = makeAttempt(spec, WorkClass::Online, record.attempt, 0, Suspicion::None);
    const auto result
            = m_context.attempts.attach(*upstream, request, [](std::string_view) { return true; });
    return finish(objectKey, std::move(record), result);
}

CallResult KeyedCalls::finish(const std::string &objectKey, Record record,
                              const AttemptResult &result)
{
    if (result.status != AttemptStatus::Complete) {
        // Keep the record: a later call with this key may still find the attempt at its agent.
        m_context.metrics.unknownOutcomes.increase();
        return unknownOutcome("the call may have run: " + result.detail);
    }
    CallResult success;
    success.answer = result.answer;
    record.state = State::Finished;
    record.answer = result.answer;
    if (record.answer.body.size() > maxStoredAnswerBytes)
        record.answer = {0, "", ""};
    // If this write fails, a later call with this key finds the attempt at its agent instead.
    (void)write(objectKey, record);
    return success;
}

Result<KeyedCalls::Record> KeyedCalls::read(const std::string &objectKey)
{
    const auto object = TRY(m_context.store.get(objectKey));
    const auto fields = TRY(parseJsonObject(object.value));
    Record record;
    const auto state = textField(fields, "state").value_or("");
    if (state == "finished")
        record.state = State::Finished;
    else if (state == "not-run")
        record.state = State::NotRun;
    record.fingerprint = textField(fields, "fingerprint").value_or("");
    record.attempt = AttemptId(textField(fields, "attempt").value_or(""));
    record.upstream = UpstreamId(textField(fields, "upstream").value_or(""));
    record.version = object.version;
    if (const auto line = textField(fields, "answer")) {
        auto answer = TRY(parseAttemptMessage(*line));
        if (auto *parsed = std::get_if<AnswerMessage>(&answer))
            record.answer = std::move(*parsed);
    }
    return record;
}

Result<Version> KeyedCalls::write(const std::string &objectKey, const Record &record)
{
    boost::json::object fields{{"fingerprint", record.fingerprint},
                               {"attempt", record.attempt.text()},
                               {"upstream", record.upstream.text()},
                               {"writer", makeUniqueId("writer")},
                               {"at", unixMilliseconds()}};
    switch (record.state) {
    case State::Started:
        fields["state"] = "started";
        break;
    case State::Finished:
        fields["state"] = "finished";
        fields["answer"] = serializeAttemptMessage(record.answer);
        break;
    case State::NotRun:
        fields["state"] = "not-run";
        break;
    }
    const auto deadline = SteadyClock().now() + storeRetryTimeout;
    return putConfirmed(
            m_context.store, objectKey, boost::json::serialize(fields), record.version,
            [](Milliseconds wait) { boost::this_fiber::sleep_for(wait); },
            [deadline] { return SteadyClock().now() < deadline; });
}

} // namespace Radishplank
