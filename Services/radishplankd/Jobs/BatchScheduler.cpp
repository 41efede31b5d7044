#include "Jobs/BatchScheduler.h"

#include "Jobs/ShardRunner.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr Milliseconds claimInterval{100};
constexpr Milliseconds jobWatchWait{10'000};
constexpr Milliseconds storeRetryInterval{500};
constexpr Milliseconds unclaimableJobBackoff{2'000};
constexpr Milliseconds storeRetryTimeout{3'000};
constexpr std::size_t maxShardsHeld = 8;
/// Jobs due within the same interval of this length are ordered by fairness between owners.
constexpr std::int64_t dueBucketMilliseconds = 15LL * 60 * 1000;

} // namespace

BatchScheduler::BatchScheduler(EntryContext &context, Milliseconds lease)
    : m_context(context)
    , m_jobs(context.store, FiberPause{}, storeRetryTimeout)
    , m_lease(lease)
    , m_observer(lease)
{
}

BatchScheduler::~BatchScheduler() = default;

void BatchScheduler::start()
{
    m_context.threads.spawn([this] { watchJobs(); });
    m_context.threads.spawn([this] { claimLoop(); });
}

void BatchScheduler::dropJob(const JobKey &job)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &shard : m_shards) {
        if (shard->job() == job)
            shard->drop();
    }
}

void BatchScheduler::beginDrain()
{
    m_isDraining = true;
    const std::scoped_lock lock(m_mutex);
    for (const auto &shard : m_shards)
        shard->requestRelease();
}

std::size_t BatchScheduler::shardsHeld()
{
    const std::scoped_lock lock(m_mutex);
    return m_shards.size();
}

std::set<std::string> BatchScheduler::waitingPools()
{
    const std::scoped_lock lock(m_mutex);
    std::set<std::string> pools;
    for (const auto &shard : m_shards) {
        if (shard->hasWaitingItems())
            pools.insert(shard->pool());
    }
    return pools;
}

bool BatchScheduler::admitItem(const OwnerId &owner)
{
    const auto share = itemShare(owner);
    const std::scoped_lock lock(m_mutex);
    auto &load = m_owners[owner];
    if (share && load.inFlight >= static_cast<std::size_t>(*share))
        return false;
    load.inFlight += 1;
    return true;
}

std::optional<std::int64_t> BatchScheduler::itemShare(const OwnerId &owner) const
{
    return m_context.configuration.read(
            [&](const CatalogueSnapshot &catalogue) -> std::optional<std::int64_t> {
                const auto known = catalogue.owner(owner);
                if (known == nullptr || known->limits.concurrentItems == 0)
                    return {};
                return concurrencyShare(known->limits.concurrentItems, owner.text(),
                                        catalogue.nodeIds(), m_context.node);
            });
}

void BatchScheduler::releaseItem(const OwnerId &owner, bool isCompleted)
{
    const std::scoped_lock lock(m_mutex);
    auto &load = m_owners[owner];
    load.inFlight -= 1;
    load.completed += isCompleted ? 1 : 0;
}

void BatchScheduler::watchJobs()
{
    Version revision = noVersion;
    bool hasListed = false;
    while (true) {
        if (!hasListed) {
            const auto listed = listJobs();
            hasListed = !listed.isError();
            revision = hasListed ? listed.value() : revision;
        } else {
            const auto batch = m_context.store.watch(activeJobPrefix, revision, jobWatchWait);
            hasListed = !batch.isError();
            if (hasListed) {
                for (const auto &change : batch.value().changes)
                    applyChange(change);
                revision = batch.value().revision;
            }
        }
        if (!hasListed)
            boost::this_fiber::sleep_for(storeRetryInterval);
    }
}

Result<Version> BatchScheduler::listJobs()
{
    const auto listing = TRY(listAll(m_context.store, activeJobPrefix, ListContent::KeysAndValues));
    {
        const std::scoped_lock lock(m_mutex);
        m_activeJobs.clear();
    }
    for (const auto &object : listing.objects)
        applyChange({object, false});
    return listing.revision;
}

