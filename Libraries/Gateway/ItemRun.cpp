#include <Gateway/ItemRun.h>

#include <Gateway/HeaderRules.h>
#include <Gateway/StreamProgress.h>

namespace Radishplank {

namespace {

constexpr Milliseconds connectTimeout{500};
/// Longest silence of an upstream that works; five times slower than usual it sends six a second.
constexpr Milliseconds silenceLimit{2'000};
constexpr std::size_t maxAnswerBytes = std::size_t{8} * 1024 * 1024;

HttpRequest itemRequest(const UpstreamInfo &upstream, const CallHeaderNames &dialect,
                        const std::string &host, const JobItem &item, const ItemProgress &progress)
{
    HttpRequest request{"POST", item.path, {}, item.body};
    request.headers = endToEndHeaders(item.headers, {dialect.attemptId, dialect.expectedUpstream,
                                                     dialect.resumeAfter, "Host"});
    request.headers.add("Host", host);
    request.headers.add(dialect.attemptId, item.id);
    request.headers.add(dialect.expectedUpstream, upstream.id.text());
    if (progress.lastEvent)
        request.headers.add(dialect.resumeAfter, std::to_string(*progress.lastEvent));
    return request;
}

/// Adds an event to the output; false if it does not follow the last one.
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

enum class EventsEnd { Whole, Broken };

EventsEnd readEvents(HttpAnswer &answer, ItemProgress &progress)
{
    EventFramer framer;
    StreamProgress streamProgress(progress.lastEvent, SteadyClock().now());
    while (true) {
        const auto piece = answer.readPiece();
        if (piece.isError())
            return EventsEnd::Broken;
        if (piece.value().empty())
            return framer.partial().empty() ? EventsEnd::Whole : EventsEnd::Broken;
        for (const auto &event : framer.feed(piece.value())) {
            if (!addEvent(event, progress))
                return EventsEnd::Broken;
        }
        const auto now = SteadyClock().now();
        streamProgress.note(piece.value().size(), progress.lastEvent, now);
        if (streamProgress.isStalled(silenceLimit, now))
            return EventsEnd::Broken;
    }
}

ItemRunEnd endOf(unsigned status)
{
    constexpr unsigned unprocessable = 422;
    if (status == unprocessable)
        return ItemRunEnd::Impossible;
    return status == 500 ? ItemRunEnd::Failed : ItemRunEnd::Interrupted;
}

ItemRunEnd runOnce(UpstreamTable::Reservation &place, const CallHeaderNames &dialect,
                   const std::string &host, const JobItem &item, ItemProgress &progress,
                   ItemStop &stop)
{
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.readTimeout = silenceLimit;
    options.bodyBytes = maxAnswerBytes;
    options.cancellation = &stop.cancellation;
    options.match = {dialect.attemptId, item.id};
    const auto &upstream = place.upstream();
    auto opened = HttpClient::open(upstream.endpoint,
                                   itemRequest(upstream, dialect, host, item, progress), options);
    if (const auto *failure = std::get_if<HttpCallError>(&opened)) {
        if (!stop.cancellation.isCancelled())
            place.reportHealth(UpstreamHealth::Failed);
        return failure->progress == CallProgress::NotSent ? ItemRunEnd::NotRun
                                                          : ItemRunEnd::Interrupted;
    }
    auto &answer = *std::get<std::unique_ptr<HttpAnswer>>(opened);
    if (answer.headers().find(dialect.upstreamLeaving))
        place.noteLeaving();
    constexpr unsigned misdirected = 421;
    if (answer.status() == misdirected || answer.headers().find(dialect.notExecuted)) {
        if (answer.status() == misdirected)
            place.reportHealth(UpstreamHealth::Failed);
        (void)answer.readBody();
        return ItemRunEnd::NotRun;
    }
    if (answer.status() != 200) {
        (void)answer.readBody();
        return endOf(answer.status());
    }
    const auto end = readEvents(answer, progress);
    if (end == EventsEnd::Whole)
        place.reportHealth(UpstreamHealth::Healthy);
    else if (!stop.cancellation.isCancelled())
        place.reportHealth(UpstreamHealth::Failed);
    return end == EventsEnd::Whole ? ItemRunEnd::Completed : ItemRunEnd::Interrupted;
}

} // namespace

ItemRunEnd runItem(UpstreamTable::Reservation &place, const CallHeaderNames &dialect,
                   const std::string &host, const JobItem &item, ItemProgress &progress,
                   ItemStop &stop)
{
    const auto end = runOnce(place, dialect, host, item, progress, stop);
    if (end != ItemRunEnd::Completed && stop.isPreempted)
        return ItemRunEnd::Preempted;
    return end;
}

} // namespace Radishplank
