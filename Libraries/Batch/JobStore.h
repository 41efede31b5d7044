#pragma once

#include <Batch/JobObjects.h>

#include <optional>
#include <string_view>
#include <unordered_map>

namespace Radishplank {

/// A job's manifest and its version in the store.
struct StoredManifest
{
    JobManifest manifest;
    Version version = noVersion;
};

struct JobProgress
{
    StoredManifest job;
    std::size_t done = 0;
    std::size_t failed = 0;
    std::size_t shardsHeld = 0;
};

/// Persists sharded jobs: acceptance, status, cancellation and completion.
template<ObjectStore Store, typename Pause>
class JobStore
{
public:
    JobStore(Store &store, Pause pause, Duration retryTimeout)
        : m_store(store)
        , m_pause(std::move(pause))
        , m_retryTimeout(retryTimeout)
    {
    }

    Result<StoredManifest> manifest(const JobKey &job)
    {
        const auto object = TRY(m_store.get(job.manifestKey()));
        return StoredManifest{TRY(parseManifest(object.value)), object.version};
    }

    Result<void> writePart(const JobKey &job, const JobManifest &manifest, std::size_t shard,
                           const std::string &lines)
    {
        TRY(writeConfirmed(manifest.partKey(job, shard), lines, noVersion));
        return {};
    }

    /// Creates the job by writing its manifest. Idempotent for the same content; other content
    /// under the same name is a Conflict that names both digests.
    Result<JobManifest> accept(const JobKey &job, const JobManifest &manifest)
    {
        const auto written = writeConfirmed(job.manifestKey(), serialize(manifest), noVersion);
        if (written.isError()) {
            if (written.error().kind != ErrorKind::Conflict)
                return written.error();
            const auto existing = TRY(this->manifest(job));
            TRY(requireSameDigest(existing.manifest, manifest.digest));
            TRY(ensureIndexed(job, existing.manifest));
            return existing.manifest;
        }
        // The submitter has no response yet. If this fails, its retry finds the manifest and
        // reaches ensureIndexed() above.
        TRY(ensureIndexed(job, manifest));
        return manifest;
    }

    /// Adds the job to the index of active jobs, where processes look for work, unless it has
    /// ended.
    Result<void> ensureIndexed(const JobKey &job, const JobManifest &manifest)
    {
        if (hasEnded(manifest.state))
            return {};
        // Read first: every status request comes here, and the store's write capacity is lower
        // than its read capacity.
        const auto known = m_store.get(job.activeKey());
        if (!known.isError())
            return {};
        if (known.error().kind != ErrorKind::NotFound)
            return known.error();
        const auto indexed
                = writeConfirmed(job.activeKey(), serializeActiveJob(manifest), noVersion);
        if (indexed.isError() && indexed.error().kind != ErrorKind::Conflict)
            return indexed.error();
        return {};
    }

    /// Returns the existing job if a submission under its name has the same content digest, else a
    /// Conflict.
    static Result<JobManifest> requireSameDigest(const JobManifest &existing,
                                                 const std::string &digest)
    {
        if (existing.digest == digest)
            return existing;
        return Error{ErrorKind::Conflict, "this name belongs to a job with digest "
                                                  + existing.digest
                                                  + "; the content sent has digest " + digest};
    }

    Result<JobProgress> progress(const JobKey &job)
    {
        JobProgress result;
        result.job = TRY(manifest(job));
        const auto shards = TRY(readShards(job, result.job.manifest));
        for (const auto &shard : shards) {
            if (!shard)
                continue;
            result.done += shard->progress.done.count();
            result.failed += shard->progress.failed;
            result.shardsHeld += shard->progress.holder.empty() ? 0 : 1;
        }
        return result;
    }

    struct StoredShard
    {
        ShardProgress progress;
        Version version = noVersion;
    };

    /// Reads the progress of every shard; nullopt for a shard that was never claimed.
    Result<std::vector<std::optional<StoredShard>>> readShards(const JobKey &job,
                                                               const JobManifest &manifest)
    {
        std::vector<std::optional<StoredShard>> shards(manifest.shardItems.size());
        const auto listing = TRY(listAll(m_store, job.shardPrefix(), ListContent::KeysAndValues));
        std::unordered_map<std::string_view, const StoredObject *> byKey;
        for (const auto &object : listing.objects)
            byKey[object.key] = &object;
        for (std::size_t shard = 0; shard < shards.size(); ++shard) {
            const auto found = byKey.find(job.shardKey(shard));
            if (found == byKey.end())
                continue;
            const auto &object = *found->second;
            shards[shard] = StoredShard{
                    TRY(parseProgress(object.value, manifest.shardItems[shard])), object.version};
        }
        return shards;
    }

