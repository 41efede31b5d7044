#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A call waits for a slot only if its first event will probably be in its target",
          "[CallAdmission]")
{
    CallAdmission admission;
    TimePoint now{std::chrono::seconds(1'000)};
    const auto longestWait = [&](int ageMs, ShareStanding standing = ShareStanding::Within) {
        return admission
                .longestWait("service", Milliseconds(ageMs), Milliseconds(300), standing, now)
                .count();
    };
    const auto note = [&](int expectedWaitMs, int observedMs) {
        for (int i = 0; i < 40; ++i)
            admission.noteFirstEvent("service", Milliseconds(expectedWaitMs),
                                     Milliseconds(observedMs), now);
    };
    CHECK(longestWait(0) == 170);

    SECTION("The time since its arrival counts, or a call refused by an upstream would be late")
    {
        CHECK(longestWait(100) == 70);
        CHECK(longestWait(299) == 0);
        CHECK(longestWait(2'000) == 0);
    }
    SECTION("A service that begins slowly gets a shorter queue, or every call that waits is late")
    {
        note(0, 250);
        CHECK(longestWait(0) == 40);
        SECTION("for as long as that is observed, or one bad minute would refuse calls for ever")
        {
            now += std::chrono::seconds(30);
            CHECK(longestWait(0) == 170);
        }
        SECTION("Another service is not concerned")
        {
            CHECK(admission.longestWait("other", Milliseconds(0), Milliseconds(300),
                                        ShareStanding::Within, now)
                  == Milliseconds(170));
        }
    }
    SECTION("Waits that turn out longer than expected count, or the estimate's error makes calls "
            "late")
    {
        note(0, 100);
        note(80, 300);
        CHECK(longestWait(0) == 70);
    }
    SECTION("An owner above its share does not wait, and one below it longer than others")
    {
        note(0, 100);
        note(0, 200);
        CHECK(longestWait(0) == 90);
        CHECK(longestWait(0, ShareStanding::Below) > 90);
        CHECK(longestWait(0, ShareStanding::Above) == 0);
    }
}
