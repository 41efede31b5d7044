#include <Serving/Serving.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace Radishplank;

namespace {

constexpr SlotLimits limits{2, 2, 2};

} // namespace

TEST_CASE("Online attempts take slots before batch ones")
{
    SlotScheduler scheduler(limits);
    SchedulerActions actions;
    const auto submit
            = [&](Ticket ticket, WorkClass workClass, Suspicion suspicion = Suspicion::None) {
                  actions = {};
                  return scheduler.submit(ticket, workClass, suspicion, actions);
              };

    SECTION("With batch on every slot, an online attempt preempts the newest batch attempt")
    {
        submit(1, WorkClass::Batch);
        submit(2, WorkClass::Batch);
        CHECK(actions.start == std::vector<Ticket>{2});
        submit(3, WorkClass::Online);
        CHECK(actions.start.empty());
        CHECK(actions.preempt == std::vector<Ticket>{2});
        SECTION("and starts as soon as that one has been removed")
        {
            CHECK(scheduler.remove(2).start == std::vector<Ticket>{3});
        }
        SECTION("and does not preempt a second one")
        {
            submit(4, WorkClass::Batch);
            CHECK(actions.preempt.empty());
        }
    }
    SECTION("A freed slot goes to a waiting online attempt, not to an earlier batch attempt")
    {
        submit(1, WorkClass::Online);
        submit(2, WorkClass::Online);
        submit(3, WorkClass::Batch);
        submit(4, WorkClass::Online);
        CHECK(scheduler.remove(1).start == std::vector<Ticket>{4});
    }
    SECTION("A full queue refuses attempts at once")
    {
        for (Ticket ticket = 1; ticket <= 4; ++ticket)
            CHECK(submit(ticket, WorkClass::Online) == SlotScheduler::Admission::Accepted);
        CHECK(submit(5, WorkClass::Online) == SlotScheduler::Admission::QueueFull);
        CHECK(scheduler.counts().onlineQueued == 2);
    }
    SECTION("Suspects run one at a time, and other attempts overtake waiting suspects")
    {
        submit(1, WorkClass::Online, Suspicion::Suspect);
        CHECK(actions.start == std::vector<Ticket>{1});
        submit(2, WorkClass::Online, Suspicion::Suspect);
        CHECK(actions.start.empty());
        submit(3, WorkClass::Online);
        CHECK(actions.start == std::vector<Ticket>{3});
        CHECK(scheduler.remove(1).start == std::vector<Ticket>{2});
    }
}

TEST_CASE("In any order of events, no slot is lost or assigned twice")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        RandomEngine random(seed);
        SlotScheduler scheduler({3, 4, 2});
        std::map<Ticket, WorkClass> running;
        std::map<Ticket, WorkClass> waiting;
        std::vector<Ticket> preempted;
        Ticket next = 1;
        const auto apply = [&](const SchedulerActions &actions) {
            for (const auto ticket : actions.start) {
                REQUIRE(waiting.contains(ticket));
                running[ticket] = waiting[ticket];
                waiting.erase(ticket);
            }
            for (const auto ticket : actions.preempt) {
                REQUIRE(running.at(ticket) == WorkClass::Batch);
                preempted.push_back(ticket);
            }
            REQUIRE(running.size() <= 3);
        };
        for (int step = 0; step < 200; ++step) {
            if (randomBelow(random, 2) == 0) {
                const auto workClass
                        = randomBelow(random, 2) == 0 ? WorkClass::Online : WorkClass::Batch;
                const Ticket ticket = next++;
                waiting[ticket] = workClass;
                SchedulerActions actions;
                const auto admission
                        = scheduler.submit(ticket, workClass, Suspicion::None, actions);
                if (admission == SlotScheduler::Admission::QueueFull)
                    waiting.erase(ticket);
                apply(actions);
            } else if (!preempted.empty()) {
                const auto ticket = preempted.back();
                preempted.pop_back();
                running.erase(ticket);
                apply(scheduler.remove(ticket));
            } else if (!running.empty()) {
                const auto ticket = running.begin()->first;
                running.erase(ticket);
                apply(scheduler.remove(ticket));
            }
            const bool isOnlineWaiting
                    = std::any_of(waiting.begin(), waiting.end(), [](const auto &item) {
                          return item.second == WorkClass::Online;
                      });
            const bool isSlotIdle = running.size() < 3;
            REQUIRE_FALSE((isSlotIdle && !waiting.empty()));
            const auto batchRunning
                    = std::count_if(running.begin(), running.end(), [](const auto &item) {
                          return item.second == WorkClass::Batch;
                      });
            // An online attempt waits only for online attempts or for preempted batch attempts.
            REQUIRE_FALSE((isOnlineWaiting && batchRunning > 0 && preempted.empty()));
        }
    }
}
