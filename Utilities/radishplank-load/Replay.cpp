#include "Replay.h"

#include <boost/fiber/operations.hpp>
#include <future>

namespace Radishplank {

namespace {

constexpr Milliseconds connectTimeout{5'000};
constexpr Milliseconds answerTimeout{60'000};
constexpr std::uint64_t vocabularySize = 9973;
constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view errorEvent = "data: {\"error\"";

HttpRequest requestFor(const TraceCall &call, const ReplaySettings &settings)
{
    const boost::json::object body{{"model", call.entry},
                                   {"prompt", call.prompt},
                                   {"max_tokens", call.tokens},
                                   {"stream", true}};
    HttpRequest request{"POST", "/v1/completions", {}, boost::json::serialize(body)};
    request.headers.add("Content-Type", "application/json");
    if (!settings.isDirect)
        request.headers.add("Authorization", "Bearer " + settings.token);
    if (!call.isIdempotent)
        request.headers.add("Radishplank-Idempotent", "false");
    return request;
}

/// Returns the text that the engine stand-in generates for a call.
std::string expectedText(const TraceCall &call)
{
    std::string text;
    for (std::uint64_t index = 0; index < call.tokens; ++index)
        text += "w" + std::to_string(stableHash(call.prompt, index) % vocabularySize) + " ";
    return text;
}

std::string textOf(std::string_view events)
{
    std::string text;
    for (auto end = events.find('\n'); end != std::string_view::npos; end = events.find('\n')) {
        const auto line = events.substr(0, end);
        events.remove_prefix(end + 1);
        if (!line.starts_with("data: {"))
            continue;
        const auto event = parseJsonObject(line.substr(eventPrefix.size()));
        const auto *choices = event.isError() ? nullptr : event.value().if_contains("choices");
        if (choices != nullptr)
            text += textField(choices->as_array().front().as_object(), "text").value_or("");
    }
    return text;
}

CallSample runCall(const TraceCall &call, const Endpoint &to, const ReplaySettings &settings,
                   TimePoint scheduledAt)
{
    CallSample sample;
    sample.offset = call.offset;
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.readTimeout = answerTimeout;
    auto opened = HttpClient::open(to, requestFor(call, settings), options);
    if (std::holds_alternative<HttpCallError>(opened))
        return sample;
    auto &answer = *std::get<std::unique_ptr<HttpResponseStream>>(opened);
    sample.status = answer.status();
    std::string events;
    while (true) {
        const auto chunk = answer.readChunk();
        const auto now = SteadyClock().now();
        if (chunk.isError()) {
            sample.status = 0;
            return sample;
        }
        if (chunk.value().empty())
            break;
        if (events.empty())
            sample.timeToFirstToken = now - scheduledAt;
        events += chunk.value();
        sample.totalTime = now - scheduledAt;
    }
    if (sample.status != 200)
        return sample;
    const bool isTruncated = events.find(errorEvent) != std::string::npos;
    const auto text = textOf(events);
    const auto expected = expectedText(call);
    const bool isCorrect = isTruncated ? expected.starts_with(text) : text == expected;
    if (isTruncated)
        sample.content = AnswerContent::Truncated;
    if (settings.checksText && !isCorrect)
        sample.content = AnswerContent::Wrong;
    return sample;
}

} // namespace

LoadReport replay(FiberThreads &threads, const std::vector<TraceCall> &calls,
                  const ReplaySettings &settings)
{
    struct Shared
    {
        std::mutex mutex;
        std::vector<CallSample> samples;
        std::promise<void> done;
    };
    const auto shared = std::make_shared<Shared>();
    auto done = shared->done.get_future();
    const auto begin = SteadyClock().now();
    for (std::size_t i = 0; i < calls.size(); ++i) {
        threads.spawn([&, shared, i] {
            const auto scheduledAt = begin + calls[i].offset;
            boost::this_fiber::sleep_until(scheduledAt);
            const auto &to = settings.targets[i % settings.targets.size()];
            const auto sample = runCall(calls[i], to, settings, scheduledAt);
            const std::scoped_lock lock(shared->mutex);
            shared->samples.push_back(sample);
            if (shared->samples.size() == calls.size())
                shared->done.set_value();
        });
    }
    if (!calls.empty())
        done.wait();
    LoadReport report;
    report.duration = SteadyClock().now() - begin;
    report.samples = std::move(shared->samples);
    return report;
}

} // namespace Radishplank
