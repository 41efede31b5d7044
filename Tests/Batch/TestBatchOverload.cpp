#include <Batch/Batch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace Radishplank;

namespace {

constexpr std::size_t slots = 20;
constexpr Milliseconds stepTime{50};
constexpr Milliseconds runTime{5'000};
/// Delay between the completion of an item and the read of its result.
constexpr Milliseconds readTime{500};

enum class Order {
    Queue,                ///< JobQueue.
    FirstComeFirstServed, ///< Baseline.
    EarliestDue,          ///< Baseline: JobQueue without run time estimates.
};

struct SimulatedItem
{
    ItemKey key;
    double size = 1;
    TimePoint arrivedAt;
    TimePoint due;
    Duration remaining{};
    Duration slack{};
    bool isRunning = false;
    bool isDone = false;
};

struct CompletionCounts
{
    std::size_t items = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t preemptions = 0;
};

/// Simulates slots that run jobs and that online calls occupy briefly from time to time.
class Simulation
{
public:
    Simulation(Order order, double overload)
        : m_order(order)
        , m_jobsPerStep(overload * slots * std::chrono::duration<double>(stepTime).count()
                        / std::chrono::duration<double>(runTime).count() / itemsPerJob)
    {
    }

    CompletionCounts simulate(Milliseconds arrivalTime, Milliseconds totalTime)
    {
        const auto begin = m_now;
        while (m_now < begin + totalTime) {
            m_now += stepTime;
            if (m_now < begin + arrivalTime)
                addJobs();
            advanceRuns();
            occupyOnlineSlots();
            fillSlots();
        }
        m_counts.items = m_items.size();
        return m_counts;
    }

private:
    static constexpr std::size_t itemsPerJob = 10;

    double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void addJobs()
    {
        m_pendingJobs += m_jobsPerStep;
        while (m_pendingJobs >= 1) {
            m_pendingJobs -= 1;
            const auto job = "job" + std::to_string(1'000'000 + m_items.size());
            const bool isUrgent = randomFraction() < 0.3;
            ItemLimits limits;
            limits.due = m_now + (isUrgent ? Milliseconds(10'000) : Milliseconds(18'000));
            limits.expiresAt = m_now + std::chrono::seconds(60);
            std::vector<double> sizes;
            for (std::size_t i = 0; i < itemsPerJob; ++i)
                sizes.push_back(0.6 + 0.8 * randomFraction());
            for (std::size_t i = 0; i < itemsPerJob; ++i) {
                const auto remaining = std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(runTime) * sizes[i]
                        * (0.9 + 0.2 * randomFraction()));
                m_itemIndexes[{job, i}] = m_items.size();
                m_items.push_back(
                        {{job, i}, sizes[i], m_now, limits.due, remaining, {}, false, false});
            }
            m_queue.add(job, sizes, limits);
        }
    }

    void advanceRuns()
    {
        for (auto &item : m_items) {
            if (!item.isRunning)
                continue;
            item.remaining -= stepTime;
            if (item.remaining > Duration(0))
                continue;
            item.isRunning = false;
            item.isDone = true;
            m_running -= 1;
            (m_now + readTime <= item.due ? m_counts.inTime : m_counts.late) += 1;
            m_queue.recordRun(item.key, ItemRunEnd::Completed, true, m_now);
            m_queue.markFinished(item.key);
        }
    }

    /// Online calls occupy between none and a third of the slots, changing about once a second.
    void occupyOnlineSlots()
    {
        m_onlineSlots = m_random() % 20 == 0 ? m_random() % (slots / 3) : m_onlineSlots;
        while (m_running + m_onlineSlots > slots) {
            SimulatedItem *stopped = nullptr;
            for (auto &item : m_items) {
                if (!item.isRunning)
                    continue;
                const auto rank = [](const SimulatedItem &each) {
                    return std::pair(each.slack < Duration(0), each.slack);
                };
                if (stopped == nullptr || m_order != Order::Queue || rank(*stopped) < rank(item))
                    stopped = &item;
            }
            stopped->isRunning = false;
            m_running -= 1;
            m_counts.preemptions += 1;
            m_queue.recordRun(stopped->key, ItemRunEnd::Preempted, true, m_now);
        }
    }

    SimulatedItem *nextItem()
    {
        if (m_order == Order::Queue) {
            const auto key = m_queue.takeNext(m_now);
            return key ? &m_items[m_itemIndexes.at(*key)] : nullptr;
        }
        SimulatedItem *best = nullptr;
        for (auto &item : m_items) {
            if (item.isRunning || item.isDone)
                continue;
            const bool isBetter
                    = best != nullptr && m_order == Order::EarliestDue && item.due < best->due;
            if (best == nullptr || isBetter)
                best = &item;
        }
        return best;
    }

    void fillSlots()
    {
        while (m_running + m_onlineSlots < slots) {
            auto *item = nextItem();
            if (item == nullptr)
                return;
            item->isRunning = true;
            item->slack = m_queue.slackOf(item->key, m_now);
            m_running += 1;
        }
    }

    const Order m_order;
    const double m_jobsPerStep;
    RandomEngine m_random{11};
    TimePoint m_now{std::chrono::seconds(1'000)};
    double m_pendingJobs = 0;
    std::vector<SimulatedItem> m_items;
    std::map<ItemKey, std::size_t> m_itemIndexes;
    std::size_t m_running = 0;
    std::size_t m_onlineSlots = 0;
    JobQueue m_queue;
    CompletionCounts m_counts;
};

CompletionCounts simulateOverload(Order order, double overload)
{
    return Simulation(order, overload).simulate(Milliseconds(40'000), Milliseconds(60'000));
}

} // namespace

TEST_CASE("Under overload, most started items finish on time", "[BatchOverload]")
{
    constexpr double overload = 2;
    const auto served = simulateOverload(Order::Queue, overload);
    const auto firstCome = simulateOverload(Order::FirstComeFirstServed, overload);
    const auto earliestDue = simulateOverload(Order::EarliestDue, overload);
    CAPTURE(served.items, served.inTime, served.late, firstCome.inTime, firstCome.late,
            earliestDue.inTime, earliestDue.late);

    SECTION("Most of the capacity produces results on time")
    {
        // While jobs arrive, the slots can run half of the items, less the share of online calls.
        CHECK(served.inTime >= served.items * 35 / 100);
    }
    SECTION("The baseline orders complete far fewer items on time")
    {
        CHECK(served.inTime >= firstCome.inTime * 3 / 2);
        CHECK(served.inTime >= earliestDue.inTime * 3 / 2);
    }
    SECTION("Late items still complete, after the others")
    {
        CHECK(served.late > 0);
        CHECK(served.inTime + served.late >= (earliestDue.inTime + earliestDue.late) * 95 / 100);
    }
}

TEST_CASE("Without overload, no item is late", "[BatchOverload]")
{
    const auto served = simulateOverload(Order::Queue, 0.7);
    CHECK(served.items > 0);
    CHECK(served.inTime == served.items);
}
