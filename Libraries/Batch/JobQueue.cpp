#include <Batch/JobQueue.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Pause after an upstream had no room, which it will have soon.
constexpr Milliseconds notRunPause{50};
/// Pause after a failed run.
constexpr Milliseconds failurePause{200};
/// Pause after the first run that broke off without progress; doubles with each further one.
constexpr Milliseconds breakPause{100};
/// An item that upstreams break off at so often in a row may be what breaks them.
constexpr unsigned breaksToSuspect = 3;
constexpr Milliseconds suspectPause{15'000};

} // namespace

void JobQueue::add(const std::string &job, std::size_t items, const ItemLimits &limits)
{
    m_jobs[job] = {limits, std::vector<Item>(items)};
}

JobQueue::Item *JobQueue::find(const ItemKey &item)
{
    const auto found = m_jobs.find(item.job);
    if (found == m_jobs.end() || item.index >= found->second.items.size())
        return nullptr;
    return &found->second.items[item.index];
}

void JobQueue::settle(const ItemKey &item)
{
    auto *state = find(item);
    if (state == nullptr)
        return;
    state->isSettled = true;
    state->isRunning = false;
}

void JobQueue::removeJob(const std::string &job)
{
    m_jobs.erase(job);
}

std::optional<ItemKey> JobQueue::takeNext(TimePoint now)
{
    std::optional<ItemKey> next;
    TimePoint nextDue{};
    for (const auto &[name, job] : m_jobs) {
        if (next && job.limits.due >= nextDue)
            continue;
        const auto isReady = [&](const Item &item) {
            return !item.isRunning && !item.isSettled && item.notBefore <= now;
        };
        const auto found = std::find_if(job.items.begin(), job.items.end(), isReady);
        if (found == job.items.end())
            continue;
        next = ItemKey{name, static_cast<std::size_t>(found - job.items.begin())};
        nextDue = job.limits.due;
    }
    if (next)
        find(*next)->isRunning = true;
    return next;
}

void JobQueue::putBack(const ItemKey &item)
{
    if (auto *state = find(item))
        state->isRunning = false;
}

JobQueue::Verdict JobQueue::noteRun(const ItemKey &item, ItemRunEnd end, bool hasProgressed,
                                    TimePoint now)
{
    auto *state = find(item);
    if (state == nullptr)
        return Verdict::GivenUp;
    state->isRunning = false;
    if (hasProgressed)
        state->breaks = 0;
    switch (end) {
    case ItemRunEnd::Completed:
        return Verdict::Completed;
    case ItemRunEnd::Impossible:
        return Verdict::GivenUp;
    case ItemRunEnd::Failed:
        state->failures += 1;
        state->notBefore = now + failurePause;
        return state->failures >= m_jobs.at(item.job).limits.maxFailures ? Verdict::GivenUp
                                                                         : Verdict::RunAgain;
    case ItemRunEnd::NotRun:
        state->notBefore = now + notRunPause;
        return Verdict::RunAgain;
    case ItemRunEnd::Preempted:
        return Verdict::RunAgain;
    case ItemRunEnd::Interrupted:
        state->breaks += 1;
        state->notBefore
                = now
                  + (state->breaks >= breaksToSuspect ? suspectPause
                                                      : breakPause * (1U << (state->breaks - 1)));
        return Verdict::RunAgain;
    }
    return Verdict::RunAgain;
}

std::vector<ItemKey> JobQueue::takeExpired(TimePoint now)
{
    std::vector<ItemKey> expired;
    for (auto &[name, job] : m_jobs) {
        if (now < job.limits.patienceEnd)
            continue;
        for (std::size_t index = 0; index < job.items.size(); ++index) {
            auto &item = job.items[index];
            if (item.isSettled || item.isRunning)
                continue;
            item.isSettled = true;
            expired.push_back({name, index});
        }
    }
    return expired;
}

std::size_t JobQueue::waiting() const
{
    std::size_t count = 0;
    for (const auto &[name, job] : m_jobs)
        count += waitingItems(job);
    return count;
}

std::size_t JobQueue::waitingOf(const std::string &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : waitingItems(found->second);
}

std::size_t JobQueue::waitingItems(const Job &job)
{
    return static_cast<std::size_t>(
            std::count_if(job.items.begin(), job.items.end(),
                          [](const Item &item) { return !item.isRunning && !item.isSettled; }));
}

} // namespace Radishplank
