#pragma once

#include <Batch/JobObjects.h>

#include <optional>
#include <string_view>
#include <unordered_map>

namespace Radishplank {

/// A job's manifest and the version it was read at.
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

/// Jobs in the store: acceptance, status, cancellation and completion.
template<ObjectStore Store, typename Pause>
class JobStore
{
public:
    JobStore(Store &store, Pause pause, Duration patience)
        : m_store(store)
        , m_pause(std::move(pause))
        , m_patience(patience)
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
        TRY(decide(manifest.partKey(job, shard), lines, noVersion));
        return {};
    }

    /// Makes the job exist. The same content under the same name is the same job; other content
    /// is a Conflict that names both digests.
    Result<JobManifest> accept(const JobKey &job, const JobManifest &manifest)
    {
        const auto written = decide(job.manifestKey(), serialize(manifest), noVersion);
        if (written.isError()) {
            if (written.error().kind != ErrorKind::Conflict)
                return written.error();
            const auto existing = TRY(this->manifest(job));
            TRY(sameOrConflict(existing.manifest, manifest.digest));
            TRY(ensureIndexed(job, existing.manifest));
            return existing.manifest;
        }
        // Nobody has been told of the job yet. If this fails, the submitter sends it again, finds
        // the manifest and comes back here.
        TRY(ensureIndexed(job, manifest));
        return manifest;
    }

    /// Makes sure that processes looking for work find the job, unless it has ended.
    Result<void> ensureIndexed(const JobKey &job, const JobManifest &manifest)
    {
        if (hasEnded(manifest.state))
            return {};
        // Read first: this is asked with each status, and the store takes fewer writes than reads.
        const auto known = m_store.get(job.activeKey());
        if (!known.isError())
            return {};
        if (known.error().kind != ErrorKind::NotFound)
            return known.error();
        const auto indexed = decide(job.activeKey(), activeObject(manifest), noVersion);
        if (indexed.isError() && indexed.error().kind != ErrorKind::Conflict)
            return indexed.error();
        return {};
    }

    /// Compares a job that exists with one that is submitted under its name.
    static Result<JobManifest> sameOrConflict(const JobManifest &existing,
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

    /// Reads the progress of every shard; nothing for a shard that was never claimed.
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

    /// Makes the cancellation durable; from then on holders stop. NotFound if there is no job.
    Result<JobState> beginCancel(const JobKey &job)
    {
        const auto before = TRY(changeState(job, JobState::Cancelling, [](JobState state) {
            return state == JobState::Accepted;
        }));
        if (before != JobState::Accepted)
            return before;
        noteCancelInIndex(job);
        return JobState::Cancelling;
    }

    /// Closes every shard of a job that is being cancelled; afterwards no outcome is added.
    Result<void> finishCancel(const JobKey &job)
    {
        auto current = TRY(manifest(job));
        for (std::size_t shard = 0; shard < current.manifest.shardItems.size(); ++shard)
            TRY(closeShard(job, current.manifest, shard));
        return finish(job, JobState::Cancelled);
    }

    /// Marks an accepted job as completed if every shard is; returns whether it is.
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

    static std::string activeObject(const JobManifest &manifest)
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
    Result<Version> decide(std::string_view key, const std::string &value, Version expected)
    {
        const auto giveUpAt = SteadyClock().now() + m_patience;
        return putDecided(m_store, key, value, expected, m_pause,
                          [giveUpAt] { return SteadyClock().now() < giveUpAt; });
    }

    /// A hint to the holders, who would else find out with their next write.
    void noteCancelInIndex(const JobKey &job)
    {
        const auto indexed = m_store.get(job.activeKey());
        if (indexed.isError())
            return;
        JobManifest cancelled;
        cancelled.state = JobState::Cancelling;
        (void)m_store.put(job.activeKey(), activeObject(cancelled), indexed.value().version);
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
            const auto written = decide(job.shardKey(shard), serialize(progress), version);
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

    /// Changes the state of a job, unless the one it has may not be changed; returns that one.
    template<typename MayChange>
    Result<JobState> changeState(const JobKey &job, JobState state, MayChange &&mayChange)
    {
        while (true) {
            auto current = TRY(manifest(job));
            const auto before = current.manifest.state;
            if (!mayChange(before))
                return before;
            current.manifest.state = state;
            const auto written
                    = decide(job.manifestKey(), serialize(current.manifest), current.version);
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
    Duration m_patience;
};

} // namespace Radishplank
