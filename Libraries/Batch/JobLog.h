#pragma once

#include <Batch/SmallJob.h>
#include <Store/Store.h>

#include <string>
#include <variant>
#include <vector>

namespace Radishplank {

/// A small job as read from the store.
struct LoadedJob
{
    SmallJob job;
    /// Version of the job object, which names the owner.
    Version version = noVersion;
    std::vector<ItemResult> results;
    std::size_t segments = 0;
    bool isEnded = false;
};

/// A stored job and the process that it names as its owner.
struct JobOwner
{
    std::string id;
    NodeId owner;
};

/// Key prefixes of the objects that a JobLog writes.
struct JobLogPrefixes
{
    std::string jobs = "radishplank-jobs/";
    std::string results = "radishplank-results/";
    std::string ends = "radishplank-job-ends/";
};

/// Persists small jobs and their results in the object store.
///
/// A job is one object. Its results form an append-only log of segments, numbered without gaps.
/// Segments are only ever created, so two processes that both believe they own the job conflict on
/// the next number, and a result never changes its position. A separate object marks the end of a
/// job. A call that fails with Refused had no effect; after Unavailable or Timeout the outcome is
/// unknown.
template<ObjectStore Store, typename Pause>
class JobLog
{
public:
    JobLog(Store &store, Pause pause, Duration retryTimeout)
        : m_store(store)
        , m_pause(std::move(pause))
        , m_retryTimeout(retryTimeout)
    {
    }

    [[nodiscard]] Store &store() const { return m_store; }

    /// Converts the error of a read that followed a write: that the store refused the read does not
    /// mean that the write had no effect.
    static Error asUnknownOutcome(Error error)
    {
        if (error.kind == ErrorKind::Refused)
            error.kind = ErrorKind::Unavailable;
        return error;
    }

    /// Creates the job and returns it as stored; an earlier submission of the same items wins.
    /// Conflict if a job with the same id has other items. Refused only if the job is not stored.
    Result<SmallJob> accept(const SmallJob &job)
    {
        auto written = createConfirmed(jobKey(job.id), serialize(job));
        if (!written.isError())
            return job;
        if (written.error().kind != ErrorKind::Conflict)
            return written.takeError();
        const auto object = m_store.get(jobKey(job.id));
        if (object.isError())
            return asUnknownOutcome(object.error());
        auto existing = TRY(parseSmallJob(object.value().value));
        if (!existing.hasSameItems(job)) {
            return Error{ErrorKind::Conflict, "the job " + job.id + " exists with other items"};
        }
        return existing;
    }

    Result<bool> exists(const std::string &id)
    {
        const auto object = m_store.get(jobKey(id));
        if (object.isError() && object.error().kind != ErrorKind::NotFound)
            return object.error();
        return !object.isError();
    }

    /// Returns the process that the store names as the owner of a job.
    Result<NodeId> ownerOf(const std::string &id)
    {
        const auto object = TRY(m_store.get(jobKey(id)));
        return TRY(parseSmallJob(object.value)).owner;
    }

    Result<LoadedJob> load(const std::string &id)
    {
        const auto object = TRY(m_store.get(jobKey(id)));
        LoadedJob loaded;
        loaded.job = TRY(parseSmallJob(object.value));
        loaded.version = object.version;
        while (loaded.results.size() < loaded.job.items.size()) {
            auto segment = getImmutable(segmentKey(id, loaded.segments));
            if (segment.isError()) {
                if (segment.error().kind == ErrorKind::NotFound)
                    break;
                return segment.takeError();
            }
            auto parsed = TRY(parseResultSegment(segment.value().value));
            for (auto &result : parsed.results)
                loaded.results.push_back(std::move(result));
            loaded.segments += 1;
        }
        // A job with all results has nothing left to run, so its end marker does not matter.
        if (loaded.results.size() >= loaded.job.items.size())
            return loaded;
        const auto end = m_store.get(m_prefixes.ends + id);
        if (end.isError() && end.error().kind != ErrorKind::NotFound)
            return end.error();
        loaded.isEnded = !end.isError();
        return loaded;
    }

    /// Returns the owners of all stored jobs. The jobs themselves, of all processes together, may
    /// take more memory than this one has, so they are not held.
    Result<std::vector<JobOwner>> listOwners()
    {
        std::vector<JobOwner> owners;
        const auto note = [&](const StoredObject &object) {
            auto job = parseSmallJob(object.value);
            if (job.isError()) {
                logStateChange("job-unreadable",
                               {{"key", object.key}, {"reason", job.error().message}});
                return;
            }
            owners.push_back({std::move(job.value().id), std::move(job.value().owner)});
        };
        (void)TRY(visitAll(m_store, m_prefixes.jobs, ListContent::KeysAndValues, note));
        return owners;
    }

