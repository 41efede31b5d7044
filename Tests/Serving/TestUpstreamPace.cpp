#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr PaceGroup group{1, false};

/// Streams of some upstreams that show an event every 33 ms at usual pace.
struct Streams
{
    UpstreamPace pace;
    TimePoint now{std::chrono::seconds(100)};
    RandomEngine random{5};

    void event(std::uint64_t upstream, double slowness, unsigned running = 4)
    {
        const double noise = std::uniform_real_distribution<double>(0.8, 1.25)(random);
        const auto gap = Milliseconds(static_cast<int>(33 * slowness * noise));
        pace.noteEvents(upstream, group, gap, 1, running, now);
    }
    /// Lets time pass in which upstream 0 is slow and upstreams 1 to 9 are not.
    void run(Milliseconds time, double slowness, unsigned runningAtSlow = 4)
    {
        const auto end = now + time;
        double due = 0;
        while (now < end) {
            now += Milliseconds(33);
            for (std::uint64_t upstream = 1; upstream < 10; ++upstream)
                event(upstream, 1);
            due += 1 / slowness;
            if (due >= 1) {
                event(0, slowness, runningAtSlow);
                due -= 1;
            }
        }
    }
};

} // namespace

TEST_CASE("The pace of an upstream is learned from gaps between events", "[UpstreamPace]")
{
    Streams streams;
    CHECK(streams.pace.pace(0, streams.now) == 1);
    streams.run(Milliseconds(3'000), 1);
    CHECK(streams.pace.pace(0, streams.now) == Approx(1).margin(0.1));
    const auto before = streams.now;

    SECTION("One that becomes slow is known within a second")
    {
        const double slowness = GENERATE(2.5, 3.0, 5.0);
        streams.run(Milliseconds(700), slowness);
        CHECK(streams.pace.pace(0, streams.now) > 0.6 * slowness);
        CHECK(streams.pace.pace(1, streams.now) < 1.15);

        SECTION("and as usual again soon after it recovers, if streams show it")
        {
            streams.run(Milliseconds(800), 1);
            CHECK(streams.pace.pace(0, streams.now) < 1.25);
        }
        SECTION("and forgotten within some seconds if no stream goes there any more")
        {
            CHECK(streams.pace.pace(0, streams.now + Milliseconds(300)) > 1.3);
            CHECK(streams.pace.pace(0, streams.now + Milliseconds(6'000)) < 1.1);
        }
    }
    SECTION("One outlier among the gaps does not make it slow")
    {
        streams.pace.noteEvents(0, group, Milliseconds(1'000), 1, 4, streams.now);
        CHECK(streams.pace.pace(0, streams.now) < 1.2);
    }
    SECTION("More running streams, which slow each other down, do not make it slow")
    {
        // All upstreams are full at times, with gaps twice as long.
        for (int i = 0; i < 40; ++i) {
            for (std::uint64_t upstream = 0; upstream < 10; ++upstream)
                streams.event(upstream, 2, 8);
        }
        streams.now += std::chrono::seconds(20);
        streams.run(Milliseconds(100), 1);
        for (int i = 0; i < 10; ++i)
            streams.event(0, 2, 8);
        CHECK(streams.pace.pace(0, streams.now) < 1.2);
    }
    SECTION("Silence of a running stream counts before its next event arrives")
    {
        const auto later = before + Milliseconds(150);
        const auto usual = streams.pace.usualGap(group, 4);
        CHECK(usual > Milliseconds(28));
        CHECK(usual < Milliseconds(38));
        CHECK(streams.pace.pace(0, later, Milliseconds(150), usual) > 1.2);
        CHECK(streams.pace.pace(0, later, Milliseconds(40), usual) == streams.pace.pace(0, later));
    }
    SECTION("A fifth of all upstreams slow at once still differ from the rest")
    {
        for (int i = 0; i < 30; ++i) {
            streams.now += Milliseconds(33);
            for (std::uint64_t upstream = 0; upstream < 10; ++upstream) {
                if (upstream >= 2 || i % 3 == 0)
                    streams.event(upstream, upstream < 2 ? 3 : 1);
            }
        }
        CHECK(streams.pace.pace(0, streams.now) > 2 * streams.pace.pace(5, streams.now));
        CHECK(streams.pace.slowest(5, streams.now).size() == 2);
    }
    SECTION("What a peer observes counts here, but is not sent back to it")
    {
        const ObservedPace slow{3, 3};
        for (int i = 0; i < 4; ++i)
            streams.pace.notePeer(77, slow, streams.now);
        CHECK(streams.pace.pace(77, streams.now) > 1.8);
        CHECK(streams.pace.observed(77, streams.now).weight == 0);
        CHECK(streams.pace.observed(1, streams.now).weight > 0);
        CHECK(streams.pace.observed(1, streams.now + Milliseconds(1'000)).weight == 0);
    }
    SECTION("Memory is bounded")
    {
        for (std::uint64_t upstream = 0; upstream < 10'000; ++upstream)
            streams.event(upstream, 1);
        CHECK(streams.pace.upstreamCount() <= 4'096);
    }
}

TEST_CASE("A slow first event of a stream that had a slot is evidence", "[UpstreamPace]")
{
    UpstreamPace pace;
    const TimePoint now{std::chrono::seconds(100)};
    for (int i = 0; i < 3; ++i)
        pace.noteFirstEvent(1, Milliseconds(330), Milliseconds(110), now);
    CHECK(pace.pace(1, now) > 1.5);
    pace.noteFirstEvent(2, Milliseconds(330), Milliseconds(110), now);
    CHECK(pace.pace(2, now) < 1.25);
}
