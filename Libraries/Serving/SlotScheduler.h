#pragma once

#include <Catalogue/Catalogue.h>

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Radishplank {

/// Names one attempt within a SlotScheduler.
using Ticket = std::uint64_t;

/// OnlineFirst serves; ArrivalOrder knows no classes and is there to compare with.
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

/// What the owner of the scheduler has to do next.
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

/// Decides which attempts hold the slots of one upstream.
///
/// Online attempts start before batch ones and, if batch holds the slots, preempt the newest batch
/// attempts. Suspects run one at a time, so that a crash tells which of them caused it. Pure: it
/// knows neither time nor threads.
class SlotScheduler
{
public:
    explicit SlotScheduler(SlotLimits limits)
        : m_limits(limits)
    {
    }

    enum class Admission { Accepted, QueueFull };

    /// Adds an attempt; the actions may start it at once.
    Admission submit(Ticket ticket, WorkClass workClass, Suspicion suspicion,
                     SchedulerActions &actions);
    /// Removes an attempt that has ended, or no longer waits, and passes on its slot.
    SchedulerActions leave(Ticket ticket);

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
    /// Ordered by ticket, so that the newest batch attempt is found from the end.
    std::map<Ticket, Running> m_running;
    std::size_t m_runningSuspects = 0;
};

} // namespace Radishplank
