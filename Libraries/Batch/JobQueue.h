#pragma once

#include <Batch/RunTimeEstimate.h>
#include <Core/Core.h>

#include <concepts>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// How a run of an item ended.
enum class ItemRunEnd {
    Completed,   ///< Its output is complete.
    NotRun,      ///< No upstream started it.
    Preempted,   ///< It was preempted by an online call.
    Interrupted, ///< The upstream failed midway; the output received so far is kept.
    Failed,      ///< The upstream reported that this run failed.
    Impossible,  ///< The upstream reported a permanent error: no run can succeed.
};

/// Retry limits and deadlines of a job's items.
struct ItemLimits
{
    /// Number of failed runs after which the item is given up.
    unsigned maxFailures = 3;
    /// Time at which the results of the job are due.
    TimePoint due;
    /// Time from which an item that is not running may be given up.
    TimePoint expiresAt;
};

struct ItemKey
{
    std::string job;
    std::size_t index = 0;

    auto operator<=>(const ItemKey &) const = default;
};

/// Schedules the items of all jobs and decides on retries after each run. Performs no I/O.
///
/// Earliest due time first, so that in a burst a new job does not delay one that has waited. Under
/// overload, items that would miss their due time according to the run times observed so far rank
/// behind all items that can still meet theirs; otherwise each item would start just too late.
class JobQueue
{
public:
    /// Adds a job's items. Run times are assumed proportional to the sizes, whatever their unit.
    void add(const std::string &job, std::span<const double> sizes, const ItemLimits &limits);
    /// Removes an item from scheduling because it has a result.
    void markFinished(const ItemKey &item);
    void removeJob(const std::string &job);

    /// Returns the item to run next and marks it as running.
    std::optional<ItemKey> takeNext(TimePoint now)
    {
        return takeNext(now, [](const std::string &) { return true; });
    }
    /// As above, of the jobs of which items may be started.
    template<std::predicate<const std::string &> MayStart>
    std::optional<ItemKey> takeNext(TimePoint now, MayStart mayStart)
    {
        std::optional<Candidate> first;
        for (const auto &[name, job] : m_jobs) {
            if (mayStart(name))
                chooseFirst(first, name, job, now);
        }
        return first ? take(*first, now) : std::optional<ItemKey>();
    }
    /// Returns an item from takeNext() that was not started.
    void requeue(const ItemKey &item);
    /// Returns an item from takeNext() that must not be started before the given time.
    void postpone(const ItemKey &item, TimePoint until);

    enum class Disposition { Retry, Completed, GivenUp };
    /// Records the end of a run; `hasProgressed` is true if the run has added to the output.
    Disposition recordRun(const ItemKey &item, ItemRunEnd end, bool hasProgressed, TimePoint now);
    /// Returns the expired items that are not running, and marks them as finished.
    std::vector<ItemKey> takeExpired(TimePoint now);

    [[nodiscard]] std::size_t waiting() const;
    /// Counts a job's items that are neither running nor finished.
    struct WaitingItems
    {
        /// Items that can still finish by their due time.
        std::size_t inTime = 0;
        std::size_t late = 0;
    };
    [[nodiscard]] WaitingItems waitingOf(const std::string &job, TimePoint now) const;
    /// Returns how long the start of an item can be delayed without missing its due time; negative
    /// if it will be late.
    [[nodiscard]] Duration slackOf(const ItemKey &item, TimePoint now) const;
    [[nodiscard]] bool contains(const std::string &job) const { return m_jobs.contains(job); }

private:
    struct Item
    {
        bool isRunning = false;
        bool isFinished = false;
        unsigned failures = 0;
        /// Consecutive runs that were interrupted without any progress.
        unsigned interruptions = 0;
        TimePoint notBefore{};
        /// Until then the item does not compete for slots.
        TimePoint postponedUntil{};
        double size = 1;
        TimePoint startedAt{};
        /// Total time of all ended runs that made progress.
        Duration runTime{};

        [[nodiscard]] bool isWaiting() const { return !isRunning && !isFinished; }
    };
    struct Job
    {
        ItemLimits limits;
        std::vector<Item> items;
    };

    /// An item that may run next.
    struct Candidate
    {
        const std::string *job = nullptr;
        std::size_t index = 0;
        bool isLate = false;
        TimePoint due;
    };

    /// Replaces the candidate if the job has an item that ranks before it.
    void chooseFirst(std::optional<Candidate> &first, const std::string &name, const Job &job,
                     TimePoint now) const;
    ItemKey take(const Candidate &candidate, TimePoint now);
    Item *find(const ItemKey &item);
    [[nodiscard]] Duration slackOf(const Job &job, const Item &item, TimePoint now) const;

    std::map<std::string, Job> m_jobs;
    RunTimeEstimate m_runTimes;
};

} // namespace Radishplank
