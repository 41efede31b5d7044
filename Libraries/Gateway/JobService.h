#pragma once

#include <Batch/Batch.h>
#include <Gateway/ClaimCoordinator.h>
#include <Gateway/GatewayMetrics.h>
#include <Gateway/ItemRun.h>
#include <Gateway/PeerLink.h>
#include <Gateway/RouteTable.h>
#include <Gateway/UnconfirmedOwners.h>
#include <Gateway/WorkHeaders.h>

#include <algorithm>
#include <atomic>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <cmath>
#include <deque>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Radishplank {

/// Dependencies and settings of a JobService.
struct JobServiceContext
{
    FiberThreads &threads;
    const RouteDirectory &routes;
    UpstreamTable &upstreams;
    PeerTable &peers;
    PeerLink &link;
    CallHeaderNames dialect;
    NodeId self;
    GatewayMetrics &metrics;
    CrashingPartDetector &crashingParts;
    /// How long a job stays readable after its submission.
    Milliseconds retention{600'000};
    /// Time after the start by which every live peer has sent a report.
    Milliseconds peerDiscoveryTime{4'000};
    /// Size limit of an object in the store.
    std::size_t maxObjectBytes = std::size_t{1024} * 1024;
};

/// Results of a job, starting at a given position.
struct JobPage
{
    std::size_t total = 0;
    std::vector<ItemResult> results;
};

/// Runs the small jobs that this process owns, and takes over the jobs of failed processes.
///
/// Everything runs on thread 0; the methods suspend the calling fiber. Results are returned to
/// callers only once they are durable.
template<ObjectStore Store, typename Pause, JobOwnerProbe Probe>
class JobService
{
public:
    JobService(JobServiceContext context, JobLog<Store, Pause> log, Probe ownerProbe = {})
        : m_context(std::move(context))
        , m_log(std::move(log))
        , m_ownerProbe(std::move(ownerProbe))
        , m_unconfirmedOwners(m_context.peers)
        , m_endsMirror(makeEndsMirror())
        , m_claims(m_log.store(), Pause(), m_context.self,
                   [this](const std::string &limit) { return useOf(limit); })
    {
    }

    void start()
    {
        m_context.link.describeJobs = [this](PeerReport &report) { describeJobs(report); };
        m_context.link.describeWaiting = [this](PeerReport &report) {
            for (const auto &[service, items] : waitingByService()) {
                report.waiting.push_back({serviceHash(service),
                                          static_cast<std::uint32_t>(items.inTime),
                                          static_cast<std::uint32_t>(items.late)});
            }
        };
        m_context.link.onReport = [this](const PeerReport &report, bool becameReachable) {
            handleReport(report, becameReachable);
        };
        m_context.threads.spawnOn(0, [this] { dispatchLoop(); });
        m_context.threads.spawnOn(0, [this] { recoveryLoop(); });
        m_context.threads.spawnOn(0, [this] { claimLoop(); });
        m_context.threads.spawnOn(0, [this] { m_endsMirror.run(); });
    }

    /// Stops accepting jobs and starting items; running items continue.
    void beginDrain() { m_isDraining = true; }
    [[nodiscard]] std::size_t runningItems() const { return m_runningItems; }
    /// Returns whether no item is running and no result is waiting to be written to the store.
    [[nodiscard]] bool isIdle() const { return m_runningItems == 0 && m_writers == 0; }

    /// Stores a job durably, and makes sure that a process runs it. Conflict: the name belongs to
    /// another job. Refused: the job does not run. TooLarge or InvalidInput: the store will never
    /// take the job. LimitReached: the job does not run because it would exceed its route's limit
    /// on waiting tokens. Unavailable or Timeout: the job may have been accepted.
    Result<void> submit(SmallJob job)
    {
        if (const auto active = find(job.id)) {
            if (active->stored.job.hasSameItems(job))
                return {};
            return Error{ErrorKind::Conflict, "the job " + job.id + " exists with other items"};
        }
        if (m_isDraining)
            return Error{ErrorKind::Refused, "this process is about to stop"};
        if (m_queue.waiting() + job.items.size() > maxWaitingItems)
            return Error{ErrorKind::Refused, "too many items are waiting"};
        job.owner = m_context.self;
        const auto limit = limitOf(job);
        auto written = acceptWithinLimit(job, limit);
        if (written.isError()) {
            // The write may still take effect and make this process the owner of the job.
            if (isOutcomeUnknown(written.error()))
                m_uncertainSubmissions[job.id]
                        = {SteadyClock().now() + uncertainWriteTimeout, limit, job.tokens()};
            return written.takeError();
        }
        auto accepted = written.takeValue();
        if (accepted.owner != m_context.self)
            return ensureRun(accepted.id, accepted.owner);
        const bool isNew = accepted.submittedAt == job.submittedAt;
        if (!isNew) {
            // The job was submitted before this process started.
            auto loaded = m_log.load(job.id);
            if (loaded.isError()) {
                m_uncertainSubmissions[job.id]
                        = {SteadyClock().now() + uncertainWriteTimeout, limit, job.tokens()};
                return m_log.asUnknownOutcome(loaded.takeError());
            }
            adopt(loaded.takeValue());
            return {};
        }
        LoadedJob loaded;
        loaded.job = std::move(accepted);
        adopt(std::move(loaded));
        return {};
    }

    [[nodiscard]] bool owns(const std::string &id) const { return m_jobs.contains(id); }
    /// Returns the organisation of a job that this process owns; nothing if it owns no such job.
    [[nodiscard]] std::optional<std::string> organisationOf(const std::string &id) const
    {
        const auto job = find(id);
        return job ? job->stored.job.organisation : std::optional<std::string>();
    }

    /// Returns results of a job that this process owns; waits up to `wait` for a new one.
    Result<JobPage> read(const std::string &id, std::size_t after, Milliseconds wait)
    {
        const auto job = find(id);
        if (!job || job->isOwnershipUncertain)
            return notOwned(id);
        std::unique_lock lock(job->mutex);
        job->changed.wait_for(lock, wait, [&] {
            return job->stored.results.size() > after || job->stored.isEnded || job->isOwnershipLost
                   || job->isOwnershipUncertain;
        });
        if (job->isOwnershipLost || job->isOwnershipUncertain)
            return notOwned(id);
        return pageOf(job->stored, after);
    }

    /// Returns the body of an item of a job that this process owns.
    Result<std::string> itemBody(const std::string &id, const std::string &item)
    {
        const auto job = find(id);
        if (!job)
            return notOwned(id);
        return bodyOf(job->stored.job, item);
    }

    /// Ends a job, regardless of its owner. The owner learns of it from a report of this process or
    /// of a process that watches the store.
    Result<void> end(const std::string &id)
    {
        TRY(m_log.end(id));
        stopEndedJob(id);
        announceEnd(id);
        return {};
    }

    /// Reads a job from the store.
    Result<LoadedJob> load(const std::string &id) { return m_log.load(id); }

    static JobPage pageOf(const LoadedJob &job, std::size_t after)
    {
        JobPage page;
        page.total = job.job.items.size();
        std::size_t bytes = 0;
        for (std::size_t i = after; i < job.results.size() && bytes < maxPageBytes; ++i) {
            page.results.push_back(job.results[i]);
            bytes += job.results[i].output.size();
        }
        return page;
    }

    static Result<std::string> bodyOf(const SmallJob &job, const std::string &item)
    {
        for (const auto &each : job.items) {
            if (each.id == item)
                return each.body;
        }
        return Error{ErrorKind::NotFound, "the job " + job.id + " has no item " + item};
    }

private:
    /// Bounds the memory for waiting items; each takes a few KB with its output.
    static constexpr std::size_t maxWaitingItems = 4'000;
    /// Keeps the encoded form of a page well under 1 MB.
    static constexpr std::size_t maxPageBytes = 600'000;
    /// Results that arrive within this time are written together: each write costs a call to the
    /// store, and items whose results are not durable run again if this process dies.
    static constexpr Milliseconds resultBatchDelay{2'000};
    /// Results are written this long before their job is due, which leaves time for a slow write
    /// and a read.
    static constexpr Milliseconds dueMargin{1'500};
    static constexpr Milliseconds minResultBatchDelay{100};
    static constexpr Milliseconds storeRetryDelay{200};
    /// The store counts an object as it is encoded, which takes more bytes than the results.
    static constexpr std::size_t encodingFactor = 2;
    static constexpr std::size_t resultOverheadBytes = 64;
    static constexpr std::size_t maxItemsPerSegment = maxWaitingItems;
    /// Results that are not written yet, above which no further items are started.
    static constexpr std::size_t maxUnwrittenBytes = std::size_t{16} * 1024 * 1024;
    static constexpr Milliseconds busyDispatchInterval{20};
    static constexpr Milliseconds idleDispatchInterval{200};
    static constexpr Milliseconds minRoundInterval{60};
    static constexpr Milliseconds recoveryCheckInterval{500};
    /// Peers report at least twice a second.
    static constexpr Milliseconds peerReportTime{700};
    static constexpr Milliseconds peerReportPollInterval{20};
    /// How often the owner of a job may change while this process finds out who runs it.
    static constexpr unsigned maxOwnerChanges = 3;
    /// Bounds the time between two checks for unreachable peers.
    static constexpr std::size_t maxOwnerChecksPerRound = 4;
    /// Peers take over the jobs of a process after 2.5 s without a report from it, so a process
    /// that was paused for longer than this must check whether it still owns its jobs.
    static constexpr Milliseconds suspensionThreshold{2'000};
    /// A write whose response was lost may still take effect some seconds later.
    static constexpr Milliseconds uncertainWriteTimeout{12'000};
    /// How long reports to peers repeat the end of a job.
    static constexpr Milliseconds endAnnouncementTime{6'000};
    /// Bounds the size of a report; ends that exceed it have already been reported several times.
    static constexpr std::size_t maxAnnouncedEnds = 200;
    /// Long enough for a job that is being taken over to be read, written and adopted.
    static constexpr Milliseconds recentEndRetention{30'000};
    /// Items of an ended job must stop within 3 s; watching the store and reporting the end to the
    /// owner take two intervals.
    static constexpr Milliseconds endsWatchInterval{300};
    static constexpr Milliseconds claimCheckInterval{100};
    /// How often an item is reconsidered whose prompt has a part that crashes upstreams.
    static constexpr Milliseconds blockedItemInterval{1'000};

    struct ActiveJob
    {
        LoadedJob stored;
        std::vector<ItemProgress> progress;
        std::vector<ItemResult> pending;
        std::set<std::shared_ptr<ItemRunControl>> running;
        std::size_t finishedItems = 0;
        /// Tokens of items without a result.
        std::int64_t unfinishedTokens = 0;
        TimePoint due{};
        bool isWriting = false;
        /// Another process owns the job.
        bool isOwnershipLost = false;
        /// Another process may own the job and may have written more results. The job is not
        /// readable here until it has been reloaded from the store.
        bool isOwnershipUncertain = false;
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable changed;
    };
    using JobPointer = std::shared_ptr<ActiveJob>;

    /// State of a limit on waiting tokens, apart from the jobs that count against it.
    struct LimitState
    {
        /// Host and path select the limited route.
        std::string host;
        std::string path;
        std::string organisation;
        /// Tokens of submissions in flight.
        std::int64_t submittingTokens = 0;
        RetryAfterSchedule retrySchedule;
    };
    using Claims = ClaimCoordinator<Store, Pause>;

    /// A submission whose write to the store has an unknown outcome.
    struct UncertainSubmission
    {
        /// When the write can no longer take effect.
        TimePoint until;
        /// The limit that the job would count against; empty if there is none.
        std::string limit;
        std::int64_t tokens = 0;
    };

    struct EndedJob
    {
        std::string id;
        TimePoint at;
    };

    /// Writes a new job to the store if its limit leaves room for it.
    Result<SmallJob> acceptWithinLimit(const SmallJob &job, const std::string &limit)
    {
        const auto reserved = limit.empty() ? std::int64_t{0} : TRY(reserveCapacity(limit, job));
        const FinalAction release([&] {
            if (reserved > 0)
                m_limits[limit].submittingTokens -= reserved;
        });
        return m_log.accept(job);
    }

    [[nodiscard]] JobPointer find(const std::string &id) const
    {
        const auto found = m_jobs.find(id);
        return found == m_jobs.end() ? JobPointer() : found->second;
    }

    static Error notOwned(const std::string &id)
    {
        return {ErrorKind::NotFound, "this process does not run the job " + id};
    }

    void adopt(LoadedJob &&loaded)
    {
        const std::string id = loaded.job.id;
        if (owns(id))
            return;
        auto job = std::make_shared<ActiveJob>();
        job->stored = std::move(loaded);
        job->progress.resize(job->stored.job.items.size());
        job->due = limitsOf(job->stored.job).due;
        job->unfinishedTokens = job->stored.job.tokens();
        m_jobs[id] = job;
        // The job may have been ended after it was read.
        job->stored.isEnded |= m_recentEnds.contains(id);
        if (!job->stored.isEnded) {
            std::vector<double> sizes;
            for (const auto &item : job->stored.job.items)
                sizes.push_back(static_cast<double>(std::max<std::int64_t>(1, item.tokens)));
            m_queue.add(id, sizes, limitsOf(job->stored.job));
            for (std::size_t i = 0; i < job->stored.job.items.size(); ++i) {
                if (hasResult(*job, job->stored.job.items[i].id))
                    markFinished(*job, {id, i});
            }
        }
        logStateChange("job-adopted", {{"job", id},
                                       {"items", std::to_string(job->progress.size())},
                                       {"results", std::to_string(job->stored.results.size())},
                                       {"ended", job->stored.isEnded ? "yes" : "no"}});
        m_context.metrics.jobsAdopted.increase();
        if (const auto limit = limitOf(job->stored.job); !limit.empty())
            trackLimit(limit, job->stored.job);
        m_context.link.announceJobs();
        wakeDispatcher();
    }

    [[nodiscard]] static bool hasResult(const ActiveJob &job, const std::string &item)
    {
        const auto isOf = [&](const ItemResult &result) { return result.item == item; };
        return std::any_of(job.stored.results.begin(), job.stored.results.end(), isOf)
               || std::any_of(job.pending.begin(), job.pending.end(), isOf);
    }

    [[nodiscard]] ItemLimits limitsOf(const SmallJob &job) const
    {
        ItemLimits limits;
        const auto now = SteadyClock().now();
        const auto route = m_context.routes.find(job.host, job.path);
        const Milliseconds age(std::max<long long>(0, unixMilliseconds() - job.submittedAt));
        limits.due = now - age + (route ? route->jobTarget : Milliseconds(0));
        limits.expiresAt = now - age + jobTimeout(route);
        limits.maxFailures = route ? route->maxUpstreams : ItemLimits().maxFailures;
        return limits;
    }

    static Milliseconds jobTimeout(const std::shared_ptr<const Route> &route)
    {
        constexpr Milliseconds defaultJobTimeout{600'000};
        // Allows for clock skew between this process and the one that accepted the job.
        constexpr Milliseconds clockMargin{2'000};
        if (!route || route->jobExpiry.count() == 0)
            return defaultJobTimeout;
        return route->jobExpiry + clockMargin;
    }

    void markFinished(ActiveJob &job, const ItemKey &item)
    {
        m_queue.markFinished(item);
        job.finishedItems += 1;
        job.unfinishedTokens -= job.stored.job.items[item.index].tokens;
    }

    /// Returns the name of the limit that applies to an organisation's jobs on a route; empty if
    /// there is none.
    static std::string limitNameOf(const std::shared_ptr<const Route> &route,
                                   const std::string &organisation)
    {
        if (!route || route->maxPendingTokens <= 0)
            return {};
        return organisation.empty() ? route->name : route->name + ":" + organisation;
    }

    [[nodiscard]] std::string limitOf(const SmallJob &job) const
    {
        return limitNameOf(m_context.routes.find(job.host, job.path), job.organisation);
    }

    /// Returns how much of a limit this process uses: items without a result, submissions in flight
    /// and submissions with an unknown outcome.
    [[nodiscard]] LimitUse useOf(const std::string &limit) const
    {
        LimitUse use;
        use.processes = m_context.peers.processCount();
        use.reachablePeers = m_context.peers.reachablePeers(SteadyClock().now());
        const auto state = m_limits.find(limit);
        if (state == m_limits.end())
            return use;
        const auto limited = m_context.routes.find(state->second.host, state->second.path);
        if (limitNameOf(limited, state->second.organisation) == limit)
            use.limit = limited->maxPendingTokens;
        use.used = state->second.submittingTokens;
        for (const auto &[id, job] : m_jobs) {
            if (job->stored.isEnded || job->unfinishedTokens == 0)
                continue;
            if (limitOf(job->stored.job) != limit)
                continue;
            use.used += job->unfinishedTokens;
        }
        for (const auto &[id, uncertain] : m_uncertainSubmissions) {
            if (uncertain.limit == limit && !owns(id))
                use.used += uncertain.tokens;
        }
        return use;
    }

    /// Reserves capacity under a limit for a new job and returns how many tokens; a job that has
    /// already been accepted reserves none.
    Result<std::int64_t> reserveCapacity(const std::string &limit, const SmallJob &job)
    {
        if (!m_areOwnJobsKnown) {
            return Error{ErrorKind::Refused,
                         "the jobs from before this process started are not known yet"};
        }
        if (m_context.peers.ownerOf(job.id, SteadyClock().now()))
            return std::int64_t{0};
        trackLimit(limit, job);
        auto claimed = m_claims.claim(limit, job.tokens());
        if (std::holds_alternative<typename Claims::HasCapacity>(claimed)) {
            m_limits[limit].submittingTokens += job.tokens();
            return job.tokens();
        }
        if (auto *error = std::get_if<Error>(&claimed))
            return std::move(*error);
        // Refusing a job that was accepted before would tell the caller that it does not run.
        const auto exists = m_log.exists(job.id);
        if (exists.isError())
            return m_log.asUnknownOutcome(exists.error());
        if (exists.value())
            return std::int64_t{0};
        m_context.metrics.jobsOverLimit.increase();
        const auto missing = std::get<ClaimedQuota::Shortfall>(claimed).amount;
        const auto retryAfter = m_limits[limit].retrySchedule.schedule(static_cast<double>(missing),
                                                                       SteadyClock().now());
        return Error{ErrorKind::LimitReached,
                     "the limit of the route " + limit + " leaves no room for "
                             + std::to_string(job.tokens()) + " tokens",
                     retryAfter};
    }

    void trackLimit(const std::string &limit, const SmallJob &job)
    {
        auto &state = m_limits[limit];
        state.host = job.host;
        state.path = job.path;
        state.organisation = job.organisation;
        m_claims.track(limit);
    }

    void recordCompletion(const ActiveJob &job, std::size_t item)
    {
        const auto limit = limitOf(job.stored.job);
        if (limit.empty())
            return;
        // Assumes that the other processes complete items at the same rate as this one.
        const auto processes = std::max<std::size_t>(1, m_context.peers.processCount());
        const auto tokens
                = job.stored.job.items[item].tokens * static_cast<std::int64_t>(processes);
        m_limits[limit].retrySchedule.noteDone(static_cast<double>(tokens), SteadyClock().now());
    }

    void claimLoop()
    {
        while (true) {
            boost::this_fiber::sleep_for(claimCheckInterval);
            // Until then, the claim from before the restart covers jobs that are not counted yet.
            if (m_areOwnJobsKnown)
                m_claims.renew();
        }
    }

    void wakeDispatcher() { m_work.notify_all(); }

    void dispatchLoop()
    {
        while (true) {
            {
                std::unique_lock lock(m_workMutex);
                m_work.wait_for(lock, m_queue.waiting() > 0 ? busyDispatchInterval
                                                            : idleDispatchInterval);
            }
            if (m_runningItems > 0)
                m_context.upstreams.preemptExcessBatch();
            for (const auto &item : m_queue.takeExpired(SteadyClock().now()))
                giveUp(item, "its deadline has passed");
            runSchedulingRound();
            removeExpiredJobs();
        }
    }

    /// Starts this process's share of the items that all processes together may start.
    void runSchedulingRound()
    {
        const auto now = SteadyClock().now();
        if (m_isDraining || now < m_nextRoundAt || m_unwrittenBytes > maxUnwrittenBytes)
            return;
        // By the next round, the load reports of the peers in this region have arrived.
        m_nextRoundAt = now + std::max(minRoundInterval, m_context.link.loadPropagationTime());
        std::map<std::string, std::size_t> quotas;
        for (const auto &[service, items] : waitingByService()) {
            if (const auto quota = m_context.upstreams.batchQuota(service, items); quota > 0)
                quotas[service] = quota;
        }
        startItems(std::move(quotas));
    }

    /// Returns how many items wait for each service, as whole numbers; items of a route with
    /// several services are split by the route's weights.
    [[nodiscard]] std::map<std::string, WaitingItems> waitingByService() const
    {
        std::map<std::string, WaitingItems> result;
        const auto now = SteadyClock().now();
        for (const auto &[id, job] : m_jobs) {
            const auto items = m_queue.waitingOf(id, now);
            if (items.inTime + items.late == 0)
                continue;
            const auto route = m_context.routes.find(job->stored.job.host, job->stored.job.path);
            if (!route)
                continue;
            double totalWeight = 0;
            for (const auto &service : route->services)
                totalWeight += service.weight;
            for (const auto &service : route->services) {
                const double share = service.weight / std::max(totalWeight, 1.0);
                result[service.name] += {share * static_cast<double>(items.inTime),
                                         share * static_cast<double>(items.late)};
            }
        }
        for (auto &[service, items] : result)
            items = {std::ceil(items.inTime), std::ceil(items.late)};
        return result;
    }

    /// Returns the routes of all jobs that have not ended; null where there is none any more.
    [[nodiscard]] std::unordered_map<std::string, std::shared_ptr<const Route>> routesOfJobs() const
    {
        std::unordered_map<std::string, std::shared_ptr<const Route>> result;
        for (const auto &[id, job] : m_jobs) {
            if (m_queue.contains(id))
                result[id] = m_context.routes.find(job->stored.job.host, job->stored.job.path);
        }
        return result;
    }

    /// Starts items of services with a quota. The items of other services do not keep them waiting,
    /// however many there are.
    void startItems(std::map<std::string, std::size_t> quotas)
    {
        if (!m_context.routes.isConfigured())
            return;
        const auto routes = routesOfJobs();
        const auto hasQuota
                = [&](const WeightedService &each) { return quotas.contains(each.name); };
        const auto mayStart = [&](const std::string &id) {
            const auto found = routes.find(id);
            if (found == routes.end())
                return false;
            const auto &route = found->second;
            return !route || std::ranges::any_of(route->services, hasQuota);
        };
        while (const auto item = m_queue.takeNext(SteadyClock().now(), mayStart)) {
            const auto job = find(item->job);
            const auto &route = routes.at(item->job);
            if (!route) {
                giveUp(*item, "its route no longer exists");
                continue;
            }
            if (const auto checked = checkItem(job->stored.job.items[item->index]);
                checked.isError()) {
                holdUntilExpiry(*item, checked.error());
                continue;
            }
            const auto parts = promptPartsOf(*item, *job);
            const auto now = SteadyClock().now();
            if (const auto delay = m_context.crashingParts.itemDelay(parts, now)) {
                m_queue.postpone(*item, now + std::min<Duration>(*delay, blockedItemInterval));
                continue;
            }
            const double draw = std::uniform_real_distribution<double>(0, 1)(threadRandomEngine());
            const auto quota = quotas.find(*chooseService(*route, draw, hasQuota));
            auto place = m_context.upstreams.reserveBatch(
                    quota->first, featuresOf(*item, *job, *route), m_queue.slackOf(*item, now));
            if (!place) {
                m_queue.requeue(*item);
                quotas.erase(quota);
                continue;
            }
            if (--quota->second == 0)
                quotas.erase(quota);
            m_context.crashingParts.noteItemSent(parts, now);
            startItem(job, *item, std::move(place));
        }
    }

    /// Keeps an item that earlier versions accepted although no request can be made of it. It must
    /// not be given up before its job expires.
    void holdUntilExpiry(const ItemKey &item, const Error &reason)
    {
        logFailure("item-not-sendable", {{"job", item.job},
                                         {"item", std::to_string(item.index)},
                                         {"reason", reason.message}});
        m_queue.postpone(item, TimePoint::max());
    }

    [[nodiscard]] PromptParts promptPartsOf(const ItemKey &item, const ActiveJob &job) const
    {
        const auto &headers = job.stored.job.items[item.index].headers;
        return sharedPromptParts(headers.value(m_context.dialect.promptParts));
    }

    [[nodiscard]] WorkFeatures featuresOf(const ItemKey &item, const ActiveJob &job,
                                          const Route &route) const
    {
        const auto &headers = job.stored.job.items[item.index].headers;
        auto features = workFeatures(headers, m_context.dialect);
        features.route = stableHash(route.name);
        features.owner = stableHash(job.stored.job.organisation);
        return features;
    }

    void startItem(const JobPointer &job, const ItemKey &item,
                   UpstreamTable::ReservationPointer place)
    {
        auto control = std::make_shared<ItemRunControl>();
        const auto preempt = [control] {
            control->isPreempted = true;
            control->cancellation.cancel();
        };
        place->onPreempt(preempt, m_queue.slackOf(item, SteadyClock().now()));
        job->running.insert(control);
        m_runningItems += 1;
        m_context.metrics.itemRuns.increase();
        const auto &after = job->progress[item.index].lastEvent;
        logDecision("item-sent", {{"job", item.job},
                                  {"item", job->stored.job.items[item.index].id},
                                  {"upstream", place->upstream().id.text()},
                                  {"afterEvent", after ? std::to_string(*after) : ""},
                                  {"waiting", std::to_string(m_queue.waiting())}});
        m_context.threads.spawnOn(
                0, [this, job, item, control,
                    sharedPlace
                    = std::make_shared<UpstreamTable::ReservationPointer>(std::move(place))] {
                    auto &progress = job->progress[item.index];
                    const auto before = progress.lastEvent;
                    auto end = ItemRunEnd::Interrupted;
                    const auto exception = exceptionOf([&] {
                        end = runItem(**sharedPlace, m_context.dialect, job->stored.job,
                                      job->stored.job.items[item.index], progress, *control,
                                      m_context.crashingParts, m_context.maxObjectBytes);
                    });
                    if (exception) {
                        logFailure("item-run-failed", {{"job", item.job}, {"reason", *exception}});
                    }
                    const auto upstream = (*sharedPlace)->upstream().id;
                    sharedPlace->reset();
                    job->running.erase(control);
                    m_runningItems -= 1;
                    finishRun(job, item, end, progress.lastEvent != before, upstream);
                });
    }

    void finishRun(const JobPointer &job, const ItemKey &item, ItemRunEnd end, bool hasProgressed,
                   const UpstreamId &upstream)
    {
        wakeDispatcher();
        if (job->isOwnershipLost || job->stored.isEnded)
            return;
        const auto verdict = m_queue.recordRun(item, end, hasProgressed, SteadyClock().now());
        logDecision("item-run-ended", {{"job", item.job},
                                       {"item", job->stored.job.items[item.index].id},
                                       {"end", itemRunEndName(end)},
                                       {"upstream", upstream.text()}});
        if (end == ItemRunEnd::Preempted)
            m_context.metrics.itemsPreempted.increase();
        if (verdict == JobQueue::Disposition::Completed) {
            m_context.metrics.itemsCompleted.increase();
            return addResult(job, item, ItemState::Completed,
                             std::move(job->progress[item.index].output));
        }
        if (verdict == JobQueue::Disposition::GivenUp)
            giveUp(item, itemRunEndName(end));
    }

    static std::string itemRunEndName(ItemRunEnd end)
    {
        switch (end) {
        case ItemRunEnd::Completed:
            return "completed";
        case ItemRunEnd::NotRun:
            return "not run";
        case ItemRunEnd::Preempted:
            return "preempted";
        case ItemRunEnd::Interrupted:
            return "interrupted";
        case ItemRunEnd::Failed:
            return "failed";
        case ItemRunEnd::Impossible:
            return "impossible";
        }
        return "unknown";
    }

    void giveUp(const ItemKey &item, const std::string &reason)
    {
        const auto job = find(item.job);
        if (!job)
            return;
        m_context.metrics.itemsGivenUp.increase();
        logFailure("item-given-up", {{"job", item.job},
                                     {"item", job->stored.job.items[item.index].id},
                                     {"reason", reason}});
        addResult(job, item, ItemState::DeadLetter, "");
    }

    void addResult(const JobPointer &job, const ItemKey &item, ItemState state, std::string output)
    {
        const auto &id = job->stored.job.items[item.index].id;
        if (hasResult(*job, id))
            return;
        markFinished(*job, item);
        recordCompletion(*job, item.index);
        m_unwrittenBytes += output.size();
        job->pending.push_back({id, state, std::move(output)});
        if (!job->isWriting)
            spawnWriter(job);
        else if (state == ItemState::DeadLetter
                 || job->finishedItems >= job->stored.job.items.size())
            job->changed.notify_all();
    }

    /// Starts the job's only writer fiber, which writes results and also reloads the job while its
    /// ownership is uncertain: a reload during a concurrent write would miss that write's results.
    void spawnWriter(const JobPointer &job)
    {
        job->isWriting = true;
        m_writers += 1;
        m_context.threads.spawnOn(0, [this, job] {
            writeResults(job);
            job->isWriting = false;
            m_writers -= 1;
        });
    }

    /// Waits for more results to write together with the pending ones. Waits less if the job
    /// is due soon, and stops waiting once all items have results or an item was given up: until a
    /// dead letter is durable, a process that takes the job over would send the item to upstreams
    /// again.
    void waitForMoreResults(ActiveJob &job)
    {
        const auto now = SteadyClock().now();
        Milliseconds wait = resultBatchDelay;
        if (now < job.due) {
            const auto remaining = std::chrono::duration_cast<Milliseconds>(job.due - now);
            wait = std::clamp(remaining - dueMargin, minResultBatchDelay, resultBatchDelay);
        }
        std::unique_lock lock(job.mutex);
        job.changed.wait_for(lock, wait, [&] {
            return job.finishedItems >= job.stored.job.items.size() || job.isOwnershipLost
                   || job.isOwnershipUncertain || m_isDraining || hasDeadLetter(job)
                   || fittingResults(job.pending) < job.pending.size();
        });
    }

    [[nodiscard]] static bool hasDeadLetter(const ActiveJob &job)
    {
        return std::any_of(job.pending.begin(), job.pending.end(), [](const ItemResult &result) {
            return result.state == ItemState::DeadLetter;
        });
    }

    /// Writes pending results to the store until there are none, and resolves uncertain ownership.
    void writeResults(const JobPointer &job)
    {
        std::size_t maxResults = maxItemsPerSegment;
        while ((!job->pending.empty() || job->isOwnershipUncertain) && !job->isOwnershipLost) {
            if (job->isOwnershipUncertain) {
                reload(job, {});
                continue;
            }
            waitForMoreResults(*job);
            if (job->isOwnershipUncertain)
                continue;
            const auto count = std::min(maxResults, fittingResults(job->pending));
            const auto batchEnd = job->pending.begin() + static_cast<std::ptrdiff_t>(count);
            ResultSegment segment{makeUniqueId(m_context.self.text()),
                                  {std::make_move_iterator(job->pending.begin()),
                                   std::make_move_iterator(batchEnd)}};
            job->pending.erase(job->pending.begin(), batchEnd);
            const auto outcome = writeSegment(job, segment);
            if (outcome == WriteOutcome::Rejected) {
                maxResults = std::max<std::size_t>(1, count / 2);
                returnRejected(*job, std::move(segment.results));
                continue;
            }
            maxResults = maxItemsPerSegment;
            if (outcome == WriteOutcome::Superseded)
                continue;
            {
                const std::scoped_lock lock(job->mutex);
                for (const auto &result : segment.results) {
                    m_unwrittenBytes -= result.output.size();
                    job->stored.results.push_back(result);
                }
                job->stored.segments += 1;
            }
            recordWritten(*job, segment);
            job->changed.notify_all();
        }
    }

    /// Returns how many of the results, from the first one on, are expected to fit into one object;
    /// at least one.
    [[nodiscard]] std::size_t fittingResults(const std::vector<ItemResult> &results) const
    {
        std::size_t bytes = 0;
        for (std::size_t i = 0; i < results.size(); ++i) {
            bytes += (results[i].item.size() + results[i].output.size()) * encodingFactor
                     + resultOverheadBytes;
            if (bytes > m_context.maxObjectBytes)
                return std::max<std::size_t>(1, i);
        }
        return results.size();
    }

    /// Puts back results that the store will never take as one object. A single one cannot be
    /// stored at all, so its item is given up.
    void returnRejected(ActiveJob &job, std::vector<ItemResult> results)
    {
        if (results.size() == 1 && results.front().state == ItemState::Completed) {
            auto &result = results.front();
            m_context.metrics.itemsGivenUp.increase();
            logFailure("item-given-up", {{"job", job.stored.job.id},
                                         {"item", result.item},
                                         {"reason", "the store rejects its output"}});
            m_unwrittenBytes -= result.output.size();
            result = {result.item, ItemState::DeadLetter, ""};
        }
        job.pending.insert(job.pending.begin(), std::make_move_iterator(results.begin()),
                           std::make_move_iterator(results.end()));
    }

    void recordWritten(const ActiveJob &job, const ResultSegment &segment)
    {
        const Milliseconds age(unixMilliseconds() - job.stored.job.submittedAt);
        for (std::size_t i = 0; i < segment.results.size(); ++i)
            m_context.metrics.itemAge.record(age);
        m_context.metrics.resultSegments.increase();
        logDecision("results-written", {{"job", job.stored.job.id},
                                        {"results", std::to_string(segment.results.size())},
                                        {"total", std::to_string(job.stored.results.size())},
                                        {"ageMs", std::to_string(age.count())}});
    }

    enum class WriteOutcome {
        Written,
        Superseded, ///< Another process wrote the segment; what it lacks is pending again.
        Rejected,   ///< The store will never take the segment as it is.
    };

    /// Writes a segment, repeatedly while the store is unavailable.
    WriteOutcome writeSegment(const JobPointer &job, const ResultSegment &segment)
    {
        while (true) {
            const auto written = m_log.append(job->stored.job.id, job->stored.segments, segment);
            if (!written.isError())
                return WriteOutcome::Written;
            const auto kind = written.error().kind;
            if (kind == ErrorKind::Conflict) {
                reload(job, segment.results);
                return WriteOutcome::Superseded;
            }
            logStateChange("results-not-written",
                           {{"job", job->stored.job.id}, {"reason", written.error().message}});
            const bool isLasting = kind == ErrorKind::TooLarge || kind == ErrorKind::InvalidInput;
            // A single dead letter has nothing that could be left out.
            const bool canBeReduced = segment.results.size() > 1
                                      || segment.results.front().state == ItemState::Completed;
            if (isLasting && canBeReduced)
                return WriteOutcome::Rejected;
            boost::this_fiber::sleep_for(storeRetryDelay);
        }
    }

    /// Reloads a job that another process may have continued.
    void reload(const JobPointer &job, const std::vector<ItemResult> &unwritten)
    {
        const auto id = job->stored.job.id;
        auto loaded = m_log.load(id);
        while (loaded.isError() && loaded.error().kind != ErrorKind::NotFound) {
            boost::this_fiber::sleep_for(storeRetryDelay);
            loaded = m_log.load(id);
        }
        if (loaded.isError() || loaded.value().job.owner != m_context.self) {
            for (const auto &result : unwritten)
                m_unwrittenBytes -= result.output.size();
            if (!loaded.isError())
                m_unconfirmedOwners.note(id, loaded.value().job.owner, SteadyClock().now());
            drop(job, "another process owns it");
            return;
        }
        {
            const std::scoped_lock lock(job->mutex);
            // Runs refer to the items, so the job itself stays in place; it never changes.
            auto &read = loaded.value();
            job->stored.version = read.version;
            job->stored.results = std::move(read.results);
            job->stored.segments = read.segments;
            job->isOwnershipUncertain = false;
        }
        if (loaded.value().isEnded)
            stopEndedJob(id);
        // The other process may have written results for the same items in the meantime.
        auto retained = std::exchange(job->pending, {});
        retained.insert(retained.end(), unwritten.begin(), unwritten.end());
        for (auto &result : retained) {
            if (hasResult(*job, result.item))
                m_unwrittenBytes -= result.output.size();
            else
                job->pending.push_back(std::move(result));
        }
        job->finishedItems = 0;
        job->unfinishedTokens = job->stored.job.tokens();
        for (std::size_t i = 0; i < job->stored.job.items.size(); ++i) {
            if (hasResult(*job, job->stored.job.items[i].id))
                markFinished(*job, {id, i});
        }
    }

    void drop(const JobPointer &job, const std::string &reason)
    {
        const auto id = job->stored.job.id;
        logStateChange("job-dropped", {{"job", id}, {"reason", reason}});
        job->isOwnershipLost = true;
        for (const auto &result : job->pending)
            m_unwrittenBytes -= result.output.size();
        job->pending.clear();
        m_queue.removeJob(id);
        stopRunning(*job);
        m_jobs.erase(id);
        job->changed.notify_all();
    }

    static void stopRunning(ActiveJob &job)
    {
        const auto running = job.running;
        for (const auto &control : running)
            control->cancellation.cancel();
    }

    ObjectMirror<Store, Pause> makeEndsMirror()
    {
        MirrorIntervals pace;
        pace.minWatchInterval = endsWatchInterval;
        MirrorCallbacks handler;
        handler.onList = [this](const std::vector<StoredObject> &objects, Version) {
            for (const auto &object : objects)
                handleStoredEnd(object);
        };
        handler.onChange = [this](const ObjectChange &change) {
            if (change.isRemoval)
                m_storedEnds.erase(m_log.endedJobOf(change.object));
            else
                handleStoredEnd(change.object);
        };
        handler.isEnabled = [this] { return m_context.peers.shouldWatch(SteadyClock().now()); };
        return m_log.mirrorEnds(pace, std::move(handler));
    }

    /// Announces the end to peers as well, since the process that wrote it may stop before its
    /// report reaches the job's owner.
    void handleStoredEnd(const StoredObject &object)
    {
        const auto id = m_log.endedJobOf(object);
        if (!m_storedEnds.insert(id).second)
            return;
        stopEndedJob(id);
        announceEnd(id);
    }

    void announceEnd(const std::string &id)
    {
        m_announcedEnds.push_back({id, SteadyClock().now()});
        if (m_announcedEnds.size() > maxAnnouncedEnds)
            m_announcedEnds.pop_front();
        m_context.link.announceJobs();
    }

    void stopEndedJob(const std::string &id)
    {
        m_recentEnds[id] = SteadyClock().now();
        const auto job = find(id);
        if (!job || job->stored.isEnded)
            return;
        m_context.metrics.jobsEnded.increase();
        logStateChange("job-ended", {{"job", id}});
        job->stored.isEnded = true;
        m_queue.removeJob(id);
        stopRunning(*job);
        job->changed.notify_all();
    }

    void evictOldEnds()
    {
        const auto oldest = SteadyClock().now() - recentEndRetention;
        std::erase_if(m_recentEnds, [&](const auto &end) { return end.second < oldest; });
    }

    void removeExpiredJobs()
    {
        const auto oldest = unixMilliseconds() - m_context.retention.count();
        std::vector<JobPointer> old;
        for (const auto &[id, job] : m_jobs) {
            const bool isDone = job->stored.isEnded || job->finishedItems == job->progress.size();
            if (job->stored.job.submittedAt < oldest && isDone && !job->isWriting)
                old.push_back(job);
        }
        for (const auto &job : old) {
            const auto id = job->stored.job.id;
            m_queue.removeJob(id);
            m_jobs.erase(id);
            m_context.threads.spawnOn(0, [this, id, segments = job->stored.segments] {
                const auto removed = m_log.remove(id, segments);
                if (removed.isError()) {
                    logStateChange("job-not-removed",
                                   {{"job", id}, {"reason", removed.error().message}});
                }
            });
        }
    }

    void describeJobs(PeerReport &report)
    {
        for (const auto &[id, job] : m_jobs)
            report.ownedJobs.push_back(jobHash(id));
        const auto oldest = SteadyClock().now() - endAnnouncementTime;
        while (!m_announcedEnds.empty() && m_announcedEnds.front().at < oldest)
            m_announcedEnds.pop_front();
        for (const auto &ended : m_announcedEnds)
            report.endedJobs.push_back(ended.id);
    }

    void handleReport(const PeerReport &report, bool becameReachable)
    {
        for (const auto &id : report.endedJobs)
            stopEndedJob(id);
        for (const auto hash : report.ownedJobs) {
            for (const auto &[id, job] : m_jobs) {
                if (jobHash(id) == hash)
                    markOwnershipUncertain(*job);
            }
        }
        if (becameReachable)
            logStateChange("peer-heard", {{"peer", report.node.text()}});
    }

    static void markOwnershipUncertain(ActiveJob &job)
    {
        job.isOwnershipUncertain = true;
        job.changed.notify_all();
    }

    /// Marks the ownership of all jobs as uncertain after a period in which this process could not
    /// learn that they were taken over: because it was suspended or no peer was reachable.
    void recheckOwnershipAfterIsolation(Duration pause)
    {
        const bool wasSuspended = pause > suspensionThreshold;
        const bool isIsolated = !m_context.peers.isAnyReachable(SteadyClock().now());
        const bool isReconnected = m_wasIsolated && !isIsolated;
        m_wasIsolated = isIsolated;
        if (!wasSuspended && !isReconnected)
            return;
        logStateChange("jobs-doubted", {{"jobs", std::to_string(m_jobs.size())},
                                        {"reason", wasSuspended ? "suspended" : "alone"}});
        for (const auto &[id, job] : m_jobs)
            markOwnershipUncertain(*job);
    }

    void recoveryLoop()
    {
        recover();
        const auto discoveryEndsAt = SteadyClock().now() + m_context.peerDiscoveryTime;
        while (true) {
            const auto before = BootClock::now();
            boost::this_fiber::sleep_for(recoveryCheckInterval);
            if (!m_isPeerDiscoveryDone && SteadyClock().now() >= discoveryEndsAt) {
                m_isPeerDiscoveryDone = true;
                // Members that are not known yet may have left jobs behind.
                m_mustRecover |= m_context.peers.processCount() == 0;
            }
            evictOldEnds();
            recheckOwnershipAfterIsolation(BootClock::now() - before);
            resolveUncertainOwnership();
            resolveUncertainSubmissions();
            resolveUnconfirmedOwners();
            const auto unreachable = m_context.peers.takeNewlyUnreachable(SteadyClock().now());
            for (const auto &node : unreachable)
                logStateChange("peer-silent", {{"peer", node.text()}});
            // Listing all jobs is expensive, so only processes that may take over jobs do it.
            const bool mayOwnOrphans
                    = m_isPeerDiscoveryDone
                      && !m_context.peers.takeFailoverPeers(SteadyClock().now()).empty();
            if (mayOwnOrphans || std::exchange(m_mustRecover, false))
                recover();
            m_areOwnJobsKnown |= !m_mustRecover;
        }
    }

    /// Starts a writer to reload each job with uncertain ownership; a job's running writer does so
    /// itself.
    void resolveUncertainOwnership()
    {
        for (const auto &[id, job] : m_jobs) {
            if (job->isOwnershipUncertain && !job->isWriting)
                spawnWriter(job);
        }
    }

    /// Acquires the jobs that this process owned before it started, and the jobs of failed
    /// processes that this process succeeds.
    void recover()
    {
        auto jobs = m_log.listOwners();
        while (jobs.isError()) {
            boost::this_fiber::sleep_for(storeRetryDelay);
            jobs = m_log.listOwners();
        }
        for (const auto &[id, owner] : jobs.value()) {
            if (owns(id))
                continue;
            const auto now = SteadyClock().now();
            const bool isOwn = owner == m_context.self;
            const bool isOrphan = !isOwn && m_isPeerDiscoveryDone
                                  && m_context.peers.isSuccessor(owner, id, now);
            if (isOwn || isOrphan)
                acquireListed(id, owner);
            else
                m_unconfirmedOwners.note(id, owner, now);
        }
    }

    /// Makes sure that a process runs each job that this process has seen under another owner.
    void resolveUnconfirmedOwners()
    {
        // Before, peers that run jobs may not be known yet.
        if (!m_isPeerDiscoveryDone)
            return;
        const auto unconfirmed = m_unconfirmedOwners.entries();
        std::size_t checks = 0;
        for (const auto &[id, entry] : unconfirmed) {
            const auto step = m_unconfirmedOwners.nextStep(id, entry, SteadyClock().now());
            if (step == UnconfirmedOwners::Step::Wait)
                continue;
            if (step == UnconfirmedOwners::Step::None || owns(id)) {
                m_unconfirmedOwners.forget(id);
                continue;
            }
            if (checks++ == maxOwnerChecksPerRound)
                return;
            const auto ensured = ensureRun(id, entry.owner);
            if (!ensured.isError() || ensured.error().kind == ErrorKind::NotFound)
                m_unconfirmedOwners.forget(id);
        }
    }

    /// Makes sure that a process runs a job that the store assigns to `owner`: takes the job over
    /// unless the owner, or another process, says that it runs the job. On failure, the job is
    /// checked again later; NotFound if it does not exist.
    Result<void> ensureRun(const std::string &id, NodeId owner)
    {
        waitForReportOf(owner);
        Error failure{ErrorKind::Unavailable, "the owner of the job " + id + " keeps changing"};
        for (unsigned change = 0; change < maxOwnerChanges; ++change) {
            if (owner != m_context.self && isRunByPeer(id, owner))
                return {};
            const auto acquired = acquire(id, owner);
            if (!acquired.isError() || acquired.error().kind == ErrorKind::NotFound)
                return acquired;
            // After a conflict, the store names another owner.
            const bool isConflict = acquired.error().kind == ErrorKind::Conflict;
            const auto current = isConflict ? m_log.ownerOf(id) : Result<NodeId>(acquired.error());
            if (current.isError()) {
                failure = m_log.asUnknownOutcome(current.error());
                break;
            }
            owner = current.value();
        }
        logStateChange("job-owner-unconfirmed",
                       {{"job", id}, {"owner", owner.text()}, {"reason", failure.message}});
        m_unconfirmedOwners.note(id, owner, SteadyClock().now());
        return failure;
    }

    /// Waits for a report of a process that this one may not have heard because it has just
    /// started.
    void waitForReportOf(const NodeId &node)
    {
        const auto until = SteadyClock().now() + peerReportTime;
        while (!m_isPeerDiscoveryDone && SteadyClock().now() < until
               && !m_context.peers.isReachable(node, SteadyClock().now()))
            boost::this_fiber::sleep_for(peerReportPollInterval);
    }

    /// Returns whether the owner of a job, or another peer, says that it runs the job.
    bool isRunByPeer(const std::string &id, const NodeId &owner)
    {
        const auto now = SteadyClock().now();
        if (m_context.peers.isReportedAsRunning(id, now))
            return true;
        const auto control = m_context.peers.controlOf(owner, now);
        if (!control)
            return false;
        const auto answer = m_ownerProbe(*control, id);
        if (answer != OwnerAnswer::Runs) {
            logStateChange("job-unknown-to-owner",
                           {{"job", id},
                            {"owner", owner.text()},
                            {"answer", answer == OwnerAnswer::None ? "none" : "does not run it"}});
        }
        return answer == OwnerAnswer::Runs;
    }

    /// Adopts jobs from submissions with an unknown outcome, if they exist and this process owns
    /// them.
    void resolveUncertainSubmissions()
    {
        const auto uncertain = m_uncertainSubmissions;
        for (const auto &[id, submission] : uncertain) {
            auto loaded = m_log.load(id);
            const bool isUnknown = loaded.isError();
            if (isUnknown && SteadyClock().now() < submission.until)
                continue;
            m_uncertainSubmissions.erase(id);
            if (isUnknown && loaded.error().kind != ErrorKind::NotFound) {
                m_uncertainSubmissions[id] = submission;
                m_uncertainSubmissions[id].until = SteadyClock().now() + uncertainWriteTimeout;
            }
            if (!isUnknown && loaded.value().job.owner == m_context.self)
                adopt(loaded.takeValue());
        }
    }

    static bool isOutcomeUnknown(const Error &error)
    {
        return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Timeout;
    }

    /// Makes this process the owner of a job that it does not run yet, and adopts the job. Conflict
    /// if a third process owns it by now.
    Result<void> acquire(const std::string &id, const NodeId &from)
    {
        if (from != m_context.self) {
            TRY(m_log.takeOver(id, from, m_context.self));
            logStateChange("job-taken-over", {{"job", id}, {"from", from.text()}});
        }
        // The previous owner may have added results since and may still be alive; the fence makes
        // its next write fail with a conflict.
        adopt(TRY(m_log.loadFenced(id, makeUniqueId(m_context.self.text()))));
        return {};
    }

    void acquireListed(const std::string &id, const NodeId &from)
    {
        const auto acquired = acquire(id, from);
        if (!acquired.isError())
            return;
        const auto &error = acquired.error();
        logStateChange("job-not-taken-up", {{"job", id}, {"reason", error.message}});
        if (error.kind == ErrorKind::Refused || isOutcomeUnknown(error))
            m_mustRecover = true;
        else if (error.kind == ErrorKind::Conflict)
            m_unconfirmedOwners.note(id, from, SteadyClock().now());
    }

    const JobServiceContext m_context;
    JobLog<Store, Pause> m_log;
    Probe m_ownerProbe;
    UnconfirmedOwners m_unconfirmedOwners;
    ObjectMirror<Store, Pause> m_endsMirror;
    JobQueue m_queue;
    std::unordered_map<std::string, JobPointer> m_jobs;
    /// Ends that reports to peers repeat.
    std::deque<EndedJob> m_announcedEnds;
    /// Ends that this process has seen in the store.
    std::set<std::string> m_storedEnds;
    /// Recent ends and when this process learnt of each.
    std::unordered_map<std::string, TimePoint> m_recentEnds;
    /// Submissions with an unknown outcome, by job.
    std::map<std::string, UncertainSubmission> m_uncertainSubmissions;
    /// By the name of the limit.
    std::map<std::string, LimitState> m_limits;
    Claims m_claims;
    /// Size of the outputs that are not in the store yet.
    std::size_t m_unwrittenBytes = 0;
    bool m_mustRecover = false;
    bool m_wasIsolated = false;
    TimePoint m_nextRoundAt{};
    /// These counters and m_isDraining are also accessed by the thread that stops the process.
    std::atomic<std::size_t> m_runningItems{0};
    std::atomic<std::size_t> m_writers{0};
    std::atomic<bool> m_isDraining{false};
    /// The jobs that this process owned before it started have been acquired.
    bool m_areOwnJobsKnown = false;
    /// Every live peer has had time to send a report.
    bool m_isPeerDiscoveryDone = false;
    boost::fibers::mutex m_workMutex;
    boost::fibers::condition_variable m_work;
};

} // namespace Radishplank
