#include <Net/BodyBuffer.h>
#include <Net/MemoryBudget.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

/// An account that records its evictions.
struct Holder
{
    explicit Holder(MemoryBudget &budget)
        : account(budget, [this] { evictions += 1; })
    {
    }

    int evictions = 0;
    MemoryAccount account;
};

} // namespace

// A few bodies that stop just short of their end kept everybody else out until their timeout.
TEST_CASE("A full budget evicts the holder that holds most and progresses least", "[MemoryBudget]")
{
    MemoryBudget budget({10 * megabyte});
    ManualClock clock;
    Holder stalled(budget);
    Holder small(budget);
    Holder progressing(budget);
    for (auto *holder : {&stalled, &small, &progressing})
        REQUIRE(holder->account.tryEnter(HolderStage::Receiving, clock.now()));
    REQUIRE(stalled.account.tryHold(4 * megabyte, clock.now()));
    REQUIRE(small.account.tryHold(10 * kilobyte, clock.now()));
    clock.advance(Milliseconds(500));
    REQUIRE(progressing.account.tryHold(5 * megabyte, clock.now()));

    SECTION("if another one grows")
    {
        CHECK(progressing.account.tryHold(7 * megabyte, clock.now()));
        CHECK(stalled.evictions == 1);
        CHECK(small.evictions == 0);
        CHECK(stalled.account.isEvicted());
        CHECK_FALSE(stalled.account.tryEnter(HolderStage::Running, clock.now()));
    }
    SECTION("although it sends a byte now and then")
    {
        for (std::size_t i = 1; i < 10; ++i) {
            clock.advance(Milliseconds(100));
            REQUIRE(stalled.account.tryHold(4 * megabyte + i, clock.now()));
        }
        REQUIRE(progressing.account.tryHold(5 * megabyte + 100 * kilobyte, clock.now()));
        CHECK(progressing.account.tryHold(7 * megabyte, clock.now()));
        CHECK(stalled.evictions == 1);
    }
    SECTION("even if it is the one that grows")
    {
        CHECK_FALSE(stalled.account.tryHold(20 * megabyte, clock.now()));
        CHECK(progressing.evictions == 0);
    }
    SECTION("but not a request that has been handed on")
    {
        REQUIRE(stalled.account.tryEnter(HolderStage::Running, clock.now()));
        CHECK_FALSE(progressing.account.tryHold(7 * megabyte, clock.now()));
        CHECK(stalled.evictions == 0);
    }
    SECTION("only once while its memory is not released yet")
    {
        CHECK(progressing.account.tryHold(7 * megabyte, clock.now()));
        CHECK(progressing.account.tryHold(8 * megabyte, clock.now()));
        CHECK(stalled.evictions == 1);
        CHECK(budget.heldBytes() == 12 * megabyte + 10 * kilobyte);
        stalled.account.hold(0, clock.now());
        CHECK(budget.heldBytes() == 8 * megabyte + 10 * kilobyte);
    }
}

TEST_CASE("Large holders leave the reserved bytes to small ones", "[MemoryBudget]")
{
    MemoryBudget budget({10 * megabyte, megabyte});
    ManualClock clock;
    Holder running(budget);
    Holder large(budget);
    Holder small(budget);
    REQUIRE(running.account.tryHold(8 * megabyte, clock.now()));
    CHECK(large.account.tryHold(megabyte, clock.now()));
    CHECK_FALSE(large.account.tryHold(2 * megabyte, clock.now()));
    large.account.hold(megabyte, clock.now());
    CHECK(small.account.tryHold(100 * kilobyte, clock.now()));
}

// Two large bodies at their upstreams left no room for any ordinary request.
TEST_CASE("Large bodies that are being served leave room to ordinary ones", "[MemoryBudget]")
{
    MemoryBudget budget(MemoryLimits::forMachine(48, 0));
    ManualClock clock;
    Holder running(budget);
    Holder large(budget);
    Holder ordinary(budget);
    CHECK(running.account.tryHold(4 * megabyte + 32 * kilobyte, clock.now()));
    CHECK_FALSE(large.account.tryHold(2 * megabyte, clock.now()));
    large.account.hold(0, clock.now());
    CHECK(ordinary.account.tryHold(800 * kilobyte, clock.now()));
}

TEST_CASE("Idle connections are closed for new ones, unused ones first", "[MemoryBudget]")
{
    MemoryLimits limits;
    limits.connections = 2;
    limits.maxConnections = 3;
    MemoryBudget budget(limits);
    ManualClock clock;
    Holder used(budget);
    REQUIRE(used.account.tryConnect(clock.now()));
    REQUIRE(used.account.tryEnter(HolderStage::Running, clock.now()));
    REQUIRE(used.account.tryEnter(HolderStage::Idle, clock.now()));
    clock.advance(Milliseconds(100));
    Holder unused(budget);
    REQUIRE(unused.account.tryConnect(clock.now()));
    REQUIRE(unused.account.tryEnter(HolderStage::Idle, clock.now()));
    clock.advance(Milliseconds(100));

    Holder third(budget);
    CHECK(third.account.tryConnect(clock.now()));
    CHECK(unused.evictions == 1);
    CHECK(used.evictions == 0);
    Holder fourth(budget);
    CHECK_FALSE(fourth.account.tryConnect(clock.now()));

    unused.account.keep();
    CHECK_FALSE(unused.account.isEvicted());
    CHECK(budget.connections() == 3);
}

TEST_CASE("The smallest machine has room for ordinary load and for one large body",
          "[MemoryBudget]")
{
    const auto smallest = MemoryLimits::forMachine(88, 2'940);
    CHECK(smallest.bytes - smallest.reservedBytes >= 16 * megabyte);
    CHECK(smallest.connections >= 300);
    const auto tiny = MemoryLimits::forMachine(1, 0);
    CHECK(tiny.bytes - tiny.reservedBytes >= 8 * megabyte);
    const auto unknown = MemoryLimits::forMachine(0, 0);
    CHECK(unknown.bytes == std::numeric_limits<std::size_t>::max());
    CHECK(unknown.maxConnections == std::numeric_limits<std::size_t>::max());
}

TEST_CASE("A body is assembled in order from pieces of all sizes", "[MemoryBudget]")
{
    std::string expected;
    BodyBuffer buffer;
    for (std::size_t i = 0; i < 300; ++i) {
        const std::string part(i * 7, static_cast<char>('a' + i % 26));
        expected += part;
        buffer.append(part);
    }
    CHECK(buffer.size() == expected.size());
    CHECK(buffer.take() == expected);
    CHECK(buffer.size() == 0);
    CHECK(buffer.take().empty());
}
