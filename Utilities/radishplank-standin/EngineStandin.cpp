#include "EngineStandin.h"

#include <boost/fiber/operations.hpp>
#include <cstdlib>

namespace Radishplank {

namespace {

constexpr std::string_view crashMarker = "crash-the-engine";
constexpr int crashStatus = 42;
constexpr std::size_t wordsPerCacheBlock = 16;
constexpr std::uint64_t vocabularySize = 9973;
constexpr std::int64_t maxTokens = 100'000;

void respondJson(HttpExchange &exchange, unsigned status, const boost::json::object &value)
{
    (void)exchange.respond(
            {status, {{"Content-Type", "application/json"}}, boost::json::serialize(value)});
}

boost::json::object choice(bool isChat, bool isDelta, std::string_view text)
{
    boost::json::object result{{"index", 0}, {"finish_reason", nullptr}};
    if (isChat)
        result[isDelta ? "delta" : "message"] = boost::json::object{{"content", text}};
    else
        result["text"] = text;
    return result;
}

std::string event(const boost::json::object &choiceObject)
{
    const boost::json::object message{{"choices", boost::json::array{choiceObject}}};
    return "data: " + boost::json::serialize(message) + "\n\n";
}

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt, std::size_t &words)
{
    std::vector<std::uint64_t> blocks;
    words = 0;
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        if (prompt[i] != ' ')
            continue;
        words += 1;
        if (words % wordsPerCacheBlock == 0)
            blocks.push_back(stableHash(prompt.substr(0, i)));
    }
    words += 1;
    return blocks;
}

std::string chatPrompt(const boost::json::object &request)
{
    std::string prompt;
    const auto *messages = request.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return prompt;
    for (const auto &message : messages->as_array()) {
        if (message.is_object())
            prompt += textField(message.as_object(), "content").value_or("") + "\n";
    }
    return prompt;
}

} // namespace

EngineStandin::EngineStandin(EngineSettings settings)
    : m_settings(std::move(settings))
    , m_startedAt(SteadyClock().now())
{
}

std::string EngineStandin::tokenText(std::string_view prompt, std::uint64_t index)
{
    return "w" + std::to_string(stableHash(prompt, index) % vocabularySize) + " ";
}

void EngineStandin::handle(HttpExchange &exchange)
{
    const auto &target = exchange.request().target;
    constexpr std::string_view cancelPrefix = "/cancel/";
    if (target == "/v1/completions")
        complete(exchange, false);
    else if (target == "/v1/chat/completions")
        complete(exchange, true);
    else if (target.starts_with(cancelPrefix))
        cancel(exchange, target.substr(cancelPrefix.size()));
    else if (target == "/load")
        showLoad(exchange);
    else if (target == "/orders")
        handleOrder(exchange);
    else if (target == "/stats")
        showStats(exchange);
    else
        respondJson(exchange, 404, {{"error", "no such path"}});
}

void EngineStandin::complete(HttpExchange &exchange, bool isChat)
{
    auto parsed = parseJob(exchange, isChat);
    if (parsed.isError()) {
        respondJson(exchange, 400, {{"error", parsed.error().message}});
        return;
    }
    if (managesModels()) {
        const std::scoped_lock lock(m_mutex);
        if (parsed.value().model != m_model) {
            m_wrongModel += 1;
            respondJson(exchange, 404, {{"error", "the model is not loaded"}});
            return;
        }
    }
    const auto stream = std::make_shared<Stream>();
    stream->id = exchange.request().headers.value("X-Request-Id");
    if (waitForSlot(stream))
        generate(exchange, parsed.value(), stream);
    releaseSlot(stream);
    if (!exchange.hasResponded())
        respondJson(exchange, 499, {{"error", "cancelled"}});
}

