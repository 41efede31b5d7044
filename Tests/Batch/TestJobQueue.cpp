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
    limits.expiresAt = start + due + std::chrono::seconds(60);
    limits.maxFailures = 3;
    return limits;
}

} // namespace

TEST_CASE("Jobs run in order of their due time", "[JobQueue]")
{
    JobQueue queue;
    queue.add("late", sizesOf(2), dueAfter(Milliseconds(20'000)));
    queue.add("soon", sizesOf(1), dueAfter(Milliseconds(10'000)));
    CHECK(queue.waiting() == 3);
    CHECK(queue.takeNext(start) == ItemKey{"soon", 0});
    CHECK(queue.takeNext(start) == ItemKey{"late", 0});
    CHECK(queue.takeNext(start) == ItemKey{"late", 1});
    CHECK_FALSE(queue.takeNext(start));

    SECTION("A requeued item is next again")
    {
        queue.requeue({"soon", 0});
        CHECK(queue.takeNext(start) == ItemKey{"soon", 0});
    }
    SECTION("No item of a removed job is returned")
    {
        queue.requeue({"soon", 0});
        queue.removeJob("soon");
        CHECK_FALSE(queue.takeNext(start));
        CHECK(queue.recordRun({"soon", 0}, ItemRunEnd::Completed, true, start)
              == JobQueue::Disposition::GivenUp);
    }
}

TEST_CASE("The end of a run decides whether the item is retried", "[JobQueue]")
{
    JobQueue queue;
    queue.add("job", sizesOf(1), dueAfter(Milliseconds(10'000)));
    const ItemKey item{"job", 0};
    auto now = start;
    const auto runOnce = [&](ItemRunEnd end, bool hasProgressed = false) {
        REQUIRE(queue.takeNext(now) == item);
        return queue.recordRun(item, end, hasProgressed, now);
    };

    SECTION("An item is given up after a permanent error from an upstream")
    {
        CHECK(runOnce(ItemRunEnd::Impossible) == JobQueue::Disposition::GivenUp);
    }
    SECTION("It is given up after exactly the maximum number of failures")
    {
        CHECK(runOnce(ItemRunEnd::Failed) == JobQueue::Disposition::Retry);
        now += std::chrono::seconds(1);
        CHECK(runOnce(ItemRunEnd::Failed) == JobQueue::Disposition::Retry);
        now += std::chrono::seconds(1);
        CHECK(runOnce(ItemRunEnd::Failed) == JobQueue::Disposition::GivenUp);
    }
    SECTION("Preemption is not a failure and adds no delay")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(runOnce(ItemRunEnd::Preempted, true) == JobQueue::Disposition::Retry);
    }
    SECTION("Interrupted runs without progress increase the retry delay")
    {
        Milliseconds lastDelay(0);
        for (int i = 0; i < 4; ++i) {
            CHECK(runOnce(ItemRunEnd::Interrupted) == JobQueue::Disposition::Retry);
            const auto interruptedAt = now;
            while (!queue.takeNext(now))
                now += Milliseconds(10);
            queue.requeue(item);
            const auto delay = std::chrono::duration_cast<Milliseconds>(now - interruptedAt);
            CHECK(delay > lastDelay);
            lastDelay = delay;
        }
    }
    SECTION("The retry delay stays short, however many upstreams crashed")
    {
        // An item that waits for 5 s while upstreams are free counts as lost.
        constexpr std::chrono::seconds maxIdleWait(5);
        for (int i = 0; i < 40; ++i) {
            CHECK(runOnce(ItemRunEnd::Interrupted) == JobQueue::Disposition::Retry);
            now += maxIdleWait / 2;
        }
        CHECK(queue.takeNext(now) == item);
    }
    SECTION("Interrupted runs with progress do not increase the retry delay")
    {
        for (int i = 0; i < 10; ++i) {
            runOnce(ItemRunEnd::Interrupted, true);
            now += Milliseconds(150);
        }
    }
    SECTION("It expires at its job's expiry time, unless it is running")
    {
        const auto expiry = start + std::chrono::seconds(71);
        REQUIRE(queue.takeNext(now) == item);
        CHECK(queue.takeExpired(expiry).empty());
        queue.recordRun(item, ItemRunEnd::Preempted, true, expiry);
        CHECK(queue.takeExpired(expiry) == std::vector<ItemKey>{item});
        CHECK(queue.takeExpired(expiry).empty());
        CHECK_FALSE(queue.takeNext(expiry));
    }
}
