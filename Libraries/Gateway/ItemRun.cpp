#include <Gateway/ItemRun.h>

#include <Gateway/AnswerHead.h>
#include <Gateway/HeaderRules.h>
#include <Gateway/StreamProgress.h>

namespace Radishplank {

namespace {

constexpr Milliseconds connectTimeout{500};
/// A working upstream sends far more often: six events a second at a fifth of its usual speed.
constexpr Milliseconds idleTimeout{2'000};
/// The host of a dead process refuses connections at once.
constexpr Milliseconds crashCheckTimeout{100};
constexpr std::size_t maxAnswerBytes = std::size_t{8} * 1024 * 1024;

HttpRequest itemRequest(const UpstreamInfo &upstream, const CallHeaderNames &dialect,
                        const SmallJob &job, const JobItem &item, const ItemProgress &progress)
{
    HttpRequest request{"POST", item.path, {}, item.body};
    std::vector<std::string_view> omitted{dialect.attemptId, dialect.expectedUpstream,
                                          dialect.resumeAfter, "Host"};
    if (!job.organisation.empty()) {
        omitted.push_back(dialect.owner);
        omitted.push_back(dialect.credentials);
    }
    request.headers = endToEndHeaders(item.headers, omitted);
    request.headers.add("Host", job.host);
    if (!job.organisation.empty())
        request.headers.add(dialect.owner, job.organisation);
    request.headers.add(dialect.attemptId, item.id);
    request.headers.add(dialect.expectedUpstream, upstream.id.text());
    if (progress.lastEvent)
        request.headers.add(dialect.resumeAfter, std::to_string(*progress.lastEvent));
    return request;
}

/// Appends an event to the output; returns false if the event leaves a gap after the last one.
bool addEvent(const StreamEvent &event, ItemProgress &progress)
{
    if (!event.id)
        return true;
    if (progress.lastEvent && *event.id <= *progress.lastEvent)
        return true;
    if (progress.lastEvent && *event.id != *progress.lastEvent + 1)
        return false;
    if (progress.lastEvent)
        progress.output += '\n';
    progress.output += event.data;
    progress.lastEvent = event.id;
    return true;
}

enum class StreamEnd { Complete, Broken, TooLarge };

/// Calls `onAnswering` with the time of the first event when the upstream goes on after it, or when
/// the answer is complete.
template<typename Callback>
StreamEnd readEvents(UpstreamTable::Reservation &place, HttpResponseStream &answer,
                     ItemProgress &progress, std::size_t maxOutputBytes, Callback onAnswering)
{
    EventFramer framer;
    std::optional<TimePoint> beganAt;
    StreamProgress streamProgress(progress.lastEvent, SteadyClock().now());
    while (true) {
        place.noteReading();
        const auto chunk = answer.readChunk();
        if (chunk.isError())
            return StreamEnd::Broken;
        const auto now = SteadyClock().now();
        if (chunk.value().empty()) {
            const bool hasContent = progress.lastEvent.has_value();
            if (framer.isInsideEvent() || !hasContent)
                return StreamEnd::Broken;
            onAnswering(beganAt.value_or(now));
            return StreamEnd::Complete;
        }
        const auto events = framer.feed(chunk.value());
        place.noteEvents(events.size());
        for (const auto &event : events) {
            if (beganAt)
                onAnswering(*beganAt);
            beganAt = beganAt.value_or(now);
            if (!addEvent(event, progress))
                return StreamEnd::Broken;
        }
        if (progress.output.size() > maxOutputBytes) {
            progress = {};
            return StreamEnd::TooLarge;
        }
        streamProgress.note(chunk.value().size(), progress.lastEvent, now);
        if (streamProgress.isStalled(idleTimeout, now))
            return StreamEnd::Broken;
    }
}

ItemRunEnd runEndForStatus(unsigned status)
{
    constexpr unsigned unprocessable = 422;
    if (status == unprocessable)
        return ItemRunEnd::Impossible;
    return status == 500 ? ItemRunEnd::Failed : ItemRunEnd::Interrupted;
}

template<typename Callback>
ItemRunEnd runOnce(UpstreamTable::Reservation &place, const CallHeaderNames &dialect,
                   const SmallJob &job, const JobItem &item, ItemProgress &progress,
                   ItemRunControl &control, std::size_t maxOutputBytes, Callback onAnswering)
{
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.readTimeout = idleTimeout;
    options.bodyBytes = maxAnswerBytes;
    options.cancellation = &control.cancellation;
    options.match = {dialect.attemptId, item.id};
    const auto &upstream = place.upstream();
    auto opened = HttpClient::open(upstream.endpoint,
                                   itemRequest(upstream, dialect, job, item, progress), options);
    if (const auto *failure = std::get_if<HttpCallError>(&opened)) {
        const bool isRequestFault = failure->error.kind == ErrorKind::InvalidInput;
        if (!control.cancellation.isCancelled() && !isRequestFault)
            place.reportHealth(UpstreamHealth::Failed);
        return failure->progress == CallProgress::NotSent ? ItemRunEnd::NotRun
                                                          : ItemRunEnd::Interrupted;
    }
    auto &answer = *std::get<std::unique_ptr<HttpResponseStream>>(opened);
    if (noteAnswerHead(place, answer, dialect, item.id))
        return ItemRunEnd::NotRun;
    if (answer.status() != 200) {
        answer.skipBody();
        return runEndForStatus(answer.status());
    }
    const bool isWhole = !progress.lastEvent;
    const auto end = readEvents(place, answer, progress, maxOutputBytes, onAnswering);
    if (end == StreamEnd::Complete && isWhole)
        (void)place.noteCompleted();
    if (end == StreamEnd::Complete)
        place.reportHealth(UpstreamHealth::Healthy);
    else if (!control.cancellation.isCancelled())
        place.reportHealth(UpstreamHealth::Failed);
    switch (end) {
    case StreamEnd::Complete:
        return ItemRunEnd::Completed;
    case StreamEnd::Broken:
        return ItemRunEnd::Interrupted;
    case StreamEnd::TooLarge:
        return ItemRunEnd::Failed;
    }
    return ItemRunEnd::Interrupted;
}

} // namespace

ItemRunEnd runItem(UpstreamTable::Reservation &place, const CallHeaderNames &dialect,
                   const SmallJob &job, const JobItem &item, ItemProgress &progress,
                   ItemRunControl &control, CrashingPartDetector &crashingParts,
                   std::size_t maxOutputBytes)
{
    const auto parts = sharedPromptParts(item.headers.value(dialect.promptParts));
    bool isAnswering = false;
    const auto onAnswering = [&](TimePoint beganAt) {
        if (!isAnswering)
            crashingParts.noteAnswering(parts, beganAt, SteadyClock().now());
        isAnswering = true;
    };
    const auto end
            = runOnce(place, dialect, job, item, progress, control, maxOutputBytes, onAnswering);
    if (end != ItemRunEnd::Completed && control.isPreempted)
        return ItemRunEnd::Preempted;
    if (end == ItemRunEnd::Interrupted && !isAnswering && !parts.empty()
        && !control.cancellation.isCancelled()) {
        const auto at = SteadyClock().now();
        if (HttpClient::checkPeer(place.upstream().endpoint, crashCheckTimeout)
            == PeerState::Refusing)
            crashingParts.noteCrash(parts, place.upstream(), at, CallSource::Item);
    }
    return end;
}

} // namespace Radishplank
