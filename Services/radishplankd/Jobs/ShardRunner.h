#pragma once

#include "Jobs/BatchScheduler.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>

namespace Radishplank {

/// Runs the items of one claimed shard and commits their outcomes in groups.
class ShardRunner : public std::enable_shared_from_this<ShardRunner>
{
public:
    ShardRunner(EntryContext &context, BatchScheduler &scheduler, FiberShardLease lease,
                JobManifest manifest, Milliseconds leaseDuration);

    /// Runs items until the shard is complete, lost, dropped or released.
    void run();
    /// Stops without committing, because the job is cancelled or the lease is lost.
    void drop();
    /// Starts no more items, lets those in flight end, commits and releases the lease.
    void requestRelease();

    [[nodiscard]] const JobKey &job() const { return m_lease.job(); }
    [[nodiscard]] std::size_t shard() const { return m_lease.shard(); }
    /// Returns the pool whose upstreams run the items; call only while items wait.
    [[nodiscard]] const std::string &pool() const { return m_entry->pool; }
    /// Returns whether items are waiting to be dispatched.
    [[nodiscard]] bool hasWaitingItems() const { return m_waitingCount > 0; }
    [[nodiscard]] bool isComplete() const { return m_isComplete; }

private:
    enum class Command { Run, Release, Drop };
    struct Item
    {
        std::size_t number = 0;
        std::string id;
        CallSpec spec;
        /// Number of runs that ended because the upstream or its agent was lost.
        unsigned upstreamLosses = 0;
        /// Earliest time of the next run after such a loss.
        TimePoint notBefore{};
        /// Text of the tokens received so far; a resumed attempt skips them.
        std::string text;
        std::uint64_t tokens = 0;
        /// Upstreams that were lost while running this item.
        std::vector<UpstreamId> avoided;
    };
    using ItemPointer = std::shared_ptr<Item>;

    bool loadItems();
    Result<void> parseItem(std::size_t number, std::string_view line);
    void dispatchItems();
    bool dispatchNext();
    /// Returns the first waiting item whose backoff has ended; null if there is none.
    ItemPointer nextItem(TimePoint now);
    [[nodiscard]] BatchReach reachOf(const Item &item, TimePoint now) const;
    bool markStarted(const Item &item);
    void runItem(const ItemPointer &item, const UpstreamPointer &upstream);
    AttemptResult attemptItem(Item &item, Upstream &upstream);
    void handleAttemptResult(const ItemPointer &item, const AttemptResult &result);
    void requeue(const ItemPointer &item);
    void complete(const Item &item, std::string_view status, const boost::json::value &detail);
    void commitLoop();
    bool commitDue(TimePoint now);
    Result<void> commit();
    void releaseLease();

    EntryContext &m_context;
    BatchScheduler &m_scheduler;
    FiberShardLease m_lease;
    JobManifest m_manifest;
    std::shared_ptr<const Entry> m_entry;
    std::atomic<Command> m_command{Command::Run};
    std::atomic<bool> m_isComplete{false};
    std::atomic<std::size_t> m_waitingCount{0};
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_itemEnded;
    /// Serializes writes to the lease: groups of outcomes and started marks.
    boost::fibers::mutex m_leaseMutex;
    std::deque<ItemPointer> m_waiting;
    std::size_t m_inFlight = 0;
    FiberShardLease::OutcomeBatch m_pendingOutcomes;
    TimePoint m_committedAt;
    Milliseconds m_commitInterval;
    Milliseconds m_maxCommitInterval;
    std::size_t m_itemsLeft = 0;
};

} // namespace Radishplank
