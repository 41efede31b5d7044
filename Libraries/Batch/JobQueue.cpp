#include <Batch/JobQueue.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Pause after an upstream had no room, which it will have soon.
constexpr Milliseconds notRunPause{50};
/// Pause after a failed run.
constexpr Milliseconds failurePause{200};
/// Pause after the first run that broke off without progress; doubles with each further one.
constexpr Milliseconds firstBreakPause{100};
/// However often upstreams crashed under an item, it is owed, and due within seconds.
constexpr Milliseconds longestBreakPause{2'000};
/// From an item's last event until its result has been read.
constexpr Milliseconds deliveryTime{700};
/// Run times vary, and online calls interrupt them.
constexpr double runTimeReserve = 1.15;

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
    std::pair<bool, TimePoint> nextRank;
    for (const auto &[name, job] : m_jobs) {
        for (std::size_t index = 0; index < job.items.size(); ++index) {
            const auto &item = job.items[index];
            if (!item.isWaiting() || item.notBefore > now)
                continue;
            const bool isLate = slackOf(job, item, now) < Duration(0);
            const std::pair rank(isLate, job.limits.due);
            if (!next || rank < nextRank) {
                next = ItemKey{name, index};
                nextRank = rank;
            }
        }
    }
    if (next) {
        auto *item = find(*next);
        item->isRunning = true;
        item->startedAt = now;
    }
    return next;
}

Duration JobQueue::slackOf(const Job &job, const Item &item, TimePoint now) const
{
    const auto left = std::max(Duration(0), m_runTimes.expected(item.size) - item.ranFor);
    const auto reserved = std::chrono::duration_cast<Duration>(left * runTimeReserve);
    return job.limits.due - deliveryTime - now - reserved;
}

Duration JobQueue::slackOf(const ItemKey &item, TimePoint now) const
{
    const auto found = m_jobs.find(item.job);
    if (found == m_jobs.end() || item.index >= found->second.items.size())
        return Duration(0);
    return slackOf(found->second, found->second.items[item.index], now);
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
    if (hasProgressed) {
        state->breaks = 0;
        state->ranFor += now - state->startedAt;
    }
    switch (end) {
    case ItemRunEnd::Completed:
        m_runTimes.noteDone(state->size, state->ranFor);
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
        state->notBefore = now + doublingPause(firstBreakPause, longestBreakPause, state->breaks);
        state->breaks += 1;
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
    for (const auto &[name, job] : m_jobs) {
        count += static_cast<std::size_t>(
                std::count_if(job.items.begin(), job.items.end(),
                              [](const Item &item) { return item.isWaiting(); }));
    }
    return count;
}

JobQueue::Waiting JobQueue::waitingOf(const std::string &job, TimePoint now) const
{
    Waiting waiting;
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return waiting;
    for (const auto &item : found->second.items) {
        if (!item.isWaiting())
            continue;
        const bool isLate = slackOf(found->second, item, now) < Duration(0);
        (isLate ? waiting.late : waiting.inTime) += 1;
    }
    return waiting;
}

} // namespace Radishplank
