#include "Entry/CallerApi.h"

#include "Entry/ApiAnswer.h"

#include <charconv>

namespace Radishplank {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view servicePrefix = "/services/";
constexpr std::string_view batchPrefix = "/v1/batches";
constexpr std::int64_t maxTokensPerCall = 100'000;

std::string ownerLimitKey(const OwnerId &owner)
{
    return owner.text();
}

std::string entryLimitKey(const Entry &entry)
{
    return entry.owner.text() + "/" + entry.name.text();
}

/// Returns the deadline of the call. The caller can shorten the entry's deadline, never extend it.
TimePoint deadlineOf(const HttpRequest &request, const Entry &entry)
{
    auto allowed = entry.deadline;
    const auto text = request.headers.value(AttemptHeader::deadline);
    std::uint32_t requested = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), requested);
    if (!text.empty() && parsed.ec == std::errc() && Milliseconds(requested) < allowed)
        allowed = Milliseconds(requested);
    return SteadyClock().now() + allowed;
}

std::string fingerprintOf(const OwnerId &owner, std::string_view target, std::string_view body)
{
    return sha256Hex(owner.text() + "\n" + std::string(target) + "\n" + std::string(body));
}

Findings checkModelRequest(const boost::json::object &request, bool isChat)
{
    Findings findings;
    JsonReader reader(request, "request", findings);
    (void)reader.requiredText("model");
    (void)reader.integer("max_tokens", 1, 1, maxTokensPerCall);
    (void)reader.boolean("stream", false);
    if (!isChat) {
        (void)reader.requiredText("prompt");
        return findings;
    }
    const auto *messages = request.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
        findings.add("request.messages", "must be a list with at least one message");
        return findings;
    }
    std::size_t index = 0;
    for (const auto &message : messages->as_array()) {
        const auto place = "request.messages[" + std::to_string(index++) + "]";
        if (!message.is_object()) {
            findings.add(place, "must be an object");
            continue;
        }
        JsonReader messageReader(message.as_object(), place, findings);
        (void)messageReader.requiredText("role");
        (void)messageReader.requiredText("content");
    }
    return findings;
}

/// Formats the answer to one model call as an OpenAI-compatible completion or chat completion.
class CompletionWriter
{
public:
    CompletionWriter(std::string model, bool isChat)
        : m_id(makeUniqueId(isChat ? "chatcmpl" : "cmpl"))
        , m_model(std::move(model))
        , m_createdSeconds(unixMilliseconds() / 1000)
        , m_isChat(isChat)
    {
    }

    [[nodiscard]] std::string tokenEvent(std::string_view token) const
    {
        boost::json::object choice{{"index", 0}, {"finish_reason", nullptr}};
        if (m_isChat)
            choice["delta"] = boost::json::object{{"content", token}};
        else
            choice["text"] = token;
        return event(std::move(choice));
    }

    [[nodiscard]] std::string finalEvents(std::string_view finishReason) const
    {
        boost::json::object choice{{"index", 0}, {"finish_reason", finishReason}};
        if (m_isChat)
            choice["delta"] = boost::json::object{};
        else
            choice["text"] = "";
        return event(std::move(choice)) + "data: [DONE]\n\n";
    }

    [[nodiscard]] boost::json::object
    completion(std::string_view text, std::string_view finishReason, std::uint64_t tokens) const
    {
        boost::json::object choice{{"index", 0}, {"finish_reason", finishReason}};
        if (m_isChat) {
            choice["message"] = boost::json::object{{"role", "assistant"}, {"content", text}};
        } else {
            choice["text"] = text;
        }
        auto object = commonFields(m_isChat ? "chat.completion" : "text_completion");
        object["choices"] = boost::json::array{std::move(choice)};
        object["usage"] = boost::json::object{{"completion_tokens", tokens}};
        return object;
    }

private:
    [[nodiscard]] boost::json::object commonFields(std::string_view kind) const
    {
        return {{"id", m_id}, {"object", kind}, {"created", m_createdSeconds}, {"model", m_model}};
    }

    [[nodiscard]] std::string event(boost::json::object choice) const
    {
        auto object = commonFields(m_isChat ? "chat.completion.chunk" : "text_completion");
        object["choices"] = boost::json::array{std::move(choice)};
        return "data: " + boost::json::serialize(object) + "\n\n";
    }

    std::string m_id;
    std::string m_model;
    long long m_createdSeconds;
    bool m_isChat;
};

} // namespace

CallerApi::CallerApi(EntryContext &context, CallRunner &runner, KeyedCalls &keyedCalls,
                     BatchApi &batch)
    : m_context(context)
    , m_runner(runner)
    , m_keyedCalls(keyedCalls)
    , m_batch(batch)
{
}

