#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace Radishplank;

namespace {

constexpr Milliseconds retention{60'000};
constexpr std::size_t maxCalls = 100;
constexpr std::uint64_t crashing = 1;
constexpr std::uint64_t harmless = 2;

UpstreamInfo upstreamNamed(const std::string &id, std::int64_t startedAt = 1)
{
    UpstreamInfo upstream;
    upstream.id = UpstreamId(id);
    upstream.startedAt = startedAt;
    return upstream;
}

/// Crashes the upstreams one after the other while they run a call, one second apart.
TimePoint crash(CrashTracker &tracker, std::uint64_t call, std::vector<std::string> upstreams,
                TimePoint at)
{
    for (const auto &id : upstreams) {
        at += std::chrono::seconds(1);
        tracker.noteCrash(call, upstreamNamed(id), at);
    }
    return at;
}

/// Simulates upstreams of which several crash at once, repeatedly. Each call runs on one upstream
/// and is retried at another when that one crashes.
class CrashBursts
{
public:
    explicit CrashBursts(unsigned seed)
        : m_random(seed)
    {
    }

    void run()
    {
        constexpr int bursts = 15;
        for (int burst = 0; burst < bursts; ++burst) {
            m_now += Milliseconds(400);
            crashSome();
        }
    }

    /// Harmless calls that were refused, and those that saw as many crashes as lead to a refusal.
    unsigned harmlessRefused = 0;
    unsigned harmlessWithThreeCrashes = 0;

private:
    static constexpr int upstreamCount = 18;
    static constexpr int crashedTogether = 5;
    static constexpr std::uint64_t callsPerUpstream = 6;

    void crashSome()
    {
        std::vector<int> upstreams(upstreamCount);
        for (int i = 0; i < upstreamCount; ++i)
            upstreams[static_cast<std::size_t>(i)] = i;
        std::shuffle(upstreams.begin(), upstreams.end(), m_random);
        std::uniform_int_distribution<int> spread(0, 20);
        for (int i = 0; i < crashedTogether; ++i) {
            const auto start = ++m_starts;
            const auto upstream
                    = upstreamNamed(std::to_string(upstreams[static_cast<std::size_t>(i)]), start);
            for (std::uint64_t j = 0; j < callsPerUpstream; ++j)
                crashUnderCall(upstream, m_now + Milliseconds(spread(m_random)));
        }
    }

    void crashUnderCall(const UpstreamInfo &upstream, TimePoint at)
    {
        // Every third call is a retry of a call whose upstream crashed earlier.
        std::uint64_t call = m_nextCall++;
        if (call % 3 == 0 && !m_retriedCalls.empty()) {
            call = m_retriedCalls.back();
            m_retriedCalls.pop_back();
        }
        m_tracker.noteCrash(call, upstream, at);
        if (m_tracker.remainingRefusal(call, at + Milliseconds(300)))
            harmlessRefused += 1;
        if (++m_crashesOf[call] == CrashTracker::isolatedCrashesToRefuse)
            harmlessWithThreeCrashes += 1;
        if (m_crashesOf[call] <= CrashTracker::isolatedCrashesToRefuse)
            m_retriedCalls.insert(m_retriedCalls.begin(), call);
    }

    std::mt19937 m_random;
    CrashTracker m_tracker{retention, 1'000};
    TimePoint m_now{std::chrono::seconds(1'000)};
    std::int64_t m_starts = 0;
    std::uint64_t m_nextCall = 100;
    std::vector<std::uint64_t> m_retriedCalls;
    std::map<std::uint64_t, unsigned> m_crashesOf;
};

} // namespace

TEST_CASE("A call that crashes one upstream after the other is refused after three",
          "[CrashTracker]")
{
    CrashTracker tracker(retention, maxCalls);
    const TimePoint start{std::chrono::seconds(1'000)};
    auto now = crash(tracker, crashing, {"u1", "u2"}, start);
    CHECK_FALSE(tracker.remainingRefusal(crashing, now));

    SECTION("A crash that two calls have seen counts once")
    {
        tracker.noteCrash(crashing, upstreamNamed("u2"), now + Milliseconds(5));
        CHECK_FALSE(tracker.remainingRefusal(crashing, now));
    }
    SECTION("A crash that is reported repeatedly counts once, even much later, as after a freeze")
    {
        CrashTracker other(retention, maxCalls);
        const auto crashReport = tracker.nextReport(now);
        for (int second = 0; second < 4; ++second)
            other.applyReport(crashReport, now + std::chrono::seconds(second));
        CHECK_FALSE(other.remainingRefusal(crashing, now + std::chrono::seconds(4)));
    }
    SECTION("A second crash of an upstream counts even before its restart is known")
    {
        tracker.noteCrash(crashing, upstreamNamed("u2"), now + std::chrono::seconds(1));
        CHECK(tracker.remainingRefusal(crashing, now + std::chrono::seconds(1)));
    }
    SECTION("A crash of a restarted upstream counts separately")
    {
        tracker.noteCrash(crashing, upstreamNamed("u2", 2), now + std::chrono::seconds(1));
        CHECK(tracker.remainingRefusal(crashing, now + std::chrono::seconds(1)));
    }
    SECTION("After the third crash the call is refused")
    {
        now = crash(tracker, crashing, {"u3"}, now);
        CHECK(tracker.remainingRefusal(crashing, now) == retention);
        CHECK(tracker.refusedCalls(now) == 1);
        CHECK_FALSE(tracker.remainingRefusal(harmless, now));

        SECTION("until the retention time has passed")
        {
            CHECK_FALSE(tracker.remainingRefusal(crashing, now + retention));
        }
        SECTION("at every process that receives the report")
        {
            CrashTracker other(retention, maxCalls);
            other.applyReport(tracker.nextReport(now), now);
            CHECK(other.remainingRefusal(crashing, now));
            SECTION("which reports it to processes that start later")
            {
                CrashTracker late(retention, maxCalls);
                const auto later = now + std::chrono::seconds(20);
                late.applyReport(other.nextReport(later), later);
                CHECK(late.remainingRefusal(crashing, later));
            }
        }
        SECTION("unless it gets a whole answer at any process, which proves it harmless")
        {
            CrashTracker other(retention, maxCalls);
            other.applyReport(tracker.nextReport(now), now);
            other.noteAnswered(crashing, now);
            CHECK_FALSE(other.remainingRefusal(crashing, now));
            tracker.applyReport(other.nextReport(now), now);
            CHECK_FALSE(tracker.remainingRefusal(crashing, now));
            SECTION("even if upstreams crash under it afterwards")
            {
                now = crash(tracker, crashing, {"u4", "u5", "u6"}, now);
                CHECK_FALSE(tracker.remainingRefusal(crashing, now));
            }
        }
    }
    SECTION("A third crash at another process counts as well, and is reported without delay")
    {
        bool isUrgent = false;
        CrashTracker other(retention, maxCalls);
        other.onUrgentReport = [&] { isUrgent = true; };
        now = crash(other, crashing, {"u3"}, now);
        CHECK_FALSE(isUrgent);
        other.applyReport(tracker.nextReport(now), now);
        CHECK(other.remainingRefusal(crashing, now));
        now = crash(other, crashing, {"u4"}, now);
        CHECK(isUrgent);
    }
    SECTION("Three crashes at the same time under one call are enough")
    {
        now += std::chrono::seconds(1);
        for (const auto *id : {"u3", "u4", "u5"})
            tracker.noteCrash(harmless, upstreamNamed(id), now);
        CHECK(tracker.remainingRefusal(harmless, now));
    }
    SECTION("It is not evicted by many calls that saw one crash each")
    {
        now = crash(tracker, crashing, {"u3"}, now);
        for (std::uint64_t call = 1'000; call < 1'000 + 3 * maxCalls; ++call)
            tracker.noteCrash(call, upstreamNamed("v"), now + std::chrono::seconds(5));
        CHECK(tracker.remainingRefusal(crashing, now + std::chrono::seconds(5)));
    }
}

TEST_CASE("Upstreams that end together do not make a harmless call suspect", "[CrashTracker]")
{
    CrashTracker tracker(retention, maxCalls);
    TimePoint now{std::chrono::seconds(1'000)};
    // Each time, another upstream crashes at the same moment, under other calls.
    const auto crashTwo = [&](int i) {
        now += std::chrono::seconds(1);
        tracker.noteCrash(harmless, upstreamNamed("a" + std::to_string(i)), now);
        tracker.noteCrash(100, upstreamNamed("b" + std::to_string(i)), now + Milliseconds(30));
    };
    for (int i = 0; i < 4; ++i)
        crashTwo(i);
    CHECK_FALSE(tracker.remainingRefusal(harmless, now));

    SECTION("but after five crashes it is refused, whatever the cause")
    {
        crashTwo(5);
        CHECK(tracker.remainingRefusal(harmless, now));
    }
    SECTION("even in bursts of crashes over several seconds")
    {
        unsigned harmlessRefused = 0;
        unsigned harmlessWithThreeCrashes = 0;
        for (unsigned seed = 0; seed < 50; ++seed) {
            CrashBursts bursts(seed);
            bursts.run();
            harmlessRefused += bursts.harmlessRefused;
            harmlessWithThreeCrashes += bursts.harmlessWithThreeCrashes;
        }
        CHECK(harmlessRefused == 0);
        // A mere count of crashes would refuse these calls.
        CHECK(harmlessWithThreeCrashes > 100);
    }
}

TEST_CASE("Crash reports are bounded in size and cover every refused call within a few reports",
          "[CrashTracker]")
{
    constexpr Milliseconds longMemory{600'000};
    CrashTracker tracker(longMemory, 1'000);
    TimePoint now{std::chrono::seconds(1'000)};
    constexpr std::uint64_t calls = 40;
    for (std::uint64_t call = 1; call <= calls; ++call) {
        const auto number = std::to_string(call);
        now = crash(tracker, call, {"a" + number, "b" + number, "c" + number}, now);
    }
    CrashTracker other(longMemory, 1'000);
    // Full reports are sent twice a second; all refused calls must fit into this many.
    for (int report = 0; report < 20; ++report) {
        const auto crashReport = tracker.nextReport(now);
        CHECK(crashReport.crashes.size()
              <= CrashTracker::maxReportedCrashes + CrashTracker::crashesToRefuse);
        other.applyReport(crashReport, now);
    }
    CHECK(other.refusedCalls(now) == calls);
}
