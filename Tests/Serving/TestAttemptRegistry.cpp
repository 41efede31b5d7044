#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr Milliseconds retention{60'000};

} // namespace

TEST_CASE("An attempt cancelled before it began never begins")
{
    ManualClock clock;
    AttemptRegistry registry("incarnation-1", retention);
    const AttemptId attempt("attempt-1");

    SECTION("Cancelled before it arrives, it is refused on arrival")
    {
        CHECK(registry.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::NeverBegan);
        CHECK(registry.admit(attempt, "incarnation-1") == AttemptRegistry::Admission::Cancelled);
        CHECK_FALSE(registry.markDispatched(attempt));
    }
    SECTION("Cancelled while it waits, it is not dispatched to the upstream")
    {
        CHECK(registry.admit(attempt, "incarnation-1") == AttemptRegistry::Admission::New);
        CHECK(registry.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::NeverBegan);
        CHECK_FALSE(registry.markDispatched(attempt));
    }
    SECTION("Cancelled after its dispatch, it is reported as begun")
    {
        registry.admit(attempt, "incarnation-1");
        REQUIRE(registry.markDispatched(attempt));
        CHECK(registry.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::Began);
        CHECK(registry.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::Began);
    }
    SECTION("A restarted agent reports an unknown fate, and does not begin it either")
    {
        AttemptRegistry restarted("incarnation-2", retention);
        CHECK(restarted.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::Unknown);
        CHECK(restarted.admit(attempt, "incarnation-1")
              == AttemptRegistry::Admission::OtherIncarnation);
    }
    SECTION("An ended attempt is removed after the retention time")
    {
        registry.admit(attempt, "incarnation-1");
        registry.finish(attempt, clock.now());
        CHECK(registry.expire(clock.now()).empty());
        clock.advance(retention);
        CHECK(registry.expire(clock.now()).size() == 1);
        CHECK(registry.size() == 0);
    }
}

TEST_CASE("No order of arrival, dispatch and cancel reports a dispatched attempt as never begun")
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        RandomEngine random(seed);
        ManualClock clock;
        AttemptRegistry registry("incarnation", retention);
        const AttemptId attempt("attempt");
        bool wasDispatched = false;
        bool wasReportedNeverBegun = false;
        for (int step = 0; step < 12; ++step) {
            switch (randomBelow(random, 3)) {
            case 0:
                registry.admit(attempt, "incarnation");
                break;
            case 1:
                wasDispatched = registry.markDispatched(attempt) || wasDispatched;
                break;
            default:
                wasReportedNeverBegun = registry.cancel(attempt, "incarnation", clock.now())
                                                == AttemptFate::NeverBegan
                                        || wasReportedNeverBegun;
                break;
            }
            REQUIRE_FALSE((wasDispatched && wasReportedNeverBegun));
        }
    }
}
