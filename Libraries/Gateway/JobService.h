#pragma once

#include <Batch/Batch.h>
#include <Gateway/ClaimKeeper.h>
#include <Gateway/GatewayMetrics.h>
#include <Gateway/ItemRun.h>
#include <Gateway/PeerLink.h>
#include <Gateway/RouteTable.h>

#include <algorithm>
#include <atomic>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Radishplank {

/// What a JobService works with.
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
    /// How long a job can be read after its submission.
    Milliseconds retention{600'000};
    /// When the peers that live have been heard, counted from the start.
    Milliseconds listenTime{4'000};
};

/// Results of a job from a position on.
struct JobPage
{
    std::size_t total = 0;
    std::vector<ItemResult> results;
};

/// Runs the small jobs that this process owns, and takes over those of processes that are gone.
///
/// All of it runs on thread 0; its methods suspend the calling fiber. Results are told only once
/// they are durable.
template<ObjectStore Store, typename Pause>
class JobService
{
public:
    JobService(JobServiceContext context, JobLog<Store, Pause> log)
        : m_context(std::move(context))
        , m_log(std::move(log))
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
                                          static_cast<std::uint32_t>(std::ceil(items.inTime)),
                                          static_cast<std::uint32_t>(std::ceil(items.late))});
            }
        };
        m_context.link.onReport
                = [this](const PeerReport &report, bool isNews) { takeReport(report, isNews); };
        m_context.threads.spawnOn(0, [this] { dispatchLoop(); });
        m_context.threads.spawnOn(0, [this] { recoveryLoop(); });
        m_context.threads.spawnOn(0, [this] { claimLoop(); });
        m_context.threads.spawnOn(0, [this] { m_endsMirror.run(); });
    }

    /// No further job is taken and no item started; those that run go on.
    void beginDrain() { m_isDraining = true; }
    [[nodiscard]] std::size_t runningItems() const { return m_runningItems; }
    /// Tells whether no item runs and no result waits to be made durable.
    [[nodiscard]] bool isIdle() const { return m_runningItems == 0 && m_writers == 0; }

    /// Makes a job durable. Conflict: the name belongs to another job. Refused: it does not run.
    /// LimitReached: the same, since its route's limit on waiting tokens leaves no room.
    /// Unavailable or Timeout: it may have been accepted.
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
        const auto held = limit.empty() ? std::int64_t{0} : TRY(holdRoom(limit, job));
        auto written = m_log.accept(job);
        if (held > 0)
            m_limits[limit].submitting -= held;
        if (written.isError()) {
            // The job may exist by now, or soon, with this process as its owner.
            if (isDoubtful(written.error()))
                m_unsettled[job.id] = {SteadyClock().now() + settleTime, limit, job.tokens()};
            return written.takeError();
        }
        auto accepted = written.takeValue();
        if (accepted.owner != m_context.self)
            return {};
        const bool isNew = accepted.submittedAt == job.submittedAt;
        if (!isNew) {
            // A submission from before this process started.
            adopt(TRY(m_log.load(job.id)));
            return {};
        }
        LoadedJob loaded;
        loaded.job = std::move(accepted);
        adopt(std::move(loaded));
        return {};
    }

    [[nodiscard]] bool owns(const std::string &id) const { return m_jobs.contains(id); }

    /// Returns results of a job that this process owns; waits for one at most so long.
    Result<JobPage> read(const std::string &id, std::size_t after, Milliseconds wait)
    {
        const auto job = find(id);
        if (!job || job->isDisputed)
            return notOwned(id);
        std::unique_lock lock(job->mutex);
        job->changed.wait_for(lock, wait, [&] {
            return job->stored.results.size() > after || job->stored.isEnded || job->isGone
                   || job->isDisputed;
        });
        if (job->isGone || job->isDisputed)
            return notOwned(id);
        return pageOf(job->stored, after);
    }

    /// Returns an item's body, of a job that this process owns.
    Result<std::string> itemBody(const std::string &id, const std::string &item)
    {
        const auto job = find(id);
        if (!job)
            return notOwned(id);
        return bodyOf(job->stored.job, item);
    }

    /// Ends a job, whoever owns it. The owner hears of it from this process, or from one that
    /// watches the store.
    Result<void> end(const std::string &id)
    {
        TRY(m_log.end(id));
        stopEnded(id);
        tellEnded(id);
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
    /// Bounds the memory of waiting items; each takes a few KB with its output.
    static constexpr std::size_t maxWaitingItems = 4'000;
    /// A page of results stays well under 1 MB in its encoded form.
    static constexpr std::size_t maxPageBytes = 600'000;
    /// Results that come within this time are made durable together: each write is a call to the
    /// store, and what is not durable yet runs again if this process dies.
    static constexpr Milliseconds gatherTime{2'000};
    /// Results are durable this long before their job is due, which is time for a slow write and
    /// a read.
    static constexpr Milliseconds dueMargin{1'500};
    static constexpr Milliseconds shortestGatherTime{100};
    static constexpr Milliseconds storeRetryPause{200};
    static constexpr Milliseconds busyDispatchInterval{20};
    static constexpr Milliseconds idleDispatchInterval{200};
    static constexpr Milliseconds shortestTurn{60};
    static constexpr Milliseconds recoveryCheckInterval{500};
    /// Peers take over a process's jobs after 2.5 s of silence.
    static constexpr Milliseconds longestPause{2'000};
    /// A write without an answer may still take effect some seconds later.
    static constexpr Milliseconds settleTime{12'000};
    /// Ends of jobs are told to peers for so long.
    static constexpr Milliseconds endedToldTime{6'000};
    /// Bounds the size of a report; the oldest ends have been told several times by then.
    static constexpr std::size_t maxEndedTold = 200;
    /// A job that is taken over is read, written and adopted within this time.
    static constexpr Milliseconds endedMemory{30'000};
    /// Items of an ended job must stop within 3 s; watching and telling takes two intervals.
    static constexpr Milliseconds endsWatchInterval{300};
    static constexpr Milliseconds claimCheckInterval{100};
    /// Items of services without room that are passed over in one turn.
    static constexpr std::size_t maxPassedOver = 64;

    struct ActiveJob
    {
        LoadedJob stored;
        std::vector<ItemProgress> progress;
        std::vector<ItemResult> pending;
        std::set<std::shared_ptr<ItemStop>> running;
        std::size_t settled = 0;
        /// Tokens of the items that have no result yet.
        std::int64_t openTokens = 0;
        TimePoint due{};
        bool isWriting = false;
        /// Another process owns the job by now.
        bool isGone = false;
        /// Another process may own the job and have written more results: nothing is told of it
        /// until it has been read again.
        bool isDisputed = false;
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable changed;
    };
    using JobPointer = std::shared_ptr<ActiveJob>;

    /// What this process knows of a limit on waiting tokens, besides its jobs.
    struct LimitState
    {
        /// They lead to the limited route.
        std::string host;
        std::string path;
        /// Tokens of submissions under way.
        std::int64_t submitting = 0;
        ReturnSchedule returns;
    };
    using Claims = ClaimKeeper<Store, Pause>;

    /// A submission of which it is not known whether the store has taken it.
    struct Unsettled
    {
        TimePoint until;
        /// What the job would take up of a limit.
        std::string limit;
        std::int64_t tokens = 0;
    };

    struct EndedJob
    {
        std::string id;
        TimePoint at;
    };

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
        job->openTokens = job->stored.job.tokens();
        m_jobs[id] = job;
        // The end may have been written after the job was read.
        job->stored.isEnded |= m_recentEnds.contains(id);
        if (!job->stored.isEnded) {
            std::vector<double> sizes;
            for (const auto &item : job->stored.job.items)
                sizes.push_back(static_cast<double>(std::max<std::int64_t>(1, item.tokens)));
            m_queue.add(id, sizes, limitsOf(job->stored.job));
            for (std::size_t i = 0; i < job->stored.job.items.size(); ++i) {
                if (hasResult(*job, job->stored.job.items[i].id))
                    settle(*job, {id, i});
            }
        }
        logStateChange("job-adopted", {{"job", id},
                                       {"items", std::to_string(job->progress.size())},
                                       {"results", std::to_string(job->stored.results.size())},
                                       {"ended", job->stored.isEnded ? "yes" : "no"}});
        m_context.metrics.jobsAdopted.increase();
        if (const auto limit = limitOf(job->stored.job); !limit.empty())
            watchLimit(limit, job->stored.job);
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
        limits.expiresAt = now - age + patienceOf(route);
        limits.maxFailures = route ? route->maxUpstreams : ItemLimits().maxFailures;
        return limits;
    }

    static Milliseconds patienceOf(const std::shared_ptr<const Route> &route)
    {
        constexpr Milliseconds defaultPatience{600'000};
        // The clocks of the process that took the job and of this one may differ a little.
        constexpr Milliseconds clockMargin{2'000};
        if (!route || route->jobExpiry.count() == 0)
            return defaultPatience;
        return route->jobExpiry + clockMargin;
    }

    void settle(ActiveJob &job, const ItemKey &item)
    {
        m_queue.markFinished(item);
        job.settled += 1;
        job.openTokens -= job.stored.job.items[item.index].tokens;
    }

    /// Returns the name of the limit that a route's jobs are under; empty if there is none.
    static std::string limitNameOf(const std::shared_ptr<const Route> &route)
    {
        return route && route->maxPendingTokens > 0 ? route->name : std::string();
    }

    [[nodiscard]] std::string limitOf(const SmallJob &job) const
    {
        return limitNameOf(m_context.routes.find(job.host, job.path));
    }

    /// Returns what this process has of a limit: items without a result, submissions under way and
    /// those in doubt.
    [[nodiscard]] LimitUse useOf(const std::string &limit) const
    {
        LimitUse use;
        use.processes = m_context.peers.processCount();
        use.heard = m_context.peers.heard(SteadyClock().now());
        const auto state = m_limits.find(limit);
        if (state == m_limits.end())
            return use;
        const auto limited = m_context.routes.find(state->second.host, state->second.path);
        if (limitNameOf(limited) == limit)
            use.limit = limited->maxPendingTokens;
        use.used = state->second.submitting;
        for (const auto &[id, job] : m_jobs) {
            if (job->stored.isEnded || job->openTokens == 0)
                continue;
            const auto route = m_context.routes.find(job->stored.job.host, job->stored.job.path);
            if (limitNameOf(route) != limit)
                continue;
            use.used += job->openTokens;
        }
        for (const auto &[id, unsettled] : m_unsettled) {
            if (unsettled.limit == limit && !owns(id))
                use.used += unsettled.tokens;
        }
        return use;
    }

    /// Holds room for a new job under a limit and returns how much; nothing is held for a job that
    /// has been accepted before.
    Result<std::int64_t> holdRoom(const std::string &limit, const SmallJob &job)
    {
        if (!m_areOwnJobsKnown) {
            return Error{ErrorKind::Refused,
                         "the jobs from before this process started are not known yet"};
        }
        if (m_context.peers.ownerOf(job.id, SteadyClock().now()))
            return std::int64_t{0};
        watchLimit(limit, job);
        auto claimed = m_claims.claim(limit, job.tokens());
        if (std::holds_alternative<typename Claims::HasRoom>(claimed)) {
            m_limits[limit].submitting += job.tokens();
            return job.tokens();
        }
        if (auto *error = std::get_if<Error>(&claimed))
            return std::move(*error);
        // To a caller whose job has been accepted, its refusal would say that it does not run.
        const auto exists = m_log.exists(job.id);
        if (exists.isError())
            return Error{ErrorKind::Refused, exists.error().message};
        if (exists.value())
            return std::int64_t{0};
        m_context.metrics.jobsOverLimit.increase();
        const auto missing = std::get<ClaimedQuota::Shortage>(claimed).amount;
        const auto comeAgain = m_limits[limit].returns.schedule(static_cast<double>(missing),
                                                                SteadyClock().now());
        return Error{ErrorKind::LimitReached,
                     "the limit of the route " + limit + " leaves no room for "
                             + std::to_string(job.tokens()) + " tokens",
                     comeAgain};
    }

    void watchLimit(const std::string &limit, const SmallJob &job)
    {
        auto &state = m_limits[limit];
        state.host = job.host;
        state.path = job.path;
        m_claims.watch(limit);
    }

    void noteDone(const ActiveJob &job, std::size_t item)
    {
        const auto limit = limitOf(job.stored.job);
        if (limit.empty())
            return;
        // The other processes are taken to get on as fast as this one.
        const auto processes = std::max<std::size_t>(1, m_context.peers.processCount());
        const auto tokens
                = job.stored.job.items[item].tokens * static_cast<std::int64_t>(processes);
        m_limits[limit].returns.noteDone(static_cast<double>(tokens), SteadyClock().now());
    }

    void claimLoop()
    {
        while (true) {
            boost::this_fiber::sleep_for(claimCheckInterval);
            // Before that, the claim from before the start covers jobs that are not counted yet.
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
                giveUp(item, "its time is over");
            takeTurn();
            forgetOldJobs();
        }
    }

    /// Starts this process's part of what all processes may start.
    void takeTurn()
    {
        const auto now = SteadyClock().now();
        if (m_isDraining || now < m_nextTurn)
            return;
        // What peers of the region have started is known by the next turn.
        m_nextTurn = now + std::max(shortestTurn, m_context.link.loadNewsTime());
        std::map<std::string, std::size_t> quotas;
        for (const auto &[service, items] : waitingByService()) {
            if (const auto quota = m_context.upstreams.batchQuota(service, items); quota > 0)
                quotas[service] = quota;
        }
        startItems(std::move(quotas));
    }

    /// Returns how many items wait for each service; those of a route that divides its calls count
    /// by its weights.
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
            double whole = 0;
            for (const auto &service : route->services)
                whole += service.weight;
            for (const auto &service : route->services) {
                const double part = service.weight / std::max(whole, 1.0);
                result[service.name] += {part * static_cast<double>(items.inTime),
                                         part * static_cast<double>(items.late)};
            }
        }
        return result;
    }

    void startItems(std::map<std::string, std::size_t> quotas)
    {
        std::vector<ItemKey> passedOver;
        while (passedOver.size() < maxPassedOver && !quotas.empty()) {
            const auto item = m_queue.takeNext(SteadyClock().now());
            if (!item)
                break;
            const auto job = find(item->job);
            const auto route = m_context.routes.find(job->stored.job.host, job->stored.job.path);
            if (!route) {
                if (m_context.routes.isConfigured())
                    giveUp(*item, "its route is gone");
                else
                    passedOver.push_back(*item);
                continue;
            }
            const double draw = std::uniform_real_distribution<double>(0, 1)(threadRandomEngine());
            const auto &service = chooseService(*route, draw);
            const auto quota = quotas.find(service);
            auto place = quota == quotas.end() ? UpstreamTable::ReservationPointer()
                                               : m_context.upstreams.reserveBatch(service);
            if (!place) {
                passedOver.push_back(*item);
                quotas.erase(service);
                continue;
            }
            if (--quota->second == 0)
                quotas.erase(quota);
            startItem(job, *item, std::move(place));
        }
        for (const auto &item : passedOver)
            m_queue.requeue(item);
    }

    void startItem(const JobPointer &job, const ItemKey &item,
                   UpstreamTable::ReservationPointer place)
    {
        auto stop = std::make_shared<ItemStop>();
        const auto preempt = [stop] {
            stop->isPreempted = true;
            stop->cancellation.cancel();
        };
        place->onPreempt(preempt, m_queue.slackOf(item, SteadyClock().now()));
        job->running.insert(stop);
        m_runningItems += 1;
        m_context.metrics.itemRuns.increase();
        const auto &after = job->progress[item.index].lastEvent;
        logDecision("item-sent", {{"job", item.job},
                                  {"item", job->stored.job.items[item.index].id},
                                  {"upstream", place->upstream().id.text()},
                                  {"afterEvent", after ? std::to_string(*after) : ""},
                                  {"waiting", std::to_string(m_queue.waiting())}});
        m_context.threads.spawnOn(
                0, [this, job, item, stop,
                    held = std::make_shared<UpstreamTable::ReservationPointer>(std::move(place))] {
                    auto &progress = job->progress[item.index];
                    const auto before = progress.lastEvent;
                    const auto end = runItem(**held, m_context.dialect, job->stored.job.host,
                                             job->stored.job.items[item.index], progress, *stop);
                    const auto upstream = (*held)->upstream().id;
                    held->reset();
                    job->running.erase(stop);
                    m_runningItems -= 1;
                    finishRun(job, item, end, progress.lastEvent != before, upstream);
                });
    }

    void finishRun(const JobPointer &job, const ItemKey &item, ItemRunEnd end, bool hasProgressed,
                   const UpstreamId &upstream)
    {
        wakeDispatcher();
        if (job->isGone || job->stored.isEnded)
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
        settle(*job, item);
        noteDone(*job, item.index);
        job->pending.push_back({id, state, std::move(output)});
        if (!job->isWriting)
            spawnWriter(job);
        else if (state == ItemState::DeadLetter || job->settled >= job->stored.job.items.size())
            job->changed.notify_all();
    }

    /// Starts the one fiber that writes results of the job, and that reads the job again while it
    /// is disputed: what is read while another fiber writes would lack what that has written.
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

    /// Waits for more results to write with those that are pending, unless they are due or all, or
    /// an item is given up: until that is durable, an heir would send the item to upstreams again.
    void gatherResults(ActiveJob &job)
    {
        const auto now = SteadyClock().now();
        Milliseconds wait = gatherTime;
        if (now < job.due) {
            const auto left = std::chrono::duration_cast<Milliseconds>(job.due - now);
            wait = std::clamp(left - dueMargin, shortestGatherTime, gatherTime);
        }
        std::unique_lock lock(job.mutex);
        job.changed.wait_for(lock, wait, [&] {
            return job.settled >= job.stored.job.items.size() || job.isGone || job.isDisputed
                   || m_isDraining || hasGivenUp(job);
        });
    }

    [[nodiscard]] static bool hasGivenUp(const ActiveJob &job)
    {
        return std::any_of(job.pending.begin(), job.pending.end(), [](const ItemResult &result) {
            return result.state == ItemState::DeadLetter;
        });
    }

    /// Makes pending results durable until there are none, and settles who owns the job.
    void writeResults(const JobPointer &job)
    {
        while ((!job->pending.empty() || job->isDisputed) && !job->isGone) {
            if (job->isDisputed) {
                reload(job, {});
                continue;
            }
            gatherResults(*job);
            if (job->isDisputed)
                continue;
            const ResultSegment segment{makeUniqueId(m_context.self.text()),
                                        std::move(job->pending)};
            job->pending.clear();
            if (!writeSegment(job, segment))
                continue;
            {
                const std::scoped_lock lock(job->mutex);
                for (const auto &result : segment.results)
                    job->stored.results.push_back(result);
                job->stored.segments += 1;
            }
            noteWritten(*job, segment);
            job->changed.notify_all();
        }
    }

    void noteWritten(const ActiveJob &job, const ResultSegment &segment)
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

    /// Returns false if another process has written the segment; what is pending then is what that
    /// process lacks.
    bool writeSegment(const JobPointer &job, const ResultSegment &segment)
    {
        while (true) {
            const auto written = m_log.append(job->stored.job.id, job->stored.segments, segment);
            if (!written.isError())
                return true;
            if (written.error().kind == ErrorKind::Conflict) {
                reload(job, segment.results);
                return false;
            }
            logStateChange("results-not-written",
                           {{"job", job->stored.job.id}, {"reason", written.error().message}});
            boost::this_fiber::sleep_for(storeRetryPause);
        }
    }

    /// Reads a job again that another process has gone on with.
    void reload(const JobPointer &job, const std::vector<ItemResult> &unwritten)
    {
        const auto id = job->stored.job.id;
        auto loaded = m_log.load(id);
        while (loaded.isError() && loaded.error().kind != ErrorKind::NotFound) {
            boost::this_fiber::sleep_for(storeRetryPause);
            loaded = m_log.load(id);
        }
        if (loaded.isError() || loaded.value().job.owner != m_context.self) {
            drop(job, "another process owns it");
            return;
        }
        {
            const std::scoped_lock lock(job->mutex);
            job->stored = loaded.takeValue();
            job->isDisputed = false;
        }
        // What has been gathered meanwhile may be among the other process's results as well.
        auto gathered = std::exchange(job->pending, {});
        gathered.insert(gathered.end(), unwritten.begin(), unwritten.end());
        for (auto &result : gathered) {
            if (!hasResult(*job, result.item))
                job->pending.push_back(std::move(result));
        }
        job->settled = 0;
        job->openTokens = job->stored.job.tokens();
        for (std::size_t i = 0; i < job->stored.job.items.size(); ++i) {
            if (hasResult(*job, job->stored.job.items[i].id))
                settle(*job, {id, i});
        }
    }

    void drop(const JobPointer &job, const std::string &reason)
    {
        const auto id = job->stored.job.id;
        logStateChange("job-dropped", {{"job", id}, {"reason", reason}});
        job->isGone = true;
        m_queue.removeJob(id);
        stopRunning(*job);
        m_jobs.erase(id);
        job->changed.notify_all();
    }

    static void stopRunning(ActiveJob &job)
    {
        const auto running = job.running;
        for (const auto &stop : running)
            stop->cancellation.cancel();
    }

    ObjectMirror<Store, Pause> makeEndsMirror()
    {
        MirrorIntervals pace;
        pace.minWatchInterval = endsWatchInterval;
        MirrorCallbacks handler;
        handler.onList = [this](const std::vector<StoredObject> &objects, Version) {
            for (const auto &object : objects)
                takeStoredEnd(object);
        };
        handler.onChange = [this](const ObjectChange &change) {
            if (change.isRemoval)
                m_storedEnds.erase(m_log.endedJobOf(change.object));
            else
                takeStoredEnd(change.object);
        };
        handler.isEnabled = [this] { return m_context.peers.shouldWatch(SteadyClock().now()); };
        return m_log.mirrorEnds(pace, std::move(handler));
    }

    /// The process that wrote the end may be gone before its report has reached the job's owner.
    void takeStoredEnd(const StoredObject &object)
    {
        const auto id = m_log.endedJobOf(object);
        if (!m_storedEnds.insert(id).second)
            return;
        stopEnded(id);
        tellEnded(id);
    }

    void tellEnded(const std::string &id)
    {
        m_ended.push_back({id, SteadyClock().now()});
        if (m_ended.size() > maxEndedTold)
            m_ended.pop_front();
        m_context.link.announceJobs();
    }

    void stopEnded(const std::string &id)
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

    void forgetOldEnds()
    {
        const auto oldest = SteadyClock().now() - endedMemory;
        std::erase_if(m_recentEnds, [&](const auto &end) { return end.second < oldest; });
    }

    void forgetOldJobs()
    {
        const auto oldest = unixMilliseconds() - m_context.retention.count();
        std::vector<JobPointer> old;
        for (const auto &[id, job] : m_jobs) {
            const bool isDone = job->stored.isEnded || job->settled == job->progress.size();
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
        const auto oldest = SteadyClock().now() - endedToldTime;
        while (!m_ended.empty() && m_ended.front().at < oldest)
            m_ended.pop_front();
        for (const auto &ended : m_ended)
            report.endedJobs.push_back(ended.id);
    }

    void takeReport(const PeerReport &report, bool isNews)
    {
        for (const auto &id : report.endedJobs)
            stopEnded(id);
        for (const auto hash : report.ownedJobs) {
            for (const auto &[id, job] : m_jobs) {
                if (jobHash(id) == hash)
                    dispute(*job);
            }
        }
        if (isNews)
            logStateChange("peer-heard", {{"peer", report.node.text()}});
    }

    static void dispute(ActiveJob &job)
    {
        job.isDisputed = true;
        job.changed.notify_all();
    }

    /// Doubts all jobs after a time in which nobody could tell this process that they have been
    /// taken over: its own suspension, or the silence of all peers.
    void doubtAfterAbsence(Duration pause)
    {
        const bool wasSuspended = pause > longestPause;
        const bool isAlone = !m_context.peers.isAnyHeard(SteadyClock().now());
        const bool isBack = m_wasAlone && !isAlone;
        m_wasAlone = isAlone;
        if (!wasSuspended && !isBack)
            return;
        logStateChange("jobs-doubted", {{"jobs", std::to_string(m_jobs.size())},
                                        {"reason", wasSuspended ? "suspended" : "alone"}});
        for (const auto &[id, job] : m_jobs)
            dispute(*job);
    }

    void recoveryLoop()
    {
        recover();
        const auto listenUntil = SteadyClock().now() + m_context.listenTime;
        while (true) {
            const auto before = BootClock::now();
            boost::this_fiber::sleep_for(recoveryCheckInterval);
            if (!m_hasListened && SteadyClock().now() >= listenUntil) {
                m_hasListened = true;
                // Among members that are not known, any may have left jobs.
                m_mustRecover |= m_context.peers.processCount() == 0;
            }
            forgetOldEnds();
            doubtAfterAbsence(BootClock::now() - before);
            settleDisputes();
            takeUpUnsettled();
            const auto silent = m_context.peers.takeSilent(SteadyClock().now());
            for (const auto &node : silent)
                logStateChange("peer-silent", {{"peer", node.text()}});
            // A list of all jobs is large: only those read it that something may fall to.
            const bool mayInherit
                    = m_hasListened && !m_context.peers.takeBequests(SteadyClock().now()).empty();
            if (mayInherit || std::exchange(m_mustRecover, false))
                recover();
            m_areOwnJobsKnown |= !m_mustRecover;
        }
    }

    /// Finds out who owns the jobs that are disputed; those with a writer are its business.
    void settleDisputes()
    {
        for (const auto &[id, job] : m_jobs) {
            if (job->isDisputed && !job->isWriting)
                spawnWriter(job);
        }
    }

    /// Takes up the jobs of this process from before its start, and those of processes that are
    /// gone and that fall to this one.
    void recover()
    {
        auto jobs = m_log.listJobs();
        while (jobs.isError()) {
            boost::this_fiber::sleep_for(storeRetryPause);
            jobs = m_log.listJobs();
        }
        for (auto &listed : jobs.value()) {
            if (owns(listed.job.id))
                continue;
            const auto now = SteadyClock().now();
            const bool isOwn = listed.job.owner == m_context.self;
            const bool isOrphan = !isOwn && m_hasListened
                                  && m_context.peers.isHeir(listed.job.owner, listed.job.id, now);
            if (isOwn || isOrphan)
                takeUp(listed.job.id, listed.job.owner);
        }
    }

    /// Takes up jobs that this process owns if they exist.
    void takeUpUnsettled()
    {
        const auto unsettled = m_unsettled;
        for (const auto &[id, submission] : unsettled) {
            auto loaded = m_log.load(id);
            const bool isUnknown = loaded.isError();
            if (isUnknown && SteadyClock().now() < submission.until)
                continue;
            m_unsettled.erase(id);
            if (isUnknown && loaded.error().kind != ErrorKind::NotFound) {
                m_unsettled[id] = submission;
                m_unsettled[id].until = SteadyClock().now() + settleTime;
            }
            if (!isUnknown && loaded.value().job.owner == m_context.self)
                adopt(loaded.takeValue());
        }
    }

    static bool isDoubtful(const Error &error)
    {
        return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Timeout;
    }

    /// Makes this process the owner of a job that it does not run yet.
    void takeUp(const std::string &id, const NodeId &from)
    {
        if (from != m_context.self) {
            const auto taken = m_log.takeOver(id, from, m_context.self);
            if (taken.isError()) {
                noteNotTakenUp(id, taken.error());
                return;
            }
            logStateChange("job-taken-over", {{"job", id}, {"from", from.text()}});
        }
        // The earlier owner may have added results since, and may live: what it writes from now on
        // must not go unnoticed here.
        auto loaded = m_log.loadFenced(id, makeUniqueId(m_context.self.text()));
        if (loaded.isError()) {
            noteNotTakenUp(id, loaded.error());
            return;
        }
        adopt(loaded.takeValue());
    }

    void noteNotTakenUp(const std::string &id, const Error &error)
    {
        logStateChange("job-not-taken-up", {{"job", id}, {"reason", error.message}});
        if (error.kind == ErrorKind::Refused || isDoubtful(error))
            m_mustRecover = true;
    }

    const JobServiceContext m_context;
    JobLog<Store, Pause> m_log;
    ObjectMirror<Store, Pause> m_endsMirror;
    JobQueue m_queue;
    std::unordered_map<std::string, JobPointer> m_jobs;
    /// What peers are told.
    std::deque<EndedJob> m_ended;
    /// Ends that the store has, as far as this process has watched it.
    std::set<std::string> m_storedEnds;
    /// Ends heard of lately, and when.
    std::unordered_map<std::string, TimePoint> m_recentEnds;
    /// Jobs whose submission was in doubt, and until when it stays so.
    std::map<std::string, Unsettled> m_unsettled;
    /// By the names of the limited routes.
    std::map<std::string, LimitState> m_limits;
    Claims m_claims;
    bool m_mustRecover = false;
    bool m_wasAlone = false;
    TimePoint m_nextTurn{};
    /// Read by the thread that ends the process.
    std::atomic<std::size_t> m_runningItems{0};
    std::atomic<std::size_t> m_writers{0};
    std::atomic<bool> m_isDraining{false};
    /// The jobs that this process had before its start have been taken up.
    bool m_areOwnJobsKnown = false;
    /// The peers that live have been heard.
    bool m_hasListened = false;
    boost::fibers::mutex m_workMutex;
    boost::fibers::condition_variable m_work;
};

} // namespace Radishplank