void BatchScheduler::applyChange(const ObjectChange &change)
{
    const auto job = JobKey::fromActiveKey(change.object.key);
    if (job.isError())
        return;
    bool isCancelled = false;
    {
        const std::scoped_lock lock(m_mutex);
        if (change.isRemoval) {
            m_activeJobs.erase(job.value());
            return;
        }
        const auto fields = parseJsonObject(change.object.value);
        if (fields.isError())
            return;
        auto &active = m_activeJobs[job.value()];
        active.dueAt = integerField(fields.value(), "dueAt", 0);
        const auto *cancelled = fields.value().if_contains("cancelled");
        active.isCancelled = cancelled != nullptr && cancelled->is_bool() && cancelled->as_bool();
        isCancelled = active.isCancelled;
    }
    if (isCancelled)
        dropJob(job.value());
}

void BatchScheduler::claimLoop()
{
    while (!m_isDraining) {
        boost::this_fiber::sleep_for(claimInterval);
        releaseShardsWithoutShare();
        if (!mayClaimShard())
            continue;
        for (const auto &job : jobsByPriority()) {
            if (claimFrom(job))
                break;
        }
    }
}

bool BatchScheduler::hasItemShare(const OwnerId &owner) const
{
    return itemShare(owner) != 0;
}

void BatchScheduler::releaseShardsWithoutShare()
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &shard : m_shards) {
        // Release the shard to a process that has a share of the limit.
        if (!hasItemShare(shard->job().owner))
            shard->requestRelease();
    }
}

bool BatchScheduler::mayClaimShard()
{
    const std::scoped_lock lock(m_mutex);
    if (m_shards.size() >= maxShardsHeld)
        return false;
    // One shard with waiting items is enough to fill every window; a second one only delays its
    // outcomes.
    return std::none_of(m_shards.begin(), m_shards.end(),
                        [](const auto &shard) { return shard->hasWaitingItems(); });
}

std::vector<JobKey> BatchScheduler::jobsByPriority()
{
    struct Ranked
    {
        std::int64_t dueBucket;
        double served;
        std::int64_t dueAt;
        JobKey job;
    };
    std::vector<Ranked> ranked;
    const auto now = SteadyClock().now();
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[job, active] : m_activeJobs) {
            if (now < active.notBefore)
                continue;
            const auto completed = static_cast<double>(m_owners[job.owner].completed);
            ranked.push_back({active.dueAt / dueBucketMilliseconds, completed, active.dueAt, job});
        }
    }
    m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        for (auto &each : ranked) {
            if (const auto owner = catalogue.owner(each.job.owner))
                each.served /= owner->weight;
        }
    });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return std::tie(left.dueBucket, left.served, left.dueAt, left.job)
               < std::tie(right.dueBucket, right.served, right.dueAt, right.job);
    });
    std::vector<JobKey> jobs;
    for (auto &each : ranked)
        jobs.push_back(std::move(each.job));
    return jobs;
}