void CallerApi::handle(HttpExchange &exchange)
{
    m_context.metrics.requests.increase();
    const auto &request = exchange.request();
    const auto target = HttpTarget::parse(request.target);
    const auto owner = authenticate(request);
    if (!owner) {
        respondError(exchange, 401, Outcome::NotRun, "unauthorized",
                     "a valid bearer token is required");
        return;
    }
    const bool isCompletion
            = target.path == "/v1/chat/completions" || target.path == "/v1/completions";
    if (isCompletion && request.method == "POST")
        handleModel(exchange, *owner);
    else if (target.path == "/v1/models" && request.method == "GET")
        listModels(exchange, *owner);
    else if (target.path.starts_with(servicePrefix))
        handleService(exchange, *owner, target);
    else if (target.path.starts_with(batchPrefix))
        m_batch.handle(exchange, *owner, target);
    else
        respondError(exchange, 404, Outcome::NotRun, "not_found", "no such path or method");
}

std::optional<OwnerId> CallerApi::authenticate(const HttpRequest &request)
{
    const auto authorization = request.headers.value("Authorization");
    if (!authorization.starts_with(bearerPrefix))
        return {};
    const auto digest = sha256Hex(std::string_view(authorization).substr(bearerPrefix.size()));
    return m_context.configuration.read(
            [&](const CatalogueSnapshot &catalogue) -> std::optional<OwnerId> {
                const auto owner = catalogue.ownerByTokenDigest(digest);
                if (!owner)
                    return {};
                return owner->id;
            });
}

std::shared_ptr<const Entry> CallerApi::findEntry(HttpExchange &exchange, const OwnerId &owner,
                                                  const std::string &name, EntryKind kind)
{
    auto entry = m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        return catalogue.entry(owner, EntryName(name));
    });
    if (!entry || entry->kind != kind) {
        respondError(exchange, 404, Outcome::NotRun, "unknown_entry",
                     "the catalogue has no such entry '" + name + "' for this caller");
        return {};
    }
    if (!entry->accepts(WorkClass::Online)) {
        respondError(exchange, 403, Outcome::NotRun, "wrong_class",
                     "the entry '" + name + "' takes batch work only");
        return {};
    }
    return entry;
}

bool CallerApi::mayFinish(HttpExchange &exchange, TimePoint deadline)
{
    if (m_context.stopSchedule.mayTake(deadline, SteadyClock().now()))
        return true;
    m_context.metrics.refused.increase();
    respondError(exchange, 503, Outcome::NotRun, "stopping", "this process is about to stop");
    return false;
}

bool CallerApi::admit(HttpExchange &exchange, const Entry &entry)
{
    const auto now = SteadyClock().now();
    const auto ownerLimits = m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        const auto owner = catalogue.owner(entry.owner);
        return owner == nullptr ? Limits() : owner->limits;
    });
    auto wait = m_context.limits.admit(ownerLimitKey(entry.owner), ownerLimits, now);
    if (!wait) {
        wait = m_context.limits.admit(entryLimitKey(entry), entry.limits, now);
        if (wait)
            m_context.limits.release(ownerLimitKey(entry.owner), now);
    }
    if (!wait)
        return true;
    m_context.metrics.refused.increase();
    CallResult refusal;
    refusal.status = 429;
    refusal.outcome = Outcome::NotRun;
    refusal.code = "limit_exceeded";
    refusal.message = "the limit of this owner or entry is used up";
    refusal.retryAfter = std::chrono::duration_cast<Milliseconds>(*wait);
    respondError(exchange, refusal);
    return false;
}

void CallerApi::release(const Entry &entry)
{
    const auto now = SteadyClock().now();
    m_context.limits.release(ownerLimitKey(entry.owner), now);
    m_context.limits.release(entryLimitKey(entry), now);
}

void CallerApi::handleModel(HttpExchange &exchange, const OwnerId &owner)
{
    const auto &request = exchange.request();
    const auto body = exchange.readBody();
    if (body.isError()) {
        respondError(exchange, body.error());
        return;
    }
    auto parsed = parseJsonObject(body.value());
    if (parsed.isError()) {
        respondError(exchange, parsed.error());
        return;
    }
    CallSpec spec;
    spec.target = HttpTarget::parse(request.target).path;
    const bool isChat = spec.target == "/v1/chat/completions";
    const auto findings = checkModelRequest(parsed.value(), isChat);
    if (!findings.isEmpty()) {
        respondError(exchange, findings.toError());
        return;
    }
    spec.request = parsed.takeValue();
    spec.entry = findEntry(exchange, owner, textField(spec.request, "model").value_or(""),
                           EntryKind::Model);
    if (!spec.entry)
        return;
    spec.deadline = deadlineOf(request, *spec.entry);
    if (!mayFinish(exchange, spec.deadline) || !admit(exchange, *spec.entry))
        return;
    const FinalAction releaseLimits([&] { release(*spec.entry); });
    spec.method = "POST";
    spec.isRetryable = spec.entry->isIdempotent(spec.method, spec.target)
                       && request.headers.value("Radishplank-Idempotent") != "false";
    spec.prefixKey = prefixKeyOf(spec.request);
    spec.fingerprint = fingerprintOf(owner, spec.target, body.value());
    const auto *stream = spec.request.if_contains("stream");
    if (stream != nullptr && stream->as_bool())
        runStreamed(exchange, spec, isChat);
    else
        runBuffered(exchange, spec, isChat);
}

