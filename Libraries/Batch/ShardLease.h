#pragma once

#include <Batch/JobObjects.h>

#include <span>
#include <utility>

namespace Radishplank {

/// A held shard: the only way to add outcomes to it.
///
/// An outcome counts once a segment that contains it is referenced by the shard's progress, which
/// is written by conditional update. A holder that has lost its lease finds the version changed,
/// so what it still ran does not count, and no item completes twice.
template<ObjectStore Store>
class ShardLease
{
public:
    /// Claims a shard that nobody holds, or whose lease has lapsed. Conflict: another was faster.
    template<typename Pause, typename MayGoOn>
    static Result<ShardLease> claim(Store &store, const JobKey &job, std::size_t shard,
                                    std::size_t items, const std::string &holder, Pause &&pause,
                                    MayGoOn &&mayGoOn)
    {
        ShardLease lease(store, job, shard);
        auto current = store.get(lease.m_key);
        if (current.isError()) {
            if (current.error().kind != ErrorKind::NotFound)
                return current.takeError();
            lease.m_progress.done = ItemSet(items);
            lease.m_progress.started = ItemSet(items);
        } else {
            lease.m_progress = TRY(parseProgress(current.value().value, items));
            lease.m_version = current.value().version;
        }
        if (lease.m_progress.isClosed || lease.m_progress.isComplete())
            return Error{ErrorKind::Conflict, "the shard takes no more outcomes"};
        lease.m_progress.holder = holder;
        lease.m_progress.fencing += 1;
        TRY(lease.writeProgress(pause, mayGoOn));
        return lease;
    }

    [[nodiscard]] const ShardProgress &progress() const { return m_progress; }
    [[nodiscard]] const JobKey &job() const { return m_job; }
    [[nodiscard]] std::size_t shard() const { return m_shard; }

    /// Outcomes that become durable together.
    struct Group
    {
        /// One line of JSON for each outcome.
        std::string lines;
        std::vector<std::size_t> items;
        std::size_t failed = 0;
    };

    /// Makes the outcomes durable. Conflict: the lease is lost and none of them counts.
    template<typename Pause, typename MayGoOn>
    Result<void> commit(const Group &group, Pause &&pause, MayGoOn &&mayGoOn)
    {
        auto next = m_progress;
        if (!group.items.empty()) {
            // The fencing number keeps apart segments of two holders that think they hold it.
            // A number is never used twice: an earlier write of it may still be under way.
            const auto segment = m_job.segmentKey(m_shard, m_progress.fencing, m_nextSegment++);
            TRY(putDecided(m_store, segment, group.lines, noVersion, pause, mayGoOn));
            next.segments.push_back(segment);
            next.failed += group.failed;
            for (const auto item : group.items)
                next.done.insert(item);
        }
        if (next.isComplete())
            next.holder.clear();
        return replaceProgress(std::move(next), pause, mayGoOn);
    }

    /// Finds out what has become of the shard after a write failed or was given up in doubt.
    ///
    /// If this lease still holds, it takes over what the store has, which may include the group
    /// of the failed write: the caller must leave out of its next group what is done. Conflict:
    /// the lease is lost. Any other error: it is not known yet.
    Result<void> recover()
    {
        const auto object = m_store.get(m_key);
        if (object.isError())
            return object.error();
        auto current = TRY(parseProgress(object.value().value, m_progress.done.size()));
        const bool isOwn = current.fencing == m_progress.fencing
                           && (current.holder == m_progress.holder || current.isComplete());
        const bool isHeld = isOwn && !current.isClosed;
        if (!isHeld)
            return Error{ErrorKind::Conflict, "the lease on " + m_key + " is lost"};
        m_progress = std::move(current);
        m_version = object.value().version;
        return {};
    }

    /// Makes it durable that the items are about to be handed out.
    template<typename Pause, typename MayGoOn>
    Result<void> markStarted(std::span<const std::size_t> items, Pause &&pause, MayGoOn &&mayGoOn)
    {
        auto next = m_progress;
        for (const auto item : items)
            next.started.insert(item);
        return replaceProgress(std::move(next), pause, mayGoOn);
    }

    /// Hands the shard back, so that another process can go on at once.
    template<typename Pause, typename MayGoOn>
    Result<void> release(Pause &&pause, MayGoOn &&mayGoOn)
    {
        auto next = m_progress;
        next.holder.clear();
        return replaceProgress(std::move(next), pause, mayGoOn);
    }

private:
    ShardLease(Store &store, JobKey job, std::size_t shard)
        : m_store(store)
        , m_job(std::move(job))
        , m_shard(shard)
        , m_key(m_job.shardKey(shard))
    {
    }

    template<typename Pause, typename MayGoOn>
    Result<void> replaceProgress(ShardProgress next, Pause &&pause, MayGoOn &&mayGoOn)
    {
        auto previous = std::exchange(m_progress, std::move(next));
        auto written = writeProgress(pause, mayGoOn);
        if (written.isError())
            m_progress = std::move(previous);
        return written;
    }

    template<typename Pause, typename MayGoOn>
    Result<void> writeProgress(Pause &&pause, MayGoOn &&mayGoOn)
    {
        m_version
                = TRY(putDecided(m_store, m_key, serialize(m_progress), m_version, pause, mayGoOn));
        return {};
    }

    Store &m_store;
    JobKey m_job;
    std::size_t m_shard;
    std::string m_key;
    ShardProgress m_progress;
    Version m_version = noVersion;
    std::size_t m_nextSegment = 0;
};

} // namespace Radishplank
