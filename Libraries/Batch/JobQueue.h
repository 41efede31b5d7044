#pragma once

#include <Batch/RunTimeEstimate.h>
#include <Core/Core.h>

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
    Completed,   ///< Its output is whole.
    NotRun,      ///< No upstream has worked on it.
    Preempted,   ///< It gave its slot to an online call.
    Interrupted, ///< The upstream broke off; what it has sent counts.
    Failed,      ///< The upstream has answered that this run failed.
    Impossible,  ///< The upstream has answered that no run can succeed.
};

/// When an item may run again, and when it is given up.
struct ItemLimits
{
    /// Runs that may fail before the item is given up.
    unsigned maxFailures = 3;
    /// The results of the job are due then.
    TimePoint due;
    /// The item may be given up then.
    TimePoint patienceEnd;
};

struct ItemKey
{
    std::string job;
    std::size_t index = 0;

    auto operator<=>(const ItemKey &) const = default;
};

/// Decides which item of all jobs runs next, and what becomes of an item after a run. Pure.
///
/// Answers the load of jobs that come in bunches: the item whose job is due first goes first, so a
/// job that has just come does not delay one that has waited. And the load of more jobs than can be
/// done: an item that would be done too late, by the run times seen so far, goes behind all that
/// can still be in time; else each item would be started just too late.
class JobQueue
{
public:
    /// Adds a job's items; run times are taken to grow with the sizes, which are in any unit.
    void add(const std::string &job, std::span<const double> sizes, const ItemLimits &limits);
    /// Takes an item out for good, because it has a result.
    void settle(const ItemKey &item);
    void removeJob(const std::string &job);

    /// Returns the item that should run next, and marks it as running.
    std::optional<ItemKey> takeNext(TimePoint now);
    /// Puts an item back that has not been started after all.
    void putBack(const ItemKey &item);

    enum class Verdict { RunAgain, Completed, GivenUp };
    /// Notes the end of a run; `hasProgressed` tells whether the run has added to the output.
    Verdict noteRun(const ItemKey &item, ItemRunEnd end, bool hasProgressed, TimePoint now);
    /// Returns items that nobody needs to wait for any more, and settles them.
    std::vector<ItemKey> takeExpired(TimePoint now);

    [[nodiscard]] std::size_t waiting() const;
    /// Items of a job that neither run nor are settled.
    struct Waiting
    {
        /// They can be done by the time at which they are due.
        std::size_t inTime = 0;
        std::size_t late = 0;
    };
    [[nodiscard]] Waiting waitingOf(const std::string &job, TimePoint now) const;
    /// Returns how much later an item could start and still be in time; negative if it will be
    /// late.
    [[nodiscard]] Duration slackOf(const ItemKey &item, TimePoint now) const;
    [[nodiscard]] bool contains(const std::string &job) const { return m_jobs.contains(job); }

private:
    struct Item
    {
        bool isRunning = false;
        bool isSettled = false;
        unsigned failures = 0;
        /// Runs in a row that broke off without any progress.
        unsigned breaks = 0;
        TimePoint notBefore{};
        double size = 1;
        TimePoint startedAt{};
        /// In all runs that are over.
        Duration ranFor{};

        [[nodiscard]] bool isWaiting() const { return !isRunning && !isSettled; }
    };
    struct Job
    {
        ItemLimits limits;
        std::vector<Item> items;
    };

    Item *find(const ItemKey &item);
    [[nodiscard]] Duration slackOf(const Job &job, const Item &item, TimePoint now) const;

    std::map<std::string, Job> m_jobs;
    RunTimeEstimate m_runTimes;
};

} // namespace Radishplank
