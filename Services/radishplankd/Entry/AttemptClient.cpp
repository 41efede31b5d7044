#include "Entry/AttemptClient.h"

#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr Milliseconds connectTimeout{500};
/// Agents send a heartbeat every 300 ms, so a connection without a byte for this long is dead.
constexpr Milliseconds silenceTimeout{1'200};
constexpr Milliseconds cancelTimeout{1'000};
constexpr int maxReattachments = 2;
constexpr std::size_t maxLineBytes = std::size_t{16} * 1024 * 1024;

HttpCallOptions attemptOptions(ConnectionReuse reuse)
{
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.readTimeout = silenceTimeout;
    options.reuse = reuse;
    return options;
}

AttemptResult notRun(std::string detail)
{
    AttemptResult result;
    result.status = AttemptStatus::NotRun;
    result.detail = std::move(detail);
    return result;
}

AttemptStatus statusOf(const EndMessage &line)
{
    // No upstream will take it, also if this one has not run it.
    if (line.end == AttemptEnd::Rejected)
        return AttemptStatus::Rejected;
    if (line.outcome == Outcome::NotRun)
        return AttemptStatus::NotRun;
    switch (line.end) {
    case AttemptEnd::Complete:
        return AttemptStatus::Complete;
    case AttemptEnd::Preempted:
        return AttemptStatus::Preempted;
    case AttemptEnd::UpstreamLost:
    case AttemptEnd::UpstreamSilent:
        return AttemptStatus::UpstreamLost;
    case AttemptEnd::Rejected:
        return AttemptStatus::Rejected;
    case AttemptEnd::Cancelled:
    case AttemptEnd::DeadlinePassed:
        return AttemptStatus::Stopped;
    }
    return AttemptStatus::Lost;
}

} // namespace

AttemptClient::AttemptClient(ControlThread &control, std::string secret, LinkAllowance &batchLink)
    : m_control(control)
    , m_secret(std::move(secret))
    , m_batchLink(batchLink)
{
}

AttemptResult AttemptClient::run(Upstream &upstream, const AttemptRequest &request,
                                 const TokenSink &sink)
{
    const auto incarnation = upstream.incarnation();
    const auto &agent = upstream.member().data;
    noteBytes(upstream, request.workClass, request.body.size());
    auto opened = HttpClient::open(agent, makeStartRequest(request, incarnation),
                                   attemptOptions(ConnectionReuse::Allowed));
    if (const auto *failure = std::get_if<HttpCallError>(&opened)) {
        if (failure->error.kind == ErrorKind::InvalidInput) {
            AttemptResult rejected;
            rejected.status = AttemptStatus::Rejected;
            rejected.detail = failure->error.message;
            return rejected;
        }
        if (failure->progress == CallProgress::NotSent) {
            upstream.noteUnavailable();
            return notRun(failure->error.message);
        }
        return reattach(upstream, request, sink, {}, incarnation);
    }
    auto &answer = *std::get<std::unique_ptr<HttpResponseStream>>(opened);
    if (answer.status() != 200) {
        constexpr unsigned queueFullStatus = 429;
        const auto body = answer.readBody();
        auto result = notRun(body.isError() ? body.error().message : body.value());
        result.wasQueueFull = answer.status() == queueFullStatus;
        if (!result.wasQueueFull)
            upstream.noteUnavailable();
        return result;
    }
    Progress progress;
    switch (readLines(answer, upstream, request.workClass, sink, progress)) {
    case ReadStatus::Ended:
        return progress.result;
    case ReadStatus::SinkClosed:
        return stop(upstream, request, incarnation);
    case ReadStatus::Broken:
        break;
    }
    return reattach(upstream, request, sink, std::move(progress), incarnation);
}

const Counter &AttemptClient::bytes(Distance distance) const
{
    return m_bytes[static_cast<std::size_t>(distance)];
}

void AttemptClient::noteBytes(const Upstream &upstream, WorkClass workClass, std::size_t bytes)
{
    m_bytes[static_cast<std::size_t>(upstream.distance())].increase(bytes);
    if (upstream.distance() == Distance::OtherRegion && workClass == WorkClass::Batch)
        m_batchLink.charge(bytes, SteadyClock().now());
}

AttemptResult AttemptClient::attach(Upstream &upstream, const AttemptRequest &request,
                                    const TokenSink &sink)
{
    Progress progress;
    auto opened = HttpClient::open(upstream.member().data, makeAttachRequest(request, 0),
                                   attemptOptions(ConnectionReuse::Forbidden));
    if (std::holds_alternative<HttpCallError>(opened))
        return progress.result;
    auto &answer = *std::get<std::unique_ptr<HttpResponseStream>>(opened);
    if (answer.status() == 200
        && readLines(answer, upstream, request.workClass, sink, progress) == ReadStatus::Ended)
        return progress.result;
    return {};
}

HttpRequest AttemptClient::makeStartRequest(const AttemptRequest &request,
                                            const std::string &incarnation) const
{
    HttpRequest call{"POST", "/attempts/" + request.id.text(), {}, request.body};
    const auto add = [&](std::string_view name, std::string value) {
        call.headers.add(std::string(name), std::move(value));
    };
    const auto remaining
            = std::chrono::duration_cast<Milliseconds>(request.deadline - SteadyClock().now());
    add(AttemptHeader::secret, m_secret);
    add(AttemptHeader::incarnation, incarnation);
    add(AttemptHeader::pool, request.pool);
    add(AttemptHeader::kind, request.kind == EntryKind::Model ? "model" : "service");
    add(AttemptHeader::workClass, request.workClass == WorkClass::Online ? "online" : "batch");
    add(AttemptHeader::deadline, std::to_string(std::max<long long>(remaining.count(), 0)));
    add(AttemptHeader::method, request.method);
    add(AttemptHeader::target, request.target);
    add(AttemptHeader::repeatable, request.isRepeatable ? "true" : "false");
    if (request.suspicion == Suspicion::Suspect)
        add(AttemptHeader::suspect, "true");
    if (!request.contentType.empty())
        add("Content-Type", request.contentType);
    return call;
}

HttpRequest AttemptClient::makeAttachRequest(const AttemptRequest &request, std::size_t from) const
{
    HttpRequest call{
            "GET", "/attempts/" + request.id.text() + "?from=" + std::to_string(from), {}, ""};
    call.headers.add(std::string(AttemptHeader::secret), m_secret);
    return call;
}

AttemptClient::ReadStatus AttemptClient::readLines(HttpResponseStream &answer,
                                                   const Upstream &upstream, WorkClass workClass,
                                                   const TokenSink &sink, Progress &progress)
{
    std::string buffer;
    while (true) {
        const auto piece = answer.readChunk();
        if (piece.isError() || piece.value().empty())
            return ReadStatus::Broken;
        noteBytes(upstream, workClass, piece.value().size());
        buffer += piece.value();
        std::size_t begin = 0;
        for (auto end = buffer.find('\n'); end != std::string::npos;
             end = buffer.find('\n', begin)) {
            const auto line = std::string_view(buffer).substr(begin, end - begin);
            const auto lineStatus = handleLine(line, sink, progress);
            if (lineStatus == LineStatus::Last) {
                // Read the end of the body, so that the connection can be reused.
                (void)answer.readChunk();
                return ReadStatus::Ended;
            }
            if (lineStatus == LineStatus::SinkClosed)
                return ReadStatus::SinkClosed;
            begin = end + 1;
        }
        buffer.erase(0, begin);
        if (buffer.size() > maxLineBytes)
            return ReadStatus::Broken;
    }
}

AttemptClient::LineStatus AttemptClient::handleLine(std::string_view line, const TokenSink &sink,
                                                    Progress &progress)
{
    auto parsed = parseAttemptMessage(line);
    if (parsed.isError() || std::holds_alternative<HeartbeatMessage>(parsed.value()))
        return LineStatus::More;
    progress.lines += 1;
    if (const auto *token = std::get_if<TokenMessage>(&parsed.value()))
        return sink(token->text) ? LineStatus::More : LineStatus::SinkClosed;
    if (auto *answer = std::get_if<AnswerMessage>(&parsed.value())) {
        progress.result.answer = std::move(*answer);
        return LineStatus::More;
    }
    const auto &end = std::get<EndMessage>(parsed.value());
    progress.result.status = statusOf(end);
    progress.result.detail = end.detail.empty() ? std::string(attemptEndName(end.end)) : end.detail;
    progress.result.finishReason = end.end == AttemptEnd::Complete ? end.detail : "";
    progress.result.isBlamed = end.mayHaveCausedCrash;
    return LineStatus::Last;
}

AttemptResult AttemptClient::reattach(Upstream &upstream, const AttemptRequest &request,
                                      const TokenSink &sink, Progress progress,
                                      const std::string &incarnation)
{
    for (int i = 0; i < maxReattachments; ++i) {
        auto opened = HttpClient::open(upstream.member().data,
                                       makeAttachRequest(request, progress.lines),
                                       attemptOptions(ConnectionReuse::Forbidden));
        if (std::holds_alternative<HttpCallError>(opened))
            continue;
        auto &answer = *std::get<std::unique_ptr<HttpResponseStream>>(opened);
        // The agent does not know the attempt: the request has not arrived yet, or the agent has
        // restarted.
        if (answer.status() != 200)
            break;
        m_reattached.increase();
        const auto end = readLines(answer, upstream, request.workClass, sink, progress);
        if (end == ReadStatus::Ended)
            return progress.result;
        if (end == ReadStatus::SinkClosed)
            return stop(upstream, request, incarnation);
    }
    return cancelAndResolve(upstream, request, std::move(progress), incarnation);
}

AttemptResult AttemptClient::stop(Upstream &upstream, const AttemptRequest &request,
                                  const std::string &incarnation)
{
    // Best effort: if this call is lost, the agent abandons the attempt once it has no reader.
    (void)m_control.cancelAttempt(upstream.member().control, request.id, incarnation,
                                  cancelTimeout);
    AttemptResult result;
    result.status = AttemptStatus::Stopped;
    result.detail = "the token sink stopped accepting tokens";
    return result;
}

AttemptResult AttemptClient::cancelAndResolve(Upstream &upstream, const AttemptRequest &request,
                                              Progress progress, const std::string &incarnation)
{
    const auto fate = m_control.cancelAttempt(upstream.member().control, request.id, incarnation,
                                              cancelTimeout);
    if (!fate.isError() && fate.value() == AttemptFate::NeverBegan)
        return notRun("the agent has cancelled the attempt before it began");
    if (fate.isError())
        upstream.noteUnavailable();
    progress.result.status = AttemptStatus::Lost;
    progress.result.detail = "the connection to the agent was lost";
    return progress.result;
}

} // namespace Radishplank
