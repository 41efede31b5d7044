#pragma once

#include <Batch/SmallJob.h>
#include <Store/Store.h>

#include <string>
#include <variant>
#include <vector>

namespace Radishplank {

/// A small job as the store has it.
struct LoadedJob
{
    SmallJob job;
    /// Version of the object that names the job's owner.
    Version version = noVersion;
    std::vector<ItemResult> results;
    std::size_t segments = 0;
    bool isEnded = false;
};

/// Names of the kinds of objects that a JobLog writes.
struct JobLogKinds
{
    std::string jobs = "radishplank-jobs/";
    std::string results = "radishplank-results/";
    std::string ends = "radishplank-job-ends/";
};

/// Small jobs in the store.
///
/// A job is one object. Its results are segments that are only ever created, numbered without a
/// gap: whoever else writes the next number first is found out by the conflict, so a result keeps
/// its position whoever believes to own the job. The end of a job is an object of its own.
/// A failure of kind Refused had no effect; one that is Unavailable or Timeout is in doubt.
template<ObjectStore Store, typename Pause>
class JobLog
{
public:
    JobLog(Store &store, Pause pause, Duration patience)
        : m_store(store)
        , m_pause(std::move(pause))
        , m_patience(patience)
    {
    }

    [[nodiscard]] Store &store() const { return m_store; }

    /// Makes the job exist; returns it as it is stored, which may be by an earlier submission.
    /// Conflict if the name belongs to a job with other items.
    Result<SmallJob> accept(const SmallJob &job)
    {
        auto written = decide(jobKey(job.id), serialize(job));
        if (!written.isError())
            return job;
        if (written.error().kind != ErrorKind::Conflict)
            return written.takeError();
        const auto object = TRY(m_store.get(jobKey(job.id)));
        auto existing = TRY(parseSmallJob(object.value));
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

    Result<LoadedJob> load(const std::string &id)
    {
        const auto object = TRY(m_store.get(jobKey(id)));
        LoadedJob loaded;
        loaded.job = TRY(parseSmallJob(object.value));
        loaded.version = object.version;
        while (loaded.results.size() < loaded.job.items.size()) {
            auto segment = getUnchanging(segmentKey(id, loaded.segments));
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
        // Nothing of a job with all results can be started any more, ended or not.
        if (loaded.results.size() >= loaded.job.items.size())
            return loaded;
        const auto end = m_store.get(m_kinds.ends + id);
        if (end.isError() && end.error().kind != ErrorKind::NotFound)
            return end.error();
        loaded.isEnded = !end.isError();
        return loaded;
    }

    /// Returns all jobs of the store with their versions, without results.
    Result<std::vector<LoadedJob>> listJobs()
    {
        const auto page = TRY(listAll(m_store, m_kinds.jobs, ListContent::KeysAndValues));
        std::vector<LoadedJob> jobs;
        for (const auto &object : page.objects) {
            auto job = parseSmallJob(object.value);
            if (job.isError()) {
                logStateChange("job-unreadable",
                               {{"key", object.key}, {"reason", job.error().message}});
                continue;
            }
            LoadedJob loaded;
            loaded.job = job.takeValue();
            loaded.version = object.version;
            jobs.push_back(std::move(loaded));
        }
        return jobs;
    }

    /// Makes results durable behind the given number of segments. Conflict means that another
    /// process has gone on with the job.
    Result<void> append(const std::string &id, std::size_t segments, const ResultSegment &segment)
    {
        const auto key = segmentKey(id, segments);
        const auto value = serialize(segment);
        const auto written = decide(key, value);
        if (!written.isError())
            return {};
        if (written.error().kind != ErrorKind::Conflict)
            return written.error();
        // An earlier call for this segment may have been given up before its write took effect.
        const auto current = TRY(m_store.get(key));
        if (current.value == value)
            return {};
        return written.error();
    }

    /// Ends the job, also if it has been ended before.
    Result<void> end(const std::string &id)
    {
        const auto written = decide(m_kinds.ends + id, "ended");
        if (written.isError() && written.error().kind != ErrorKind::Conflict)
            return written.error();
        return {};
    }

    /// Returns what keeps up with the ends of all jobs, whoever ends them.
    ObjectMirror<Store, Pause> mirrorEnds(MirrorPace pace, MirrorHandler handler) const
    {
        return {m_store, m_kinds.ends, pace, std::move(handler)};
    }

    /// Returns the name of the job that an object of mirrorEnds() is the end of.
    [[nodiscard]] std::string endedJobOf(const StoredObject &object) const
    {
        return object.key.substr(m_kinds.ends.size());
    }

    /// Makes a process the owner of a job in place of another; Conflict if the job has a third
    /// owner by now.
    Result<void> takeOver(const std::string &id, const NodeId &from, const NodeId &to)
    {
        const auto object = TRY(m_store.get(jobKey(id)));
        auto job = TRY(parseSmallJob(object.value));
        if (job.owner == to)
            return {};
        if (job.owner != from)
            return Error{ErrorKind::Conflict, "the job " + id + " belongs to " + job.owner.text()};
        job.owner = to;
        const auto patience = SteadyClock().now() + m_patience;
        (void)TRY(putDecided(m_store, jobKey(id), serialize(job), object.version, m_pause,
                             [patience] { return SteadyClock().now() < patience; }));
        return {};
    }

    /// Reads a job whose results so far are all that any earlier owner can add, this process before
    /// its restart included: behind them lies an empty segment of this process, if some are
    /// missing.
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

    /// Removes all that the store has of a job.
    Result<void> remove(const std::string &id, std::size_t segments)
    {
        for (std::size_t segment = 0; segment < segments; ++segment)
            TRY(removeIfThere(segmentKey(id, segment)));
        TRY(removeIfThere(m_kinds.ends + id));
        // Last, so that a removal that breaks off can be found and finished.
        return removeIfThere(jobKey(id));
    }

private:
    [[nodiscard]] std::string jobKey(const std::string &id) const { return m_kinds.jobs + id; }

    [[nodiscard]] std::string segmentKey(const std::string &id, std::size_t segment) const
    {
        return m_kinds.results + id + "." + std::to_string(segment);
    }

    /// Reads an object that is never changed: a copy of the store that has it has it as it is.
    Result<StoredObject> getUnchanging(const std::string &key)
    {
        if constexpr (ReadsCopies<Store>) {
            auto found = m_store.getFromCopy(key);
            if (!found.isError())
                return found;
        }
        return m_store.get(key);
    }

    Result<void> removeIfThere(const std::string &key)
    {
        const auto object = m_store.get(key);
        if (object.isError() && object.error().kind == ErrorKind::NotFound)
            return {};
        if (object.isError())
            return object.error();
        return m_store.remove(key, object.value().version);
    }

    Result<Version> decide(const std::string &key, const std::string &value)
    {
        const auto patience = SteadyClock().now() + m_patience;
        return putDecided(m_store, key, value, noVersion, m_pause,
                          [patience] { return SteadyClock().now() < patience; });
    }

    Store &m_store;
    Pause m_pause;
    const Duration m_patience;
    const JobLogKinds m_kinds;
};

} // namespace Radishplank
