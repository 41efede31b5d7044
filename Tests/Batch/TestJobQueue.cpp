#include <Batch/Batch.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

const TimePoint start{std::chrono::seconds(1'000)};

std::vector<double> sizesOf(std::size_t items)
{
    return std::vector<double>(items, 1);
}

ItemLimits dueAfter(Milliseconds due)
{
    ItemLimits limits;
    limits.due = start + due;
    limits.patienceEnd = start + due + std::chrono::seconds(60);
    limits.maxFailures = 3;
    return limits;
}

} // namespace

TEST_CASE("The job that is due first goes first", "[JobQueue]")
{
    JobQueue queue;
    queue.add("late", sizesOf(2), dueAfter(Milliseconds(20'000)));
    queue.add("soon", sizesOf(1), dueAfter(Milliseconds(10'000)));
    CHECK(queue.waiting() == 3);
    CHECK(queue.takeNext(start) == ItemKey{"soon", 0});
    CHECK(queue.takeNext(start) == ItemKey{"late", 0});
    CHECK(queue.takeNext(start) == ItemKey{"late", 1});
    CHECK_FALSE(queue.takeNext(start));

    SECTION("An item that was not started after all is next again")
    {
        queue.putBack({"soon", 0});
        CHECK(queue.takeNext(start) == ItemKey{"soon", 0});
    }
    SECTION("Nothing of a removed job is taken")
    {
        queue.putBack({"soon", 0});
        queue.removeJob("soon");
        CHECK_FALSE(queue.takeNext(start));
        CHECK(queue.noteRun({"soon", 0}, ItemRunEnd::Completed, true, start)
              == JobQueue::Verdict::GivenUp);
    }
}

TEST_CASE("What becomes of an item follows from its runs", "[JobQueue]")
{
    JobQueue queue;
    queue.add("job", sizesOf(1), dueAfter(Milliseconds(10'000)));
    const ItemKey item{"job", 0};
    auto now = start;
    const auto runOnce = [&](ItemRunEnd end, bool hasProgressed = false) {
        REQUIRE(queue.takeNext(now) == item);
        return queue.noteRun(item, end, hasProgressed, now);
    };

    SECTION("An upstream's word that no run can succeed is final")
    {
        CHECK(runOnce(ItemRunEnd::Impossible) == JobQueue::Verdict::GivenUp);
    }
    SECTION("It is given up after as many failures as allowed, and not sooner")
    {
        CHECK(runOnce(ItemRunEnd::Failed) == JobQueue::Verdict::RunAgain);
        now += std::chrono::seconds(1);
        CHECK(runOnce(ItemRunEnd::Failed) == JobQueue::Verdict::RunAgain);
        now += std::chrono::seconds(1);
        CHECK(runOnce(ItemRunEnd::Failed) == JobQueue::Verdict::GivenUp);
    }
    SECTION("Giving way is no failure, and costs no pause")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(runOnce(ItemRunEnd::Preempted, true) == JobQueue::Verdict::RunAgain);
    }
    SECTION("Runs that break off without progress make it wait longer and longer")
    {
        Milliseconds lastPause(0);
        for (int i = 0; i < 4; ++i) {
            CHECK(runOnce(ItemRunEnd::Interrupted) == JobQueue::Verdict::RunAgain);
            const auto brokenAt = now;
            while (!queue.takeNext(now))
                now += Milliseconds(10);
            queue.putBack(item);
            const auto pause = std::chrono::duration_cast<Milliseconds>(now - brokenAt);
            CHECK(pause > lastPause);
            lastPause = pause;
        }
    }
    SECTION("however many upstreams crashed under it, it is placed again soon after")
    {
        // What waits in a calm of 5 s with free upstreams counts as lost.
        constexpr std::chrono::seconds calm(5);
        for (int i = 0; i < 40; ++i) {
            CHECK(runOnce(ItemRunEnd::Interrupted) == JobQueue::Verdict::RunAgain);
            now += calm / 2;
        }
        CHECK(queue.takeNext(now) == item);
    }
    SECTION("but not while they make progress")
    {
        for (int i = 0; i < 10; ++i) {
            runOnce(ItemRunEnd::Interrupted, true);
            now += Milliseconds(150);
        }
    }
    SECTION("It expires when its job's time is over, unless it runs")
    {
        const auto over = start + std::chrono::seconds(71);
        REQUIRE(queue.takeNext(now) == item);
        CHECK(queue.takeExpired(over).empty());
        queue.noteRun(item, ItemRunEnd::Preempted, true, over);
        CHECK(queue.takeExpired(over) == std::vector<ItemKey>{item});
        CHECK(queue.takeExpired(over).empty());
        CHECK_FALSE(queue.takeNext(over));
    }
}