Result<EngineStandin::Job> EngineStandin::parseJob(HttpExchange &exchange, bool isChat)
{
    const auto body = TRY(exchange.readBody());
    const auto request = TRY(parseJsonObject(body));
    Findings findings;
    JsonReader reader(request, "request", findings);
    Job job;
    job.isChat = isChat;
    job.model = reader.text("model", "");
    job.prompt = isChat ? chatPrompt(request) : reader.requiredText("prompt");
    job.tokens = static_cast<std::uint64_t>(reader.integer("max_tokens", 16, 1, maxTokens));
    job.resumeFrom = static_cast<std::uint64_t>(reader.integer("resume_from", 0, 0, maxTokens));
    job.isStreamed = reader.boolean("stream", false);
    if (!findings.isEmpty())
        return findings.toError();
    return job;
}

bool EngineStandin::waitForSlot(const StreamPointer &stream)
{
    std::unique_lock lock(m_mutex);
    m_streams[stream->id] = stream;
    m_waiting.push_back(stream);
    m_changed.wait(lock, [&] {
        const bool isNext = m_waiting.front() == stream && m_running < m_settings.slots;
        return stream->isCancelled || isNext;
    });
    std::erase(m_waiting, stream);
    m_changed.notify_all();
    if (stream->isCancelled)
        return false;
    stream->isAdmitted = true;
    m_running += 1;
    m_executions += 1;
    return true;
}

void EngineStandin::releaseSlot(const StreamPointer &stream)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_streams.find(stream->id);
    if (found != m_streams.end() && found->second == stream)
        m_streams.erase(found);
    if (stream->isAdmitted)
        m_running -= 1;
    m_changed.notify_all();
}

void EngineStandin::generate(HttpExchange &exchange, const Job &job, const StreamPointer &stream)
{
    if (!waitUnlessCancelled(stream, updateCache(job)))
        return;
    if (job.prompt.find(crashMarker) != std::string::npos)
        exitProcess(crashStatus);
    if (job.isStreamed
        && exchange.beginStream(200, {{"Content-Type", "text/event-stream"}}).isError())
        return;
    std::string whole;
    auto lastAt = SteadyClock().now();
    for (std::uint64_t index = job.resumeFrom; index < job.tokens; ++index) {
        if (!waitUnlessCancelled(stream, tokenTime()))
            break;
        const auto text = tokenText(job.prompt, index);
        const auto now = SteadyClock().now();
        {
            const std::scoped_lock lock(m_mutex);
            m_tokens += 1;
            m_busyMicroseconds
                    += std::chrono::duration_cast<std::chrono::microseconds>(now - lastAt).count();
        }
        lastAt = now;
        whole += text;
        if (job.isStreamed && exchange.writeStream(event(choice(job.isChat, true, text))).isError())
            return;
    }
    auto last = choice(job.isChat, job.isStreamed, job.isStreamed ? "" : whole);
    last["finish_reason"] = stream->isCancelled ? "cancelled" : "length";
    if (!job.isStreamed) {
        respondJson(exchange, 200, {{"choices", boost::json::array{last}}});
        return;
    }
    (void)exchange.writeStream(event(last) + "data: [DONE]\n\n");
    (void)exchange.endStream();
}

bool EngineStandin::waitUnlessCancelled(const StreamPointer &stream, Duration duration)
{
    std::unique_lock lock(m_mutex);
    if (duration <= Duration::zero())
        return !stream->isCancelled;
    stream->cancelled.wait_for(lock, duration, [&] { return stream->isCancelled; });
    return !stream->isCancelled;
}

Duration EngineStandin::updateCache(const Job &job)
{
    const std::scoped_lock lock(m_mutex);
    std::size_t words = 0;
    const auto blocks = prefixBlocks(job.prompt, words);
    std::size_t cachedBlocks = 0;
    while (cachedBlocks < blocks.size() && m_cache.contains(blocks[cachedBlocks]))
        cachedBlocks += 1;
    for (const auto block : blocks) {
        const auto found = m_cache.find(block);
        if (found != m_cache.end())
            m_cacheOrder.erase(found->second);
        m_cacheOrder.push_front(block);
        m_cache[block] = m_cacheOrder.begin();
        if (m_cacheOrder.size() > m_settings.cacheBlocks) {
            m_cache.erase(m_cacheOrder.back());
            m_cacheOrder.pop_back();
        }
    }
    const std::size_t cachedWords = cachedBlocks * wordsPerCacheBlock;
    m_cachedWords += cachedWords;
    m_promptWords += words;
    return std::chrono::microseconds(m_settings.prefillMicroseconds * (words - cachedWords));
}

