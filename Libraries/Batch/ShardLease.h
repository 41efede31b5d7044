#pragma once

#include <Batch/JobObjects.h>

#include <span>
#include <utility>

namespace Radishplank {

/// The lease on a shard; outcomes can be added only through it.
///
/// An outcome counts once the shard's progress references the segment that contains it. The
/// progress is written by conditional update, so the writes of a holder that has lost its lease
/// fail with a version conflict: its late outcomes do not count, and no item completes twice.
template<ObjectStore Store>
class ShardLease
{
public:
    /// Claims a shard that no process holds, or whose lease has expired. Conflict: another process
    /// claimed it first, or the shard is closed or complete.
    template<typename Pause, typename ShouldRetry>
    static Result<ShardLease> claim(Store &store, const JobKey &job, std::size_t shard,
                                    std::size_t items, const std::string &holder, Pause &&pause,
                                    ShouldRetry &&shouldRetry)
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
        TRY(lease.writeProgress(pause, shouldRetry));
        return lease;
    }

    [[nodiscard]] const ShardProgress &progress() const { return m_progress; }
    [[nodiscard]] const JobKey &job() const { return m_job; }
    [[nodiscard]] std::size_t shard() const { return m_shard; }

    /// Outcomes that are committed atomically.
    struct OutcomeBatch
    {
        /// Outcomes as JSON Lines.
        std::string lines;
        std::vector<std::size_t> items;
        std::size_t failed = 0;
    };

    /// Commits the outcomes durably. Conflict: the lease is lost and none of them counts.
    template<typename Pause, typename ShouldRetry>
    Result<void> commit(const OutcomeBatch &batch, Pause &&pause, ShouldRetry &&shouldRetry)
    {
        auto next = m_progress;
        if (!batch.items.empty()) {
            // The fencing token keeps the segments of two processes apart that both believe they
            // hold the lease. A segment number is never reused, because an earlier write of it
            // may still be in flight.
            const auto segment = m_job.segmentKey(m_shard, m_progress.fencing, m_nextSegment++);
            TRY(putConfirmed(m_store, segment, batch.lines, noVersion, pause, shouldRetry));
            next.segments.push_back(segment);
            next.failed += batch.failed;
            for (const auto item : batch.items)
                next.done.insert(item);
        }
        if (next.isComplete())
            next.holder.clear();
        return replaceProgress(std::move(next), pause, shouldRetry);
    }

    /// Reloads the progress after a write failed or had an unknown outcome.
    ///
    /// If the lease is still held, the progress becomes what the store has, which may include the
    /// batch of the failed write: the caller must leave completed items out of its next batch.
    /// Conflict: the lease is lost. After any other error the state is still unknown.
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

    /// Persists that the items are about to be sent, before they are.
    template<typename Pause, typename ShouldRetry>
    Result<void> markStarted(std::span<const std::size_t> items, Pause &&pause,
                             ShouldRetry &&shouldRetry)
    {
        auto next = m_progress;
        for (const auto item : items)
            next.started.insert(item);
        return replaceProgress(std::move(next), pause, shouldRetry);
    }

    /// Releases the lease, so that another process can continue at once.
    template<typename Pause, typename ShouldRetry>
    Result<void> release(Pause &&pause, ShouldRetry &&shouldRetry)
    {
        auto next = m_progress;
        next.holder.clear();
        return replaceProgress(std::move(next), pause, shouldRetry);
    }

private:
    ShardLease(Store &store, JobKey job, std::size_t shard)
        : m_store(store)
        , m_job(std::move(job))
        , m_shard(shard)
        , m_key(m_job.shardKey(shard))
    {
    }

    template<typename Pause, typename ShouldRetry>
    Result<void> replaceProgress(ShardProgress next, Pause &&pause, ShouldRetry &&shouldRetry)
    {
        auto previous = std::exchange(m_progress, std::move(next));
        auto written = writeProgress(pause, shouldRetry);
        if (written.isError())
            m_progress = std::move(previous);
        return written;
    }

    template<typename Pause, typename ShouldRetry>
    Result<void> writeProgress(Pause &&pause, ShouldRetry &&shouldRetry)
    {
        m_version = TRY(
                putConfirmed(m_store, m_key, serialize(m_progress), m_version, pause, shouldRetry));
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
