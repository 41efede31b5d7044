#include "../Store/FaultyStore.h"

#include <Placement/Placement.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr Milliseconds duration{12'000};
const auto lapsed = [](Version) { return true; };
const auto notLapsed = [](Version) { return false; };

} // namespace

TEST_CASE("One process at a time holds the placement")
{
    MemoryObjectStore memory;
    FaultyStore store(memory);
    PlacementLease first(store, "entry1", duration);
    PlacementLease second(store, "entry2", duration);
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    REQUIRE_FALSE(first.claim(start, notLapsed).isError());
    CHECK(first.fencing() == 1);

    SECTION("Another cannot take it while it is kept")
    {
        CHECK(second.claim(start, notLapsed).error().kind == ErrorKind::Conflict);
        CHECK_FALSE(first.renew(start + duration / 2).isError());
        CHECK(first.isHeld(start + duration));
    }
    SECTION("Its holder counts it from before the renewal was sent, and stops by itself")
    {
        CHECK(first.isHeld(start + duration - Milliseconds(1)));
        CHECK_FALSE(first.isHeld(start + duration));
    }
    SECTION("Once it has lapsed another takes it, with a higher fencing number")
    {
        REQUIRE_FALSE(second.claim(start + duration * 2, lapsed).isError());
        CHECK(second.fencing() == 2);
        SECTION("and the old holder, which wakes, loses it with its next renewal")
        {
            CHECK(first.renew(start + duration * 2).error().kind == ErrorKind::Conflict);
            CHECK_FALSE(first.isHeld(start));
        }
    }
    SECTION("Handed back, it is free at once")
    {
        first.release();
        CHECK_FALSE(second.claim(start, notLapsed).isError());
    }
    SECTION("A renewal whose answer is lost does not prolong it")
    {
        store.nextFault = [] { return FaultyStore::Fault::LostResponse; };
        CHECK(first.renew(start + duration / 2).isError());
        CHECK_FALSE(first.isHeld(start + duration));
    }
}
