#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr Milliseconds revocationTime{5'000};
constexpr Duration start = std::chrono::seconds(1'000);

} // namespace

TEST_CASE("A configuration suffices only while it was recently the newest one", "[Owners]")
{
    ConfigurationEvidence evidence(revocationTime);

    SECTION("A process that has never confirmed its configuration must refuse")
    {
        CHECK_FALSE(evidence.suffices(7, start));
        CHECK_FALSE(evidence.age(start));
    }
    SECTION("A confirmation suffices for less than the revocation time")
    {
        evidence.confirm(7, start);
        CHECK(evidence.suffices(7, start));
        CHECK(evidence.suffices(7, start + Milliseconds(4'500)));
        CHECK_FALSE(evidence.suffices(7, start + revocationTime));

        SECTION("and a suspended process wakes up without a sufficient one")
        {
            CHECK_FALSE(evidence.suffices(7, start + std::chrono::seconds(60)));
        }
        SECTION("until the next confirmation")
        {
            evidence.confirm(7, start + revocationTime);
            CHECK(evidence.suffices(7, start + revocationTime));
        }
    }
    SECTION("Evidence of a newer configuration does not suffice before that one is known")
    {
        evidence.confirm(8, start);
        CHECK_FALSE(evidence.suffices(7, start));
        CHECK(evidence.suffices(8, start));
    }
    SECTION("Evidence of an older configuration suffices for a newer one that was learnt since")
    {
        evidence.confirm(7, start);
        CHECK(evidence.suffices(8, start + Milliseconds(100)));
    }
    SECTION("A delayed confirmation makes the evidence neither older nor that of an older version")
    {
        evidence.confirm(8, start);
        evidence.confirm(8, start - Milliseconds(2'000));
        evidence.confirm(7, start + Milliseconds(2'000));
        CHECK(evidence.version() == 8);
        CHECK(*evidence.age(start) == Milliseconds(0));
    }
    SECTION("The evidence covers a call only if it began after the call")
    {
        evidence.confirm(7, start);
        CHECK(evidence.covers(7, start - Milliseconds(1)));
        CHECK_FALSE(evidence.covers(7, start + Milliseconds(1)));
    }
}

TEST_CASE("Without a revocation time every known configuration suffices", "[Owners]")
{
    CHECK(ConfigurationEvidence(Milliseconds(0)).suffices(7, start));
}

TEST_CASE("A relayed confirmation of 300 processes stays recent enough", "[Owners]")
{
    // 50 processes in a zone: each asks the one with a quarter of its index every 400 ms and takes
    // over an age that grows on the way; the first reads the store every second.
    constexpr Milliseconds peerInterval{400};
    constexpr Milliseconds storeInterval{1'000};
    constexpr std::size_t processes = 50;
    std::vector<ConfigurationEvidence> evidence(processes, ConfigurationEvidence(revocationTime));
    for (Duration now = start; now < start + std::chrono::seconds(20); now += Milliseconds(10)) {
        for (std::size_t i = 0; i < processes; ++i) {
            const auto interval = i == 0 ? storeInterval : peerInterval;
            // The processes are not in step.
            if (((now - start) + Milliseconds(37) * i) % interval >= Milliseconds(10))
                continue;
            if (i == 0)
                evidence[i].confirm(7, now);
            else if (const auto age = evidence[(i - 1) / 4].age(now))
                evidence[i].confirm(7, now - *age);
        }
        if (now < start + std::chrono::seconds(5))
            continue;
        for (const auto &each : evidence)
            REQUIRE(each.suffices(7, now));
    }
}
