#include <Batch/Batch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace Radishplank;

namespace {

constexpr std::size_t slots = 20;
constexpr Milliseconds stepTime{50};
constexpr Milliseconds runTime{5'000};
/// A result is read some time after it is there.
constexpr Milliseconds readTime{500};

enum class Order {
    Queue,                ///< JobQueue.
    FirstComeFirstServed, ///< Baseline.
    EarliestDue,          ///< Baseline: the order of JobQueue before it knew run times.
};

struct SimulatedItem
{
    ItemKey key;
    double size = 1;
    TimePoint arrivedAt;
    TimePoint due;
    Duration left{};
    Duration slack{};
    bool isRunning = false;
    bool isDone = false;
};

struct Served
{
    std::size_t items = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t interruptions = 0;
};

/// Slots that jobs run on, and that online calls take away now and then for a moment.
class Simulation
{
public:
    Simulation(Order order, double overload)
        : m_order(order)
        , m_jobsPerStep(overload * slots * std::chrono::duration<double>(stepTime).count()
                        / std::chrono::duration<double>(runTime).count() / itemsPerJob)
    {
    }

    Served play(Milliseconds arrivals, Milliseconds whole)
    {
        const auto begin = m_now;
        while (m_now < begin + whole) {
            m_now += stepTime;
            if (m_now < begin + arrivals)
                addJobs();
            run();
            takeSlotsForOnline();
            fillSlots();
        }
        m_served.items = m_items.size();
        return m_served;
    }

private:
    static constexpr std::size_t itemsPerJob = 10;

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void addJobs()
    {
        m_jobsOwed += m_jobsPerStep;
        while (m_jobsOwed >= 1) {
            m_jobsOwed -= 1;
            const auto job = "job" + std::to_string(1'000'000 + m_items.size());
            const bool isHasty = draw() < 0.3;
            ItemLimits limits;
            limits.due = m_now + (isHasty ? Milliseconds(10'000) : Milliseconds(18'000));
            limits.patienceEnd = m_now + std::chrono::seconds(60);
            std::vector<double> sizes;
            for (std::size_t i = 0; i < itemsPerJob; ++i)
                sizes.push_back(0.6 + 0.8 * draw());
            for (std::size_t i = 0; i < itemsPerJob; ++i) {
                const auto left = std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(runTime) * sizes[i] * (0.9 + 0.2 * draw()));
                m_places[{job, i}] = m_items.size();
                m_items.push_back({{job, i}, sizes[i], m_now, limits.due, left, {}, false, false});
            }
            m_queue.add(job, sizes, limits);
        }
    }

    void run()
    {
        for (auto &item : m_items) {
            if (!item.isRunning)
                continue;
            item.left -= stepTime;
            if (item.left > Duration(0))
                continue;
            item.isRunning = false;
            item.isDone = true;
            m_running -= 1;
            (m_now + readTime <= item.due ? m_served.inTime : m_served.late) += 1;
            m_queue.noteRun(item.key, ItemRunEnd::Completed, true, m_now);
            m_queue.settle(item.key);
        }
    }

    /// Between none and a third of the slots, changing each second.
    void takeSlotsForOnline()
    {
        m_taken = m_random() % 20 == 0 ? m_random() % (slots / 3) : m_taken;
        while (m_running + m_taken > slots) {
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
            m_served.interruptions += 1;
            m_queue.noteRun(stopped->key, ItemRunEnd::Preempted, true, m_now);
        }
    }

    SimulatedItem *next()
    {
        if (m_order == Order::Queue) {
            const auto key = m_queue.takeNext(m_now);
            return key ? &m_items[m_places.at(*key)] : nullptr;
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
        while (m_running + m_taken < slots) {
            auto *item = next();
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
    double m_jobsOwed = 0;
    std::vector<SimulatedItem> m_items;
    std::map<ItemKey, std::size_t> m_places;
    std::size_t m_running = 0;
    std::size_t m_taken = 0;
    JobQueue m_queue;
    Served m_served;
};

Served playOverload(Order order, double overload)
{
    return Simulation(order, overload).play(Milliseconds(40'000), Milliseconds(60'000));
}

} // namespace

TEST_CASE("More jobs than can be done: what is started is in time", "[BatchOverload]")
{
    constexpr double overload = 2;
    const auto served = playOverload(Order::Queue, overload);
    const auto firstCome = playOverload(Order::FirstComeFirstServed, overload);
    const auto earliestDue = playOverload(Order::EarliestDue, overload);
    CAPTURE(served.items, served.inTime, served.late, firstCome.inTime, firstCome.late,
            earliestDue.inTime, earliestDue.late);

    SECTION("Most of what the slots can do is in time")
    {
        // The slots do half of the items while jobs arrive, less what online calls take.
        CHECK(served.inTime >= served.items * 35 / 100);
    }
    SECTION("Baselines: in other orders nearly all is done too late")
    {
        CHECK(served.inTime >= firstCome.inTime * 3 / 2);
        CHECK(served.inTime >= earliestDue.inTime * 3 / 2);
    }
    SECTION("What is late is done all the same, after the rest")
    {
        CHECK(served.late > 0);
        CHECK(served.inTime + served.late >= (earliestDue.inTime + earliestDue.late) * 95 / 100);
    }
}

TEST_CASE("As many jobs as can be done: none is late", "[BatchOverload]")
{
    const auto served = playOverload(Order::Queue, 0.7);
    CHECK(served.items > 0);
    CHECK(served.inTime == served.items);
}
