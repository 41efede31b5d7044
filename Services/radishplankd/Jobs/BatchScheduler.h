#pragma once

#include "Common/FiberPause.h"
#include "Entry/CallRunner.h"

#include <map>
#include <set>

namespace Radishplank {

class ShardRunner;

/// Finds jobs with unfinished items, claims their shards and runs them on idle slots.
class BatchScheduler
{
public:
    BatchScheduler(EntryContext &context, Milliseconds lease);
    ~BatchScheduler();

    void start();
    /// Stops all shards of a cancelled job that this process runs.
    void dropJob(const JobKey &job);
    /// Stops claiming shards and releases those held once their items in flight have ended.
    void beginDrain();
    [[nodiscard]] std::size_t shardsHeld();
    /// Returns the pools of shards held here that have waiting items.
    [[nodiscard]] std::set<std::string> waitingPools();
    [[nodiscard]] boost::json::object state();

    /// Counts one more item of the owner as running here; returns false if its limit is reached.
    bool admitItem(const OwnerId &owner);
    void releaseItem(const OwnerId &owner, bool isCompleted);

private:
    struct ActiveJob
    {
        std::int64_t dueAt = 0;
        bool isCancelled = false;
        /// No claim is attempted before this time.
        TimePoint notBefore{};
    };
    struct OwnerLoad
    {
        std::size_t inFlight = 0;
        std::uint64_t completed = 0;
    };

    void watchJobs();
    Result<Version> listJobs();
    void applyChange(const ObjectChange &change);
    void claimLoop();
    bool mayClaimShard();
    std::vector<JobKey> jobsByPriority();
    bool claimFrom(const JobKey &job);
    bool claimShard(const JobKey &job, const JobManifest &manifest, std::size_t shard);
    void finishCancelled(const JobKey &job);
    /// Returns this process's share of the owner's limit on concurrent items, if there is a limit.
    [[nodiscard]] std::optional<std::int64_t> itemShare(const OwnerId &owner) const;
    /// Returns whether this process's share allows any item of the owner.
    [[nodiscard]] bool hasItemShare(const OwnerId &owner) const;
    void releaseShardsWithoutShare();
    [[nodiscard]] bool isRankedForJob(const JobKey &job, std::size_t shards) const;
    void postpone(const JobKey &job, Milliseconds wait);
    void runShard(const std::shared_ptr<ShardRunner> &shard);

    EntryContext &m_context;
    FiberJobStore m_jobs;
    std::atomic<bool> m_isDraining{false};
    std::mutex m_mutex;
    std::map<JobKey, ActiveJob> m_activeJobs;
    std::map<OwnerId, OwnerLoad> m_owners;
    std::set<std::shared_ptr<ShardRunner>> m_shards;
    Milliseconds m_lease;
    LeaseObserver m_observer;
};

} // namespace Radishplank