Duration EngineStandin::tokenTime()
{
    const std::scoped_lock lock(m_mutex);
    const auto others = m_running > 0 ? m_running - 1 : 0;
    return m_settings.tokenInterval
           + std::chrono::microseconds(m_settings.batchSlopeMicroseconds * others);
}

void EngineStandin::cancel(HttpExchange &exchange, const std::string &id)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_streams.find(id);
        if (found != m_streams.end() && !found->second->isCancelled) {
            found->second->isCancelled = true;
            found->second->cancelled.notify_all();
            m_cancels += 1;
        }
    }
    m_changed.notify_all();
    respondJson(exchange, 200, {});
}

void EngineStandin::showLoad(HttpExchange &exchange)
{
    std::string sample;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = SteadyClock().now();
        if (m_loadSample.empty() || now - m_loadSampledAt >= m_settings.loadLag) {
            m_loadSample = boost::json::serialize(boost::json::object{{"slots", m_settings.slots},
                                                                      {"running", m_running},
                                                                      {"waiting", m_waiting.size()},
                                                                      {"model", m_model}});
            m_loadSampledAt = now;
        }
        sample = m_loadSample;
    }
    (void)exchange.respond({200, {{"Content-Type", "application/json"}}, sample});
}

void EngineStandin::handleOrder(HttpExchange &exchange)
{
    const auto body = exchange.readBody();
    const auto order = parseJsonObject(body.isError() ? "" : body.value());
    if (order.isError()) {
        respondJson(exchange, 400, {{"error", order.error().message}});
        return;
    }
    const auto fencing = integerField(order.value(), "fencing", 0);
    bool isRefused = false;
    {
        const std::scoped_lock lock(m_mutex);
        const bool isStale = fencing < m_highestFencing;
        isRefused = isStale && m_settings.checksFencing;
        if (isStale && !isRefused)
            m_staleOrders += 1;
        m_highestFencing = std::max(m_highestFencing, fencing);
    }
    const auto model = textField(order.value(), "load");
    if (!isRefused && model && managesModels()) {
        loadModel(exchange, *model);
        return;
    }
    respondJson(exchange, isRefused ? 409 : 200, {{"fencing", m_highestFencing}});
}

void EngineStandin::loadModel(HttpExchange &exchange, const std::string &model)
{
    const auto weights
            = HttpClient::fetch(m_settings.weightStore, {"GET", "/weights/" + model, {}, ""}, {});
    if (weights.isError() || weights.value().status != 200) {
        (void)exchange.respond({503, {{"Retry-After", "1"}}, "no weights now"});
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_model.clear();
    }
    boost::this_fiber::sleep_for(m_settings.loadTime);
    {
        const std::scoped_lock lock(m_mutex);
        m_model = model;
        m_loads += 1;
        m_cache.clear();
        m_cacheOrder.clear();
    }
    respondJson(exchange, 200, {{"model", model}});
}

void EngineStandin::showStats(HttpExchange &exchange)
{
    boost::json::object stats;
    {
        const std::scoped_lock lock(m_mutex);
        const auto uptime = SteadyClock().now() - m_startedAt;
        stats = {{"slots", m_settings.slots},
                 {"running", m_running},
                 {"waiting", m_waiting.size()},
                 {"executions", m_executions},
                 {"tokens", m_tokens},
                 {"cancels", m_cancels},
                 {"busyMicroseconds", m_busyMicroseconds},
                 {"cachedWords", m_cachedWords},
                 {"promptWords", m_promptWords},
                 {"staleOrders", m_staleOrders},
                 {"model", m_model},
                 {"loads", m_loads},
                 {"wrongModel", m_wrongModel},
                 {"uptimeMicroseconds",
                  std::chrono::duration_cast<std::chrono::microseconds>(uptime).count()}};
    }
    respondJson(exchange, 200, stats);
}

} // namespace Radishplank
