#include "Jobs/BatchApi.h"

#include "Entry/ApiAnswer.h"

#include <charconv>

namespace Radishplank {

namespace {

constexpr std::string_view collectionPath = "/v1/batches";
constexpr std::string_view resultsSuffix = "/results";
constexpr std::int64_t defaultDueSeconds = 24LL * 3600;
constexpr std::int64_t maxDueSeconds = 30LL * 24 * 3600;

boost::json::object describe(const JobKey &job, const JobProgress &progress)
{
    const auto &manifest = progress.job.manifest;
    const auto items = manifest.itemCount();
    return {{"name", job.name.text()},
            {"state", jobStateName(manifest.state)},
            {"entry", manifest.entry.text()},
            {"digest", manifest.digest},
            {"items", items},
            {"completed", progress.done - progress.failed},
            {"failed", progress.failed},
            {"waiting", items - progress.done},
            {"shards", manifest.shardItems.size()},
            {"shardsHeld", progress.shardsHeld},
            {"dueAt", manifest.dueAt},
            {"acceptedAt", manifest.acceptedAt}};
}

Result<std::int64_t> parseDue(const std::string &text)
{
    if (text.empty())
        return defaultDueSeconds;
    std::int64_t seconds = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || seconds < 0 || seconds > maxDueSeconds)
        return Error{ErrorKind::InvalidInput,
                     "due: must be whole seconds from now, at most 30 days"};
    return seconds;
}

} // namespace

BatchApi::BatchApi(EntryContext &context, BatchScheduler &scheduler, Milliseconds uploadTime)
    : m_context(context)
    , m_scheduler(scheduler)
    , m_jobs(context.store, FiberPause{}, callerStoreRetryTimeout)
    , m_uploads(context.store, FiberPause{}, callerStoreRetryTimeout)
    , m_uploadTime(uploadTime)
{
}

void BatchApi::handle(HttpExchange &exchange, const OwnerId &owner, const HttpTarget &target)
{
    const auto &method = exchange.request().method;
    if (target.path == collectionPath && method == "GET") {
        list(exchange, owner);
        return;
    }
    if (!target.path.starts_with(std::string(collectionPath) + "/")) {
        respondError(exchange, 404, Outcome::NotRun, "not_found", "no such path or method");
        return;
    }
    auto name = target.path.substr(collectionPath.size() + 1);
    const bool wantsResults = name.ends_with(resultsSuffix);
    if (wantsResults)
        name.resize(name.size() - resultsSuffix.size());
    name = percentDecode(name);
    const auto checked = checkJobName(name);
    if (checked.isError()) {
        respondError(exchange, checked.error());
        return;
    }
    const JobKey job{owner, JobName(name)};
    if (wantsResults && method == "GET")
        sendResults(exchange, job);
    else if (!wantsResults && method == "PUT")
        submit(exchange, job, target);
    else if (!wantsResults && method == "GET")
        showStatus(exchange, job);
    else if (!wantsResults && method == "DELETE")
        cancel(exchange, job);
    else
        respondError(exchange, 405, Outcome::NotRun, "wrong_method", "no such method here");
}

void BatchApi::submit(HttpExchange &exchange, const JobKey &job, const HttpTarget &target)
{
    const auto existing = m_jobs.manifest(job);
    if (existing.isError() && existing.error().kind != ErrorKind::NotFound) {
        respondError(exchange, existing.error());
        return;
    }
    const bool isNew = existing.isError();
    auto manifest = isNew ? newManifest(job, target) : existing.value().manifest;
    if (manifest.isError()) {
        respondError(exchange, manifest.error());
        return;
    }
    const auto accepted = isNew ? acceptNew(exchange, job, manifest.takeValue())
                                : compareWithExisting(exchange, job, manifest.value());
    if (accepted.isError()) {
        respondError(exchange, accepted.error());
        return;
    }
    const auto &result = accepted.value();
    respondJson(exchange, isNew ? 201 : 200,
                boost::json::object{{"name", job.name.text()},
                                    {"state", jobStateName(result.state)},
                                    {"digest", result.digest},
                                    {"items", result.itemCount()}});
}

Result<JobManifest> BatchApi::acceptNew(HttpExchange &exchange, const JobKey &job,
                                        JobManifest manifest)
{
    const auto upload = TRY(m_uploads.begin(job, manifest, unixMilliseconds()));
    const auto read = readJob(exchange, job, std::move(manifest), PartHandling::Store);
    if (read.isError()) {
        (void)m_uploads.discard(upload);
        return read.error();
    }
    auto accepted = m_jobs.accept(job, read.value());
    // If the outcome is unknown, keep the upload record; the upload sweep checks whether the job
    // exists.
    if (!accepted.isError() && accepted.value().upload == upload.id)
        (void)m_uploads.end(upload);
    else if (!accepted.isError() || accepted.error().kind == ErrorKind::Conflict)
        (void)m_uploads.discard(upload);
    return accepted;
}

Result<JobManifest> BatchApi::compareWithExisting(HttpExchange &exchange, const JobKey &job,
                                                  const JobManifest &existing)
{
    const auto read = TRY(readJob(exchange, job, existing, PartHandling::Discard));
    auto accepted = TRY(FiberJobStore::requireSameDigest(existing, read.digest));
    TRY(m_jobs.ensureIndexed(job, accepted));
    return accepted;
}

