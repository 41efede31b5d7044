#include <Batch/JobQueue.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Retry delay after an upstream had no capacity, which it will have soon.
constexpr Milliseconds noCapacityDelay{50};
/// Retry delay after a failed run.
constexpr Milliseconds failureDelay{200};
/// Retry delay after the first interrupted run without progress; doubles with each further one.
constexpr Milliseconds initialInterruptionDelay{100};
/// Results are due within seconds, so even an item under which many upstreams crashed is retried
/// soon.
constexpr Milliseconds maxInterruptionDelay{2'000};
/// Time from an item's last event until the client has read its result.
constexpr Milliseconds deliveryTime{700};
/// Safety factor: run times vary, and online calls preempt items.
constexpr double runTimeSafetyFactor = 1.15;

} // namespace

void JobQueue::add(const std::string &job, std::span<const double> sizes, const ItemLimits &limits)
{
    auto &added = m_jobs[job];
    added = {limits, std::vector<Item>(sizes.size())};
    for (std::size_t i = 0; i < sizes.size(); ++i)
        added.items[i].size = sizes[i];
}

JobQueue::Item *JobQueue::find(const ItemKey &item)
{
    const auto found = m_jobs.find(item.job);
    if (found == m_jobs.end() || item.index >= found->second.items.size())
        return nullptr;
    return &found->second.items[item.index];
}

void JobQueue::markFinished(const ItemKey &item)
{
    auto *state = find(item);
    if (state == nullptr)
        return;
    state->isFinished = true;
    state->isRunning = false;
}

void JobQueue::removeJob(const std::string &job)
{
    m_jobs.erase(job);
}

void JobQueue::chooseFirst(std::optional<Candidate> &first, const std::string &name, const Job &job,
                           TimePoint now) const
{
    for (std::size_t index = 0; index < job.items.size(); ++index) {
        const auto &item = job.items[index];
        if (!item.isWaiting() || item.notBefore > now || item.postponedUntil > now)
            continue;
        const bool isLate = slackOf(job, item, now) < Duration(0);
        if (!first || std::pair(isLate, job.limits.due) < std::pair(first->isLate, first->due))
            first = Candidate{&name, index, isLate, job.limits.due};
    }
}

ItemKey JobQueue::take(const Candidate &candidate, TimePoint now)
{
    const ItemKey key{*candidate.job, candidate.index};
    auto *item = find(key);
    item->isRunning = true;
    item->startedAt = now;
    return key;
}

Duration JobQueue::slackOf(const Job &job, const Item &item, TimePoint now) const
{
    const auto remaining = std::max(Duration(0), m_runTimes.expected(item.size) - item.runTime);
    const auto reserved = std::chrono::duration_cast<Duration>(remaining * runTimeSafetyFactor);
    return job.limits.due - deliveryTime - now - reserved;
}

Duration JobQueue::slackOf(const ItemKey &item, TimePoint now) const
{
    const auto found = m_jobs.find(item.job);
    if (found == m_jobs.end() || item.index >= found->second.items.size())
        return Duration(0);
    return slackOf(found->second, found->second.items[item.index], now);
}

void JobQueue::requeue(const ItemKey &item)
{
    if (auto *state = find(item))
        state->isRunning = false;
}

void JobQueue::postpone(const ItemKey &item, TimePoint until)
{
    if (auto *state = find(item)) {
        state->isRunning = false;
        state->postponedUntil = until;
    }
}

JobQueue::Disposition JobQueue::recordRun(const ItemKey &item, ItemRunEnd end, bool hasProgressed,
                                          TimePoint now)
{
    auto *state = find(item);
    if (state == nullptr)
        return Disposition::GivenUp;
    state->isRunning = false;
    if (hasProgressed) {
        state->interruptions = 0;
        state->runTime += now - state->startedAt;
    }
    switch (end) {
    case ItemRunEnd::Completed:
        m_runTimes.recordCompletion(state->size, state->runTime);
        return Disposition::Completed;
    case ItemRunEnd::Impossible:
        return Disposition::GivenUp;
    case ItemRunEnd::Failed:
        state->failures += 1;
        state->notBefore = now + failureDelay;
        return state->failures >= m_jobs.at(item.job).limits.maxFailures ? Disposition::GivenUp
                                                                         : Disposition::Retry;
    case ItemRunEnd::NotRun:
        state->notBefore = now + noCapacityDelay;
        return Disposition::Retry;
    case ItemRunEnd::Preempted:
        return Disposition::Retry;
    case ItemRunEnd::Interrupted:
        state->notBefore = now
                           + exponentialBackoff(initialInterruptionDelay, maxInterruptionDelay,
                                                state->interruptions);
        state->interruptions += 1;
        return Disposition::Retry;
    }
    return Disposition::Retry;
}

std::vector<ItemKey> JobQueue::takeExpired(TimePoint now)
{
    std::vector<ItemKey> expired;
    for (auto &[name, job] : m_jobs) {
        if (now < job.limits.expiresAt)
            continue;
        for (std::size_t index = 0; index < job.items.size(); ++index) {
            auto &item = job.items[index];
            if (item.isFinished || item.isRunning)
                continue;
            item.isFinished = true;
            expired.push_back({name, index});
        }
    }
    return expired;
}

std::size_t JobQueue::waiting() const
{
    std::size_t count = 0;
    for (const auto &[name, job] : m_jobs) {
        count += static_cast<std::size_t>(
                std::count_if(job.items.begin(), job.items.end(),
                              [](const Item &item) { return item.isWaiting(); }));
    }
    return count;
}

JobQueue::WaitingItems JobQueue::waitingOf(const std::string &job, TimePoint now) const
{
    WaitingItems waiting;
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return waiting;
    for (const auto &item : found->second.items) {
        if (!item.isWaiting() || item.postponedUntil > now)
            continue;
        const bool isLate = slackOf(found->second, item, now) < Duration(0);
        (isLate ? waiting.late : waiting.inTime) += 1;
    }
    return waiting;
}

} // namespace Radishplank
