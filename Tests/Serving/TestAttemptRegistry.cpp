#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr Milliseconds retention{60'000};

} // namespace

TEST_CASE("An attempt cancelled before it began never begins")
{
    ManualClock clock;
    AttemptRegistry ledger("incarnation-1", retention);
    const AttemptId attempt("attempt-1");

    SECTION("Cancelled before it arrives, it is refused on arrival")
    {
        CHECK(ledger.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::NeverBegan);
        CHECK(ledger.admit(attempt, "incarnation-1") == AttemptRegistry::Admission::Cancelled);
        CHECK_FALSE(ledger.markDispatched(attempt));
    }
    SECTION("Cancelled while it waits, it is not dispatched to the upstream")
    {
        CHECK(ledger.admit(attempt, "incarnation-1") == AttemptRegistry::Admission::New);
        CHECK(ledger.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::NeverBegan);
        CHECK_FALSE(ledger.markDispatched(attempt));
    }
    SECTION("Cancelled after its dispatch, it is reported as begun")
    {
        ledger.admit(attempt, "incarnation-1");
        REQUIRE(ledger.markDispatched(attempt));
        CHECK(ledger.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::Began);
        CHECK(ledger.cancel(attempt, "incarnation-1", clock.now()) == AttemptFate::Began);
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
        ledger.admit(attempt, "incarnation-1");
        ledger.finish(attempt, clock.now());
        CHECK(ledger.expire(clock.now()).empty());
        clock.advance(retention);
        CHECK(ledger.expire(clock.now()).size() == 1);
        CHECK(ledger.size() == 0);
    }
}

TEST_CASE("No order of arrival, dispatch and cancel reports a dispatched attempt as never begun")
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        RandomEngine random(seed);
        ManualClock clock;
        AttemptRegistry ledger("incarnation", retention);
        const AttemptId attempt("attempt");
        bool wasDispatched = false;
        bool wasReportedNeverBegun = false;
        for (int step = 0; step < 12; ++step) {
            switch (randomBelow(random, 3)) {
            case 0:
                ledger.admit(attempt, "incarnation");
                break;
            case 1:
                wasDispatched = ledger.markDispatched(attempt) || wasDispatched;
                break;
            default:
                wasReportedNeverBegun = ledger.cancel(attempt, "incarnation", clock.now())
                                                == AttemptFate::NeverBegan
                                        || wasReportedNeverBegun;
                break;
            }
            REQUIRE_FALSE((wasDispatched && wasReportedNeverBegun));
        }
    }
}
