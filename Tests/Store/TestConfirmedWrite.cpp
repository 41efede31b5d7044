#include "FaultyStore.h"

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

/// Replaces the delay between two attempts.
struct NoPause
{
    void operator()(Milliseconds) const {}
};

} // namespace

TEST_CASE("A confirmed write resolves unknown outcomes")
{
    MemoryObjectStore memory;
    FaultyStore store(memory);
    const auto always = [] { return true; };

    SECTION("A response lost after the write took effect is a success")
    {
        int calls = 0;
        store.nextFault = [&] {
            return ++calls == 1 ? FaultyStore::Fault::LostResponse : FaultyStore::Fault::None;
        };
        const auto written = putConfirmed(store, "a", "mine", noVersion, NoPause{}, always);
        REQUIRE_FALSE(written.isError());
        CHECK(memory.get("a").value().value == "mine");
        CHECK(memory.get("a").value().version == written.value());
    }
    SECTION("A concurrent write by another process is a conflict")
    {
        int calls = 0;
        store.nextFault = [&] {
            if (++calls != 1)
                return FaultyStore::Fault::None;
            (void)memory.put("a", "theirs", noVersion);
            return FaultyStore::Fault::Outage;
        };
        const auto written = putConfirmed(store, "a", "mine", noVersion, NoPause{}, always);
        REQUIRE(written.isError());
        CHECK(written.error().kind == ErrorKind::Conflict);
        CHECK(memory.get("a").value().value == "theirs");
    }
    SECTION("A write that took effect is not a conflict because the store refuses to read it back")
    {
        const auto putWith = [&](auto mayRetry) {
            // The lost write, the repeated one, and its reads.
            store.nextFault = [calls = 0]() mutable {
                calls += 1;
                if (calls == 1)
                    return FaultyStore::Fault::LostResponse;
                return calls == 3 ? FaultyStore::Fault::Refusal : FaultyStore::Fault::None;
            };
            return putConfirmed(store, "a", "mine", noVersion, NoPause{}, mayRetry);
        };
        CHECK_FALSE(putWith(always).isError());

        SECTION("but unknown if there is no time to read it again")
        {
            (void)memory.remove("a", noVersion);
            const auto written = putWith([] { return false; });
            REQUIRE(written.isError());
            CHECK(written.error().kind == ErrorKind::Unavailable);
        }
    }
    SECTION("A lasting outage is reported as Unavailable")
    {
        store.nextFault = [] { return FaultyStore::Fault::Outage; };
        int attempts = 0;
        const auto written = putConfirmed(store, "a", "mine", noVersion, NoPause{},
                                          [&] { return ++attempts < 3; });
        REQUIRE(written.isError());
        CHECK(written.error().kind == ErrorKind::Unavailable);
        CHECK(attempts == 3);
    }
    SECTION("A conflict on the first attempt is not read back")
    {
        (void)memory.put("a", "mine", noVersion);
        const auto written = putConfirmed(store, "a", "mine", noVersion, NoPause{}, always);
        REQUIRE(written.isError());
        CHECK(written.error().kind == ErrorKind::Conflict);
    }
}
