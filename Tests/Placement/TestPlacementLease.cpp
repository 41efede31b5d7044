#include "../Store/FaultyStore.h"

#include <Placement/Placement.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr Milliseconds duration{12'000};
const auto isExpired = [](Version) { return true; };
const auto isNotExpired = [](Version) { return false; };

} // namespace

TEST_CASE("One process at a time holds the placement lease")
{
    MemoryObjectStore memory;
    FaultyStore store(memory);
    PlacementLease first(store, "entry1", duration);
    PlacementLease second(store, "entry2", duration);
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    REQUIRE_FALSE(first.claim(start, isNotExpired).isError());
    CHECK(first.fencing() == 1);

    SECTION("Another process cannot claim it while it is held")
    {
        CHECK(second.claim(start, isNotExpired).error().kind == ErrorKind::Conflict);
        CHECK_FALSE(first.renew(start + duration / 2).isError());
        CHECK(first.isHeld(start + duration));
    }
    SECTION("The holder counts it from before the renewal was sent, and considers it expired by "
            "itself")
    {
        CHECK(first.isHeld(start + duration - Milliseconds(1)));
        CHECK_FALSE(first.isHeld(start + duration));
    }
    SECTION("After its expiry another process claims it, with a higher fencing number")
    {
        REQUIRE_FALSE(second.claim(start + duration * 2, isExpired).isError());
        CHECK(second.fencing() == 2);
        SECTION("and the previous holder, on resuming, loses it with its next renewal")
        {
            CHECK(first.renew(start + duration * 2).error().kind == ErrorKind::Conflict);
            CHECK_FALSE(first.isHeld(start));
        }
    }
    SECTION("After its release it can be claimed at once")
    {
        first.release();
        CHECK_FALSE(second.claim(start, isNotExpired).isError());
    }
    SECTION("A renewal whose response is lost does not extend it")
    {
        store.nextFault = [] { return FaultyStore::Fault::LostResponse; };
        CHECK(first.renew(start + duration / 2).isError());
        CHECK_FALSE(first.isHeld(start + duration));
    }
}
