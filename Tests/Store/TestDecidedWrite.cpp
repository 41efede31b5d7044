#include "FaultyStore.h"

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

/// A mock of the time that passes between two tries.
struct NoPause
{
    void operator()(Milliseconds) const {}
};

} // namespace

TEST_CASE("A decided write settles every doubt")
{
    MemoryObjectStore memory;
    FaultyStore store(memory);
    const auto goOn = [] { return true; };

    SECTION("An answer lost after the write took effect is a success")
    {
        int calls = 0;
        store.nextFault = [&] {
            return ++calls == 1 ? FaultyStore::Fault::LostAnswer : FaultyStore::Fault::None;
        };
        const auto written = putDecided(store, "a", "mine", noVersion, NoPause{}, goOn);
        REQUIRE_FALSE(written.isError());
        CHECK(memory.get("a").value().value == "mine");
        CHECK(memory.get("a").value().version == written.value());
    }
    SECTION("Another's write in the meantime is a conflict")
    {
        int calls = 0;
        store.nextFault = [&] {
            if (++calls != 1)
                return FaultyStore::Fault::None;
            (void)memory.put("a", "theirs", noVersion);
            return FaultyStore::Fault::Outage;
        };
        const auto written = putDecided(store, "a", "mine", noVersion, NoPause{}, goOn);
        REQUIRE(written.isError());
        CHECK(written.error().kind == ErrorKind::Conflict);
        CHECK(memory.get("a").value().value == "theirs");
    }
    SECTION("An outage that goes on is told as such")
    {
        store.nextFault = [] { return FaultyStore::Fault::Outage; };
        int tries = 0;
        const auto written
                = putDecided(store, "a", "mine", noVersion, NoPause{}, [&] { return ++tries < 3; });
        REQUIRE(written.isError());
        CHECK(written.error().kind == ErrorKind::Unavailable);
        CHECK(tries == 3);
    }
    SECTION("A conflict that was never in doubt is not read back")
    {
        (void)memory.put("a", "mine", noVersion);
        const auto written = putDecided(store, "a", "mine", noVersion, NoPause{}, goOn);
        REQUIRE(written.isError());
        CHECK(written.error().kind == ErrorKind::Conflict);
    }
}