bool BatchScheduler::claimFrom(const JobKey &job)
{
    const auto stored = m_jobs.manifest(job);
    if (stored.isError()) {
        postpone(job, unclaimableJobBackoff);
        return false;
    }
    const auto &manifest = stored.value().manifest;
    if (manifest.state == JobState::Cancelling) {
        finishCancelled(job);
        return false;
    }
    if (manifest.state != JobState::Accepted) {
        (void)m_jobs.removeFromIndex(job);
        postpone(job, unclaimableJobBackoff);
        return false;
    }
    const auto shards = m_jobs.readShards(job, manifest);
    if (shards.isError() || !hasItemShare(job.owner)
        || !isRankedForJob(job, manifest.shardItems.size())) {
        postpone(job, unclaimableJobBackoff);
        return false;
    }
    const auto count = shards.value().size();
    const auto first = randomBelow(threadRandomEngine(), count);
    bool isComplete = true;
    const auto now = SteadyClock().now();
    for (std::size_t i = 0; i < count; ++i) {
        // Start at a random shard, so that processes do not race for the same one.
        const auto shard = (first + i) % count;
        const auto &known = shards.value()[shard];
        const bool isDone = known && known->progress.isComplete();
        isComplete = isComplete && isDone;
        if (isDone)
            continue;
        const bool isHeld = known && !known->progress.holder.empty()
                            && !m_observer.hasExpired(job.shardKey(shard), known->version, now);
        if (!isHeld && claimShard(job, manifest, shard))
            return true;
    }
    if (isComplete)
        (void)m_jobs.completeIfDone(job);
    postpone(job, unclaimableJobBackoff);
    return false;
}

bool BatchScheduler::claimShard(const JobKey &job, const JobManifest &manifest, std::size_t shard)
{
    const auto deadline = SteadyClock().now() + storeRetryTimeout;
    auto lease = FiberShardLease::claim(m_context.store, job, shard, manifest.shardItems[shard],
                                        m_context.node.text(), FiberPause{},
                                        [deadline] { return SteadyClock().now() < deadline; });
    if (lease.isError())
        return false;
    m_context.metrics.shardsClaimed.increase();
    m_observer.forget(job.shardKey(shard));
    const auto runner
            = std::make_shared<ShardRunner>(m_context, *this, lease.takeValue(), manifest, m_lease);
    {
        const std::scoped_lock lock(m_mutex);
        m_shards.insert(runner);
    }
    if (m_isDraining)
        runner->requestRelease();
    m_context.threads.spawn([this, runner] { runShard(runner); });
    return true;
}

void BatchScheduler::runShard(const std::shared_ptr<ShardRunner> &shard)
{
    shard->run();
    {
        const std::scoped_lock lock(m_mutex);
        m_shards.erase(shard);
    }
    if (shard->isComplete())
        (void)m_jobs.completeIfDone(shard->job());
}

void BatchScheduler::finishCancelled(const JobKey &job)
{
    dropJob(job);
    if (m_jobs.finishCancel(job).isError())
        postpone(job, unclaimableJobBackoff);
}

bool BatchScheduler::isRankedForJob(const JobKey &job, std::size_t shards) const
{
    // A few processes per shard suffice to run a job. If every process polled every job, the number
    // of store calls would grow with the fleet.
    constexpr std::size_t processesPerShard = 2;
    constexpr std::size_t spareProcesses = 4;
    const auto share = itemShare(job.owner);
    return m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        // If the limit is smaller than the fleet, few processes have a share anyway.
        const bool isLimitSmall = share && *share <= 1;
        if (isLimitSmall)
            return true;
        const auto rank = catalogue.nodeRank(m_context.node, job.prefix());
        return rank < shards * processesPerShard + spareProcesses;
    });
}

void BatchScheduler::postpone(const JobKey &job, Milliseconds wait)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_activeJobs.find(job);
    if (found != m_activeJobs.end())
        found->second.notBefore = SteadyClock().now() + wait;
}

boost::json::object BatchScheduler::state()
{
    const std::scoped_lock lock(m_mutex);
    boost::json::array shards;
    for (const auto &shard : m_shards)
        shards.push_back(boost::json::object{{"owner", shard->job().owner.text()},
                                             {"job", shard->job().name.text()},
                                             {"shard", shard->shard()},
                                             {"hasWaitingItems", shard->hasWaitingItems()}});
    boost::json::array owners;
    for (const auto &[owner, load] : m_owners)
        owners.push_back(
                boost::json::object{{"owner", owner.text()}, {"itemsInFlight", load.inFlight}});
    return {{"activeJobs", m_activeJobs.size()},
            {"shards", std::move(shards)},
            {"owners", std::move(owners)}};
}

} // namespace Radishplank