    /// Appends a segment after the first `segments` ones. Conflict: another process has written
    /// this segment and continues the job.
    Result<void> append(const std::string &id, std::size_t segments, const ResultSegment &segment)
    {
        const auto key = segmentKey(id, segments);
        const auto value = serialize(segment);
        const auto written = createConfirmed(key, value);
        if (!written.isError())
            return {};
        if (written.error().kind != ErrorKind::Conflict)
            return written.error();
        // The conflict may come from an earlier call for the same segment that timed out here
        // before its write took effect.
        const auto current = TRY(m_store.get(key));
        if (current.value == value)
            return {};
        return written.error();
    }

    /// Marks the job as ended; idempotent.
    Result<void> end(const std::string &id)
    {
        const auto written = createConfirmed(m_prefixes.ends + id, "ended");
        if (written.isError() && written.error().kind != ErrorKind::Conflict)
            return written.error();
        return {};
    }

    /// Returns a mirror of the end markers of all jobs, whichever process writes them.
    ObjectMirror<Store, Pause> mirrorEnds(MirrorIntervals pace, MirrorCallbacks handler) const
    {
        return {m_store, m_prefixes.ends, pace, std::move(handler)};
    }

    /// Returns the id of the job that an end marker from mirrorEnds() belongs to.
    [[nodiscard]] std::string endedJobOf(const StoredObject &object) const
    {
        return object.key.substr(m_prefixes.ends.size());
    }

    /// Transfers the ownership of a job from one process to another. Conflict if a third process
    /// owns the job by now.
    Result<void> takeOver(const std::string &id, const NodeId &from, const NodeId &to)
    {
        const auto object = TRY(m_store.get(jobKey(id)));
        auto job = TRY(parseSmallJob(object.value));
        if (job.owner == to)
            return {};
        if (job.owner != from)
            return Error{ErrorKind::Conflict, "the job " + id + " belongs to " + job.owner.text()};
        job.owner = to;
        const auto deadline = SteadyClock().now() + m_retryTimeout;
        (void)TRY(putConfirmed(m_store, jobKey(id), serialize(job), object.version, m_pause,
                               [deadline] { return SteadyClock().now() < deadline; }));
        return {};
    }

    /// Loads a job and fences off its earlier owners, including this process before a restart: if
    /// results are missing, it appends an empty segment, so that a delayed append of an earlier
    /// owner conflicts.
    Result<LoadedJob> loadFenced(const std::string &id, const std::string &writer)
    {
        while (true) {
            auto loaded = TRY(load(id));
            if (loaded.isEnded || loaded.results.size() >= loaded.job.items.size())
                return loaded;
            const auto fenced = append(id, loaded.segments, {writer, {}});
            if (fenced.isError() && fenced.error().kind != ErrorKind::Conflict)
                return fenced.error();
            if (fenced.isError())
                continue;
            loaded.segments += 1;
            return loaded;
        }
    }

    /// Removes all objects of a job.
    Result<void> remove(const std::string &id, std::size_t segments)
    {
        for (std::size_t segment = 0; segment < segments; ++segment)
            TRY(removeIfPresent(segmentKey(id, segment)));
        TRY(removeIfPresent(m_prefixes.ends + id));
        // The job object goes last, so that an interrupted removal can be found and finished.
        return removeIfPresent(jobKey(id));
    }

private:
    [[nodiscard]] std::string jobKey(const std::string &id) const { return m_prefixes.jobs + id; }

    [[nodiscard]] std::string segmentKey(const std::string &id, std::size_t segment) const
    {
        return m_prefixes.results + id + "." + std::to_string(segment);
    }

    /// Reads an immutable object; a stale replica either has its final value or lacks it.
    Result<StoredObject> getImmutable(const std::string &key)
    {
        if constexpr (SupportsReplicaReads<Store>) {
            auto found = m_store.getFromReplica(key);
            if (!found.isError())
                return found;
        }
        return m_store.get(key);
    }

    Result<void> removeIfPresent(const std::string &key)
    {
        const auto object = m_store.get(key);
        if (object.isError() && object.error().kind == ErrorKind::NotFound)
            return {};
        if (object.isError())
            return object.error();
        return m_store.remove(key, object.value().version);
    }

    Result<Version> createConfirmed(const std::string &key, const std::string &value)
    {
        const auto deadline = SteadyClock().now() + m_retryTimeout;
        return putConfirmed(m_store, key, value, noVersion, m_pause,
                            [deadline] { return SteadyClock().now() < deadline; });
    }

    Store &m_store;
    Pause m_pause;
    const Duration m_retryTimeout;
    const JobLogPrefixes m_prefixes;
};

} // namespace Radishplank