    /// Persists the cancellation, upon which shard holders stop. NotFound if there is no such job.
    Result<JobState> beginCancel(const JobKey &job)
    {
        const auto before = TRY(changeState(job, JobState::Cancelling, [](JobState state) {
            return state == JobState::Accepted;
        }));
        if (before != JobState::Accepted)
            return before;
        markCancelledInIndex(job);
        return JobState::Cancelling;
    }

    /// Closes every shard of a job that is being cancelled, so that no outcome can be added.
    Result<void> finishCancel(const JobKey &job)
    {
        auto current = TRY(manifest(job));
        for (std::size_t shard = 0; shard < current.manifest.shardItems.size(); ++shard)
            TRY(closeShard(job, current.manifest, shard));
        return finish(job, JobState::Cancelled);
    }

    /// Marks an accepted job as completed if all shards are complete; returns whether they are.
    Result<bool> completeIfDone(const JobKey &job)
    {
        const auto current = TRY(manifest(job));
        const auto shards = TRY(readShards(job, current.manifest));
        for (const auto &shard : shards) {
            if (!shard || !shard->progress.isComplete())
                return false;
        }
        TRY(finish(job, JobState::Completed));
        return true;
    }

    static std::string serializeActiveJob(const JobManifest &manifest)
    {
        return boost::json::serialize(
                boost::json::object{{"dueAt", manifest.dueAt},
                                    {"cancelled", manifest.state != JobState::Accepted},
                                    {"writer", makeUniqueId("writer")}});
    }

    /// Removes the index object of a job that has ended.
    Result<void> removeFromIndex(const JobKey &job)
    {
        const auto indexed = m_store.get(job.activeKey());
        if (indexed.isError())
            return indexed.error().kind == ErrorKind::NotFound ? Result<void>() : indexed.error();
        auto removed = m_store.remove(job.activeKey(), indexed.value().version);
        if (removed.isError() && removed.error().kind != ErrorKind::NotFound)
            return removed.takeError();
        return {};
    }

private:
    Result<Version> writeConfirmed(std::string_view key, const std::string &value, Version expected)
    {
        const auto deadline = SteadyClock().now() + m_retryTimeout;
        return putConfirmed(m_store, key, value, expected, m_pause,
                            [deadline] { return SteadyClock().now() < deadline; });
    }

    /// Best-effort hint to the shard holders, which otherwise notice at their next write.
    void markCancelledInIndex(const JobKey &job)
    {
        const auto indexed = m_store.get(job.activeKey());
        if (indexed.isError())
            return;
        JobManifest cancelled;
        cancelled.state = JobState::Cancelling;
        (void)m_store.put(job.activeKey(), serializeActiveJob(cancelled), indexed.value().version);
    }

    Result<void> closeShard(const JobKey &job, const JobManifest &manifest, std::size_t shard)
    {
        while (true) {
            ShardProgress progress;
            progress.done = ItemSet(manifest.shardItems[shard]);
            progress.started = ItemSet(manifest.shardItems[shard]);
            Version version = noVersion;
            auto object = m_store.get(job.shardKey(shard));
            if (!object.isError()) {
                progress = TRY(parseProgress(object.value().value, manifest.shardItems[shard]));
                version = object.value().version;
            } else if (object.error().kind != ErrorKind::NotFound) {
                return object.takeError();
            }
            if (progress.isClosed)
                return {};
            progress.isClosed = true;
            progress.holder.clear();
            const auto written = writeConfirmed(job.shardKey(shard), serialize(progress), version);
            if (!written.isError())
                return {};
            if (written.error().kind != ErrorKind::Conflict)
                return written.error();
        }
    }

    Result<void> finish(const JobKey &job, JobState state)
    {
        TRY(changeState(job, state, [](JobState before) { return !hasEnded(before); }));
        return removeFromIndex(job);
    }

    /// Sets the state of a job if mayChange() allows it; returns the previous state.
    template<typename MayChange>
    Result<JobState> changeState(const JobKey &job, JobState state, MayChange &&mayChange)
    {
        while (true) {
            auto current = TRY(manifest(job));
            const auto before = current.manifest.state;
            if (!mayChange(before))
                return before;
            current.manifest.state = state;
            const auto written = writeConfirmed(job.manifestKey(), serialize(current.manifest),
                                                current.version);
            if (!written.isError())
                return before;
            if (written.error().kind != ErrorKind::Conflict)
                return written.error();
        }
    }

    static bool hasEnded(JobState state)
    {
        return state == JobState::Cancelled || state == JobState::Completed;
    }

    Store &m_store;
    Pause m_pause;
    Duration m_retryTimeout;
};

} // namespace Radishplank