Result<JobManifest> BatchApi::newManifest(const JobKey &job, const HttpTarget &target)
{
    JobManifest manifest;
    manifest.entry = EntryName(target.parameter("entry"));
    const auto entry = m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        return catalogue.entry(job.owner, manifest.entry);
    });
    if (!entry) {
        return Error{ErrorKind::NotFound, "entry: the catalogue has no such entry '"
                                                  + manifest.entry.text() + "' for this caller"};
    }
    if (!entry->accepts(WorkClass::Batch))
        return Error{ErrorKind::InvalidInput, "entry: takes online work only"};
    const auto dueSeconds = TRY(parseDue(target.parameter("due")));
    manifest.acceptedAt = unixMilliseconds();
    manifest.dueAt = manifest.acceptedAt + dueSeconds * 1000;
    manifest.upload = makeUniqueId("upload");
    return manifest;
}

Result<JobManifest> BatchApi::readJob(HttpExchange &exchange, const JobKey &job,
                                      JobManifest manifest, PartHandling handling)
{
    const auto deadline = SteadyClock().now() + m_uploadTime;
    ItemSplitter splitter{SplitLimits()};
    manifest.shardItems.clear();
    while (true) {
        const auto piece = TRY(exchange.readBodyChunk());
        if (piece.empty())
            break;
        if (SteadyClock().now() > deadline)
            return Error{ErrorKind::Timeout, "the upload takes too long"};
        const auto parts = TRY(splitter.addChunk(piece));
        TRY(storeParts(job, manifest, parts, handling));
    }
    const auto parts = TRY(splitter.finish());
    TRY(storeParts(job, manifest, parts, handling));
    manifest.digest = splitter.digest();
    return manifest;
}

Result<void> BatchApi::storeParts(const JobKey &job, JobManifest &manifest,
                                  const std::vector<ItemSplitter::UploadPart> &parts,
                                  PartHandling handling)
{
    for (const auto &part : parts) {
        if (handling == PartHandling::Store)
            TRY(m_jobs.writePart(job, manifest, manifest.shardItems.size(), part.lines));
        manifest.shardItems.push_back(part.items);
    }
    return {};
}

void BatchApi::showStatus(HttpExchange &exchange, const JobKey &job)
{
    const auto progress = m_jobs.progress(job);
    if (progress.isError()) {
        respondError(exchange, progress.error());
        return;
    }
    // Repair a job whose submission was interrupted between writing the manifest and the index.
    if (progress.value().job.manifest.state == JobState::Accepted)
        (void)m_jobs.ensureIndexed(job, progress.value().job.manifest);
    respondJson(exchange, 200, describe(job, progress.value()));
}

void BatchApi::sendResults(HttpExchange &exchange, const JobKey &job)
{
    const auto stored = m_jobs.manifest(job);
    if (stored.isError()) {
        respondError(exchange, stored.error());
        return;
    }
    const auto shards = m_jobs.readShards(job, stored.value().manifest);
    if (shards.isError()) {
        respondError(exchange, shards.error());
        return;
    }
    if (exchange.beginStream(200, {{"Content-Type", "application/jsonl"}}).isError())
        return;
    for (const auto &shard : shards.value()) {
        if (!shard)
            continue;
        for (const auto &segment : shard->progress.segments) {
            const auto lines = m_context.store.get(segment);
            // Abandon the stream without its end, so that the caller sees that it is incomplete.
            if (lines.isError() || exchange.writeStream(lines.value().value).isError()) {
                exchange.abandon();
                return;
            }
        }
    }
    (void)exchange.endStream();
}

void BatchApi::cancel(HttpExchange &exchange, const JobKey &job)
{
    auto state = m_jobs.beginCancel(job);
    if (state.isError()) {
        respondError(exchange, state.error());
        return;
    }
    if (state.value() == JobState::Cancelling) {
        m_scheduler.dropJob(job);
        // The cancellation is durable: if finishing it fails here, another process finishes it.
        if (!m_jobs.finishCancel(job).isError())
            state = JobState::Cancelled;
    }
    const unsigned status = state.value() == JobState::Cancelling ? 202 : 200;
    respondJson(
            exchange, status,
            boost::json::object{{"name", job.name.text()}, {"state", jobStateName(state.value())}});
}

void BatchApi::list(HttpExchange &exchange, const OwnerId &owner)
{
    const auto listing = listAll(m_context.store, std::string(activeJobPrefix) + owner.text() + "/",
                                 ListContent::KeysAndValues);
    if (listing.isError()) {
        respondError(exchange, listing.error());
        return;
    }
    boost::json::array jobs;
    for (const auto &object : listing.value().objects) {
        const auto job = JobKey::fromActiveKey(object.key);
        const auto fields = parseJsonObject(object.value);
        if (job.isError() || fields.isError())
            continue;
        jobs.push_back(boost::json::object{{"name", job.value().name.text()},
                                           {"dueAt", integerField(fields.value(), "dueAt", 0)}});
    }
    respondJson(exchange, 200, boost::json::object{{"active", std::move(jobs)}});
}

} // namespace Radishplank
