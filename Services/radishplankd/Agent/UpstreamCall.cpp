#include "Agent/UpstreamCall.h"

namespace Radishplank {

namespace {

constexpr Milliseconds upstreamConnectTimeout{500};
constexpr Milliseconds cancelTimeout{1'000};
constexpr std::size_t maxEventBytes = std::size_t{256} * 1024;
constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view lastEvent = "[DONE]";

HttpCallOptions upstreamOptions(Milliseconds readTimeout)
{
    HttpCallOptions options;
    options.connectTimeout = upstreamConnectTimeout;
    options.readTimeout = readTimeout;
    // The upstream may just have closed an idle keep-alive connection; a request sent on it could
    // not be distinguished from one that was interrupted while it ran.
    options.reuse = ConnectionReuse::Forbidden;
    return options;
}

EndMessage failureEndLine(const HttpCallError &failure)
{
    const bool hasTimedOut
            = failure.error.kind == ErrorKind::Timeout && failure.progress == CallProgress::Sent;
    EndMessage line;
    line.end = hasTimedOut ? AttemptEnd::UpstreamSilent : AttemptEnd::UpstreamLost;
    if (failure.error.kind == ErrorKind::InvalidInput)
        line.end = AttemptEnd::Rejected;
    line.outcome = failure.progress == CallProgress::NotSent ? Outcome::NotRun : Outcome::Unknown;
    line.detail = failure.error.message;
    return line;
}

EndMessage stoppedEndLine(StopReason reason)
{
    EndMessage line;
    line.outcome = Outcome::Ran;
    switch (reason) {
    case StopReason::Preempted:
        line.end = AttemptEnd::Preempted;
        break;
    case StopReason::DeadlinePassed:
        line.end = AttemptEnd::DeadlinePassed;
        break;
    default:
        line.end = AttemptEnd::Cancelled;
        break;
    }
    return line;
}

/// Splits the response stream of a model engine into server-sent events.
class EngineEventReader
{
public:
    explicit EngineEventReader(HttpResponseStream &answer)
        : m_answer(answer)
    {
    }

    /// Returns the data of the next event, or an empty string at the end of the stream.
    Result<std::string> next()
    {
        while (true) {
            const auto end = m_buffer.find("\n\n", m_scanned);
            if (end != std::string::npos) {
                std::string event = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                m_scanned = 0;
                if (event.starts_with(eventPrefix))
                    return event.substr(eventPrefix.size());
                continue;
            }
            m_scanned = m_buffer.empty() ? 0 : m_buffer.size() - 1;
            if (m_buffer.size() > maxEventBytes)
                return Error{ErrorKind::TooLarge, "an event of the engine is too large"};
            const auto piece = TRY(m_answer.readChunk());
            if (piece.empty())
                return std::string();
            m_buffer += piece;
        }
    }

private:
    HttpResponseStream &m_answer;
    std::string m_buffer;
    std::size_t m_scanned = 0;
};

struct EngineEvent
{
    std::string text;
    std::string finishReason;
};

Result<EngineEvent> parseEvent(std::string_view data)
{
    const auto object = TRY(parseJsonObject(data, DuplicateFields::LastWins));
    const Error malformed{ErrorKind::InvalidInput, "an event of the engine has no choice"};
    const auto *choices = object.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->as_array().empty()
        || !choices->as_array().front().is_object())
        return malformed;
    const auto &choice = choices->as_array().front().as_object();
    EngineEvent event;
    event.finishReason = textField(choice, "finish_reason").value_or("");
    const auto *delta = choice.if_contains("delta");
    if (delta != nullptr && delta->is_object())
        event.text = textField(delta->as_object(), "content").value_or("");
    else
        event.text = textField(choice, "text").value_or("");
    return event;
}

EndMessage readEvents(HttpResponseStream &answer, Attempt &attempt)
{
    EngineEventReader reader(answer);
    std::string finishReason;
    while (true) {
        auto data = reader.next();
        if (data.isError())
            return failureEndLine({data.takeError(), CallProgress::Sent});
        if (data.value() == lastEvent)
            break;
        const auto event = data.value().empty() ? Result<EngineEvent>(
                                   Error{ErrorKind::Unavailable, "the stream ended early"})
                                                : parseEvent(data.value());
        if (event.isError())
            return failureEndLine({event.error(), CallProgress::Sent});
        if (!event.value().text.empty())
            attempt.append(TokenMessage{event.value().text});
        if (!event.value().finishReason.empty())
            finishReason = event.value().finishReason;
    }
    if (finishReason == "cancelled")
        return stoppedEndLine(attempt.stopReason());
    return {AttemptEnd::Complete, Outcome::Ran, finishReason, false};
}

} // namespace

EndMessage runOnEngine(const Endpoint &engine, Attempt &attempt)
{
    const auto &order = attempt.order();
    HttpRequest request{"POST", order.target, {}, order.body};
    request.headers.add("Content-Type", "application/json");
    request.headers.add("X-Request-Id", order.id.text());
    auto opened = HttpClient::open(engine, request, upstreamOptions(upstreamProgressTimeout));
    if (const auto *failure = std::get_if<HttpCallError>(&opened))
        return failureEndLine(*failure);
    auto &answer = *std::get<std::unique_ptr<HttpResponseStream>>(opened);
    if (answer.status() == 200)
        return readEvents(answer, attempt);
    const auto body = answer.readBody();
    if (attempt.stopReason() != StopReason::None)
        return stoppedEndLine(attempt.stopReason());
    const bool isRequestFault = answer.status() >= 400 && answer.status() < 500;
    const auto end = isRequestFault ? AttemptEnd::Rejected : AttemptEnd::UpstreamLost;
    return {end, Outcome::Ran, body.isError() ? body.error().message : body.value(), false};
}

EndMessage runOnService(const Endpoint &service, Attempt &attempt)
{
    const auto &order = attempt.order();
    HttpRequest request{order.method, order.target, {}, order.body};
    if (!order.contentType.empty())
        request.headers.add("Content-Type", order.contentType);
    request.headers.add("X-Request-Id", order.id.text());
    const auto remaining
            = std::chrono::duration_cast<Milliseconds>(order.deadline - SteadyClock().now());
    auto result = HttpClient::call(service, request,
                                   upstreamOptions(std::max(remaining, Milliseconds(1))));
    if (const auto *failure = std::get_if<HttpCallError>(&result))
        return failureEndLine(*failure);
    auto &response = std::get<HttpResponse>(result);
    attempt.append(AnswerMessage{response.status, response.headers.value("Content-Type"),
                                 std::move(response.body)});
    return {AttemptEnd::Complete, Outcome::Ran, "", false};
}

void cancelOnEngine(const Endpoint &engine, const AttemptId &attempt)
{
    const HttpRequest request{"POST", "/cancel/" + attempt.text(), {}, ""};
    HttpCallOptions options;
    options.connectTimeout = upstreamConnectTimeout;
    options.readTimeout = cancelTimeout;
    // Errors are ignored: if the cancel is lost, the stream runs to its end, which the caller waits
    // for in any case.
    (void)HttpClient::fetch(engine, request, options);
}

} // namespace Radishplank
