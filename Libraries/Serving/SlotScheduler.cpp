#include <Serving/SlotScheduler.h>

#include <algorithm>

namespace Radishplank {

SlotScheduler::Admission SlotScheduler::submit(Ticket ticket, WorkClass workClass,
                                               Suspicion suspicion, SchedulerActions &actions)
{
    if (m_limits.order == SlotOrder::ArrivalOrder)
        workClass = WorkClass::Online;
    const bool isOnline = workClass == WorkClass::Online;
    auto &queue = isOnline ? m_online : m_batch;
    queue.push_back({ticket, suspicion});
    fillSlots(actions);
    const std::size_t limit = isOnline ? m_limits.onlineQueue : m_limits.batchQueue;
    const bool isWaiting = !queue.empty() && queue.back().ticket == ticket;
    if (isWaiting && queue.size() > limit) {
        queue.pop_back();
        return Admission::QueueFull;
    }
    preemptForWaiting(actions);
    return Admission::Accepted;
}

SchedulerActions SlotScheduler::remove(Ticket ticket)
{
    SchedulerActions actions;
    const auto isTicket = [ticket](const Waiting &waiting) { return waiting.ticket == ticket; };
    std::erase_if(m_online, isTicket);
    std::erase_if(m_batch, isTicket);
    const auto found = m_running.find(ticket);
    if (found != m_running.end()) {
        if (found->second.suspicion == Suspicion::Suspect)
            m_runningSuspects -= 1;
        m_running.erase(found);
    }
    fillSlots(actions);
    preemptForWaiting(actions);
    return actions;
}

SlotCounts SlotScheduler::counts() const
{
    SlotCounts counts;
    counts.onlineQueued = m_online.size();
    counts.batchQueued = m_batch.size();
    for (const auto &[ticket, running] : m_running) {
        if (running.workClass == WorkClass::Online)
            counts.onlineRunning += 1;
        else
            counts.batchRunning += 1;
    }
    return counts;
}

bool SlotScheduler::mayStart(const Waiting &waiting) const
{
    return waiting.suspicion == Suspicion::None || m_runningSuspects == 0;
}

bool SlotScheduler::startNext(std::deque<Waiting> &queue, WorkClass workClass,
                              SchedulerActions &actions)
{
    const auto next = std::find_if(queue.begin(), queue.end(),
                                   [this](const Waiting &waiting) { return mayStart(waiting); });
    if (next == queue.end())
        return false;
    const Waiting chosen = *next;
    queue.erase(next);
    m_running[chosen.ticket] = {workClass, chosen.suspicion, false};
    if (chosen.suspicion == Suspicion::Suspect)
        m_runningSuspects += 1;
    actions.start.push_back(chosen.ticket);
    return true;
}

void SlotScheduler::fillSlots(SchedulerActions &actions)
{
    while (m_running.size() < m_limits.slots) {
        if (startNext(m_online, WorkClass::Online, actions))
            continue;
        if (!startNext(m_batch, WorkClass::Batch, actions))
            return;
    }
}

void SlotScheduler::preemptForWaiting(SchedulerActions &actions)
{
    std::size_t wanted = static_cast<std::size_t>(
            std::count_if(m_online.begin(), m_online.end(),
                          [this](const Waiting &waiting) { return mayStart(waiting); }));
    for (const auto &[ticket, running] : m_running) {
        if (running.isPreempted && wanted > 0)
            wanted -= 1;
    }
    for (auto running = m_running.rbegin(); running != m_running.rend() && wanted > 0; ++running) {
        if (running->second.workClass != WorkClass::Batch || running->second.isPreempted)
            continue;
        running->second.isPreempted = true;
        actions.preempt.push_back(running->first);
        wanted -= 1;
    }
}

} // namespace Radishplank
