#pragma once

#include <Catalogue/Catalogue.h>

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Radishplank {

/// Identifies one attempt within a SlotScheduler.
using Ticket = std::uint64_t;

/// OnlineFirst is for serving; ArrivalOrder ignores work classes and is a baseline for comparison.
enum class SlotOrder { OnlineFirst, ArrivalOrder };

struct SlotLimits
{
    std::size_t slots = 1;
    std::size_t onlineQueue = 16;
    std::size_t batchQueue = 4;
    SlotOrder order = SlotOrder::OnlineFirst;
};

/// Whether an attempt was in flight when an upstream crashed.
enum class Suspicion { None, Suspect };

/// Actions that the user of the scheduler has to carry out.
struct SchedulerActions
{
    std::vector<Ticket> start;
    std::vector<Ticket> preempt;
};

struct SlotCounts
{
    std::size_t onlineRunning = 0;
    std::size_t onlineQueued = 0;
    std::size_t batchRunning = 0;
    std::size_t batchQueued = 0;
};

/// Assigns the slots of one upstream to attempts.
///
/// Online attempts start before batch attempts. If batch attempts hold the slots, online attempts
/// preempt the newest of them. Suspects run one at a time, so that a crash shows which of them
/// caused it. Pure: independent of time and threads.
class SlotScheduler
{
public:
    explicit SlotScheduler(SlotLimits limits)
        : m_limits(limits)
    {
    }

    enum class Admission { Accepted, QueueFull };

    /// Adds an attempt; `actions` may start it at once.
    Admission submit(Ticket ticket, WorkClass workClass, Suspicion suspicion,
                     SchedulerActions &actions);
    /// Removes an attempt that has ended or no longer waits, and reassigns its slot.
    SchedulerActions remove(Ticket ticket);

    [[nodiscard]] SlotCounts counts() const;

private:
    struct Waiting
    {
        Ticket ticket = 0;
        Suspicion suspicion = Suspicion::None;
    };
    struct Running
    {
        WorkClass workClass = WorkClass::Online;
        Suspicion suspicion = Suspicion::None;
        bool isPreempted = false;
    };

    [[nodiscard]] bool mayStart(const Waiting &waiting) const;
    bool startNext(std::deque<Waiting> &queue, WorkClass workClass, SchedulerActions &actions);
    void fillSlots(SchedulerActions &actions);
    void preemptForWaiting(SchedulerActions &actions);

    SlotLimits m_limits;
    std::deque<Waiting> m_online;
    std::deque<Waiting> m_batch;
    /// Ordered by ticket, so that the newest batch attempt is the last one.
    std::map<Ticket, Running> m_running;
    std::size_t m_runningSuspects = 0;
};

} // namespace Radishplank