void CallerApi::runBuffered(HttpExchange &exchange, const CallSpec &spec, bool isChat)
{
    const auto startedAt = SteadyClock().now();
    std::string text;
    std::uint64_t tokens = 0;
    const auto result = m_runner.run(spec, [&](std::string_view token) {
        if (tokens == 0)
            m_context.metrics.firstToken.record(SteadyClock().now() - startedAt);
        tokens += 1;
        text += token;
        return !exchange.isClientDisconnected();
    });
    if (result.status != 200) {
        respondError(exchange, result);
        return;
    }
    m_context.usage.note(spec.entry->owner, WorkClass::Online, tokens);
    const CompletionWriter writer(spec.entry->name.text(), isChat);
    respondJson(exchange, 200, writer.completion(text, result.finishReason, tokens));
    m_context.metrics.wholeAnswer.record(SteadyClock().now() - startedAt);
}

void CallerApi::runStreamed(HttpExchange &exchange, const CallSpec &spec, bool isChat)
{
    const auto startedAt = SteadyClock().now();
    const CompletionWriter writer(spec.entry->name.text(), isChat);
    const HttpHeaders headers{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}};
    bool hasBegun = false;
    std::uint64_t tokens = 0;
    const auto begin = [&] {
        hasBegun = true;
        return exchange.beginStream(200, headers);
    };
    const auto result = m_runner.run(spec, [&](std::string_view token) {
        if (!hasBegun) {
            m_context.metrics.firstToken.record(SteadyClock().now() - startedAt);
            if (begin().isError())
                return false;
        }
        tokens += 1;
        return !exchange.writeStream(writer.tokenEvent(token)).isError();
    });
    if (result.status == 200)
        m_context.usage.note(spec.entry->owner, WorkClass::Online, tokens);
    if (result.status != 200 && !hasBegun) {
        respondError(exchange, result);
        return;
    }
    if (!hasBegun && begin().isError())
        return;
    // The status was sent with the first token, so a failure is reported as an event.
    const auto last = result.status == 200
                              ? writer.finalEvents(result.finishReason)
                              : "data: " + boost::json::serialize(describeError(result)) + "\n\n";
    if (!exchange.writeStream(last).isError())
        (void)exchange.endStream();
    m_context.metrics.wholeAnswer.record(SteadyClock().now() - startedAt);
}

void CallerApi::handleService(HttpExchange &exchange, const OwnerId &owner,
                              const HttpTarget &target)
{
    const auto &request = exchange.request();
    const auto rest = target.path.substr(servicePrefix.size());
    const auto slash = rest.find('/');
    const auto name = percentDecode(rest.substr(0, slash));
    auto body = exchange.readBody();
    if (body.isError()) {
        respondError(exchange, body.error());
        return;
    }
    CallSpec spec;
    spec.entry = findEntry(exchange, owner, name, EntryKind::Service);
    if (!spec.entry)
        return;
    spec.deadline = deadlineOf(request, *spec.entry);
    if (!mayFinish(exchange, spec.deadline) || !admit(exchange, *spec.entry))
        return;
    spec.method = request.method;
    const auto path = slash == std::string::npos ? "/" : rest.substr(slash);
    spec.target = target.query.empty() ? path : path + "?" + target.query;
    spec.contentType = request.headers.value("Content-Type");
    spec.body = body.takeValue();
    spec.isRetryable = spec.entry->isIdempotent(spec.method, path)
                       && request.headers.value("Radishplank-Idempotent") != "false";
    spec.fingerprint = fingerprintOf(owner, spec.method + request.target, spec.body);
    const auto result = runAdmittedService(request, spec);
    if (result.status != 200) {
        respondError(exchange, result);
        return;
    }
    m_context.usage.note(owner, WorkClass::Online, 0);
    HttpResponse response{result.answer.status, {}, result.answer.body};
    if (!result.answer.contentType.empty())
        response.headers.add("Content-Type", result.answer.contentType);
    (void)exchange.respond(std::move(response));
}

CallResult CallerApi::runAdmittedService(const HttpRequest &request, const CallSpec &spec)
{
    const FinalAction releaseLimits([&] { release(*spec.entry); });
    return runService(request, spec);
}

CallResult CallerApi::runService(const HttpRequest &request, const CallSpec &spec)
{
    const auto key = request.headers.value("Idempotency-Key");
    if (!spec.isRetryable && !key.empty())
        return m_keyedCalls.run(spec, key);
    return m_runner.run(spec, [](std::string_view) { return true; });
}

void CallerApi::listModels(HttpExchange &exchange, const OwnerId &owner)
{
    const auto entries = m_context.configuration.read(
            [&](const CatalogueSnapshot &catalogue) { return catalogue.entriesOf(owner); });
    boost::json::array models;
    for (const auto &entry : entries) {
        if (entry->kind == EntryKind::Model)
            models.push_back(boost::json::object{
                    {"id", entry->name.text()}, {"object", "model"}, {"owned_by", owner.text()}});
    }
    respondJson(exchange, 200,
                boost::json::object{{"object", "list"}, {"data", std::move(models)}});
}

} // namespace Radishplank
