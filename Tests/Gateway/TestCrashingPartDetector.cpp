#include <Gateway/Gateway.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace Radishplank;

namespace {

constexpr Milliseconds blockTime{600'000};
constexpr std::uint64_t common = 1;
constexpr std::uint64_t companion = 2;
constexpr std::uint64_t deadly = 3;
constexpr std::uint64_t rare = 4;
const TimePoint startTime{std::chrono::seconds(1'000)};

UpstreamInfo upstreamNumber(std::int64_t number)
{
    UpstreamInfo upstream;
    upstream.id = UpstreamId("u" + std::to_string(number));
    upstream.startedAt = number;
    return upstream;
}

/// One process's detector and a clock. Every crash is of another upstream.
struct Process
{
    CrashingPartDetector detector{blockTime, Milliseconds(0)};
    TimePoint now = startTime;
    std::int64_t upstreams = 0;

    void crash(const PromptParts &parts, Milliseconds later = Milliseconds(300),
               CallSource source = CallSource::Caller)
    {
        now += later;
        detector.noteCrash(parts, upstreamNumber(++upstreams), now, source);
    }
    void answer(const PromptParts &parts, unsigned count = 1)
    {
        for (unsigned i = 0; i < count; ++i) {
            now += Milliseconds(10);
            detector.noteAnswering(parts, now, now);
        }
    }
    [[nodiscard]] bool isRefused(const PromptParts &parts)
    {
        return detector.refusal(parts, now).has_value();
    }
    /// Returns how long an item must wait; 0 if it may be sent.
    [[nodiscard]] Duration itemDelay(const PromptParts &parts) const
    {
        return detector.itemDelay(parts, now).value_or(Duration(0));
    }
    /// Sends an item and lets its upstream crash.
    void failTrial(const PromptParts &parts)
    {
        detector.noteItemSent(parts, now);
        crash(parts, Milliseconds(50), CallSource::Item);
    }
};

void exchange(Process &from, Process &to)
{
    to.now = std::max(from.now, to.now);
    to.detector.applyReport(from.detector.nextReport(to.now), to.now);
}

} // namespace

TEST_CASE("Lists of prompt parts yield the parts that calls can share", "[CrashingPart]")
{
    CHECK(sharedPromptParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250").size() == 2);
    CHECK(sharedPromptParts("5c1e07a2:800,x:1") == sharedPromptParts(" 5C1E07A2:9 ,y"));
    CHECK(sharedPromptParts("").empty());
    CHECK(sharedPromptParts("5c1e07a2:800").empty());

    SECTION("even if they are malformed or very long")
    {
        CHECK(sharedPromptParts(",,:,::,aa,aa:1,aa:x,").size() == 1);
        std::string list;
        for (int i = 0; i < 10'000; ++i)
            list += std::to_string(i) + ":1,";
        CHECK(sharedPromptParts(list).size() == maxPromptParts);
    }
}

TEST_CASE("A prompt part under which upstream after upstream crashes is blocked", "[CrashingPart]")
{
    Process process;
    // Requests with the deadly part always have the companion, which others have too.
    const PromptParts attack{common, companion, deadly};
    for (std::size_t crashes = 1; crashes <= CrashingPartDetector::minCrashes; ++crashes) {
        process.crash(attack);
        process.answer({common}, 8);
        CHECK(process.isRefused(attack) == (crashes == CrashingPartDetector::minCrashes));
    }
    const auto refusal = process.detector.refusal(attack, process.now);
    REQUIRE(refusal);
    CHECK(*refusal > blockTime - std::chrono::seconds(1));

    SECTION("and the parts that come with it are not, if they come without it too")
    {
        CHECK_FALSE(process.isRefused({common}));
        CHECK_FALSE(process.isRefused({common, companion}));
        CHECK(process.isRefused({common, companion, deadly, rare}));
        process.answer({common, companion});
        CHECK(process.isRefused({common, deadly}));
        CHECK_FALSE(process.isRefused({common, companion}));
    }
    SECTION("until one call with it is answered, which clears it at all processes")
    {
        Process other;
        exchange(process, other);
        CHECK(other.isRefused(attack));
        other.answer(attack);
        CHECK_FALSE(other.isRefused(attack));
        exchange(other, process);
        CHECK_FALSE(process.isRefused(attack));
    }
    SECTION("at a process that starts later and hears only of a peer that was told itself")
    {
        Process peer;
        exchange(process, peer);
        Process late;
        late.now = peer.now + std::chrono::seconds(60);
        exchange(peer, late);
        CHECK(late.isRefused(attack));
        CHECK_FALSE(late.isRefused({common, companion}));
    }
    SECTION("and after the block one call at a time is tried")
    {
        process.now += blockTime + std::chrono::seconds(1);
        CHECK_FALSE(process.isRefused(attack));
        CHECK(process.isRefused(attack));

        SECTION("and a crash blocks it for twice the time, at peers as well")
        {
            Process other;
            exchange(process, other);
            process.crash(attack);
            exchange(process, other);
            process.now = other.now += blockTime + std::chrono::seconds(60);
            CHECK(process.isRefused(attack));
            CHECK(other.isRefused(attack));
        }
        SECTION("and an answer clears it")
        {
            process.answer(attack);
            CHECK_FALSE(process.isRefused(attack));
            CHECK_FALSE(process.isRefused(attack));
        }
    }
    SECTION("and a second deadly part is found beside it")
    {
        for (std::size_t i = 0; i < CrashingPartDetector::minCrashes; ++i) {
            process.crash({common, rare});
            process.answer({common}, 8);
        }
        CHECK(process.isRefused({rare}));
        CHECK(process.isRefused(attack));
    }
}

TEST_CASE("Items with a blocked prompt part are tried one at a time", "[CrashingPart]")
{
    constexpr auto minPause = CrashingPartDetector::minItemPause;
    constexpr auto maxPause = CrashingPartDetector::maxItemPause;
    Process process;
    for (std::size_t i = 0; i < CrashingPartDetector::minCrashes; ++i) {
        process.crash({deadly}, Milliseconds(300), CallSource::Item);
        process.answer({common}, 8);
    }
    CHECK(process.itemDelay({deadly}) > Duration(0));
    CHECK(process.itemDelay({deadly}) <= minPause);
    CHECK(process.itemDelay({common}) == Duration(0));

    SECTION("while calls of callers are admitted, as only items crashed")
    {
        CHECK_FALSE(process.isRefused({deadly}));
        Process peer;
        exchange(process, peer);
        CHECK_FALSE(peer.isRefused({deadly}));

        SECTION("until a call of a caller crashes too")
        {
            process.crash({deadly});
            CHECK(process.isRefused({deadly}));
            exchange(process, peer);
            CHECK(peer.isRefused({deadly}));
        }
    }
    SECTION("by one process at a time")
    {
        Process peer;
        exchange(process, peer);
        process.now = peer.now += minPause;
        CHECK(process.itemDelay({deadly}) == Duration(0));
        CHECK(peer.itemDelay({deadly}) == Duration(0));
        process.detector.noteItemSent(PromptParts{deadly}, process.now);
        exchange(process, peer);
        CHECK(process.itemDelay({deadly}) > Duration(0));
        CHECK(peer.itemDelay({deadly}) > Duration(0));

        SECTION("and an answer admits all items at all processes")
        {
            process.answer({deadly});
            exchange(process, peer);
            CHECK(process.itemDelay({deadly}) == Duration(0));
            CHECK(peer.itemDelay({deadly}) == Duration(0));
        }
        SECTION("and a crash extends the pause, at peers as well")
        {
            process.crash({deadly}, Milliseconds(50), CallSource::Item);
            exchange(process, peer);
            constexpr auto factor = CrashingPartDetector::itemPauseFactor;
            CHECK(process.itemDelay({deadly}) == factor * minPause);
            CHECK(peer.itemDelay({deadly}) == factor * minPause);
        }
    }
    SECTION("so that few upstreams crash, and no item is left behind")
    {
        // Later than 4 s after the fifth crash, at most three more upstreams may crash in the rest
        // of 50 s; an item must have been tried in the last 20 s.
        std::vector<TimePoint> crashes(CrashingPartDetector::minCrashes, process.now);
        const auto end = process.now + std::chrono::seconds(50);
        while (true) {
            const auto next = process.now + process.itemDelay({deadly});
            if (next >= end)
                break;
            CHECK(next - crashes.back() < std::chrono::seconds(20));
            process.now = next;
            process.failTrial({deadly});
            crashes.push_back(process.now);
        }
        CHECK(end - crashes.back() < std::chrono::seconds(20));
        REQUIRE(crashes.size() >= 5);
        const auto limit = crashes[4] + std::chrono::seconds(4);
        CHECK(std::count_if(crashes.begin(), crashes.end(), [&](auto at) { return at > limit; })
              <= 3);
    }
    SECTION("after pauses that are limited")
    {
        for (unsigned trial = 0; trial < 10; ++trial) {
            process.now += process.itemDelay({deadly});
            process.failTrial({deadly});
        }
        CHECK(process.itemDelay({deadly}) == maxPause);
    }
    SECTION("after pauses that reports between peers do not prolong")
    {
        Process peer;
        for (unsigned i = 0; i < 20; ++i) {
            exchange(process, peer);
            exchange(peer, process);
            process.now = peer.now += Milliseconds(100);
        }
        CHECK(process.itemDelay({deadly}) == Duration(0));
        CHECK(peer.itemDelay({deadly}) == Duration(0));
    }
}

TEST_CASE("A prompt part is blocked after crashes that different processes have seen",
          "[CrashingPart]")
{
    std::vector<Process> processes(5);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        auto &process = processes[i];
        process.upstreams = static_cast<std::int64_t>(100 * i);
        process.now = startTime + Milliseconds(200 * static_cast<int>(i));
        process.crash({common, deadly}, Milliseconds(0));
        process.answer({common}, 8);
    }
    // Each process reports twice a second.
    for (int round = 0; round < 2; ++round) {
        for (auto &process : processes)
            process.now = startTime + Milliseconds(1'000 + 500 * round);
        for (auto &from : processes) {
            for (auto &to : processes) {
                if (&from != &to)
                    exchange(from, to);
            }
        }
    }
    for (auto &process : processes) {
        CHECK(process.isRefused({common, deadly}));
        CHECK_FALSE(process.isRefused({common}));
    }
}

TEST_CASE("A sound prompt part is not blocked for the crashes of others", "[CrashingPart]")
{
    Process process;

    SECTION("if its calls are answered in between")
    {
        for (int i = 0; i < 20; ++i) {
            process.crash({common, rare});
            process.answer({common}, 8);
            process.answer({common, rare});
        }
        CHECK_FALSE(process.isRefused({common, rare}));
    }
    SECTION("if a peer's report of its crash arrives after an answer")
    {
        Process peer;
        for (int i = 0; i < 5; ++i) {
            peer.crash({common, rare});
            peer.answer({common}, 8);
            process.now = peer.now;
            process.answer({common, rare});
            exchange(peer, process);
            exchange(process, peer);
        }
        CHECK_FALSE(process.isRefused({common, rare}));
        CHECK_FALSE(peer.isRefused({common, rare}));
    }
    SECTION("if it stood on upstreams that a blocked part crashed")
    {
        for (int i = 0; i < 6; ++i) {
            process.crash({common, deadly});
            process.detector.noteCrash(PromptParts{rare}, upstreamNumber(process.upstreams),
                                       process.now + Milliseconds(5));
            process.answer({common}, 8);
        }
        CHECK(process.isRefused({common, deadly}));
        CHECK_FALSE(process.isRefused({rare}));
    }
    SECTION("if all upstreams crash together and nothing is answered")
    {
        for (int second = 0; second < 5; ++second) {
            for (int i = 0; i < 6; ++i)
                process.crash({i % 2 == 0 ? common : rare}, Milliseconds(i == 0 ? 1'000 : 5));
        }
        CHECK_FALSE(process.isRefused({common}));
        CHECK_FALSE(process.isRefused({rare}));
    }
    SECTION("if upstreams crash in bursts for whatever reason")
    {
        unsigned refused = 0;
        unsigned unlucky = 0;
        for (unsigned seed = 0; seed < 300; ++seed) {
            std::mt19937 random(seed);
            Process bursts;
            // Calls of 40 subjects, of which some have not begun when a third of the upstreams
            // crashes, four times a second. They are sent again.
            std::uniform_int_distribution<std::uint64_t> subject(10, 49);
            std::bernoulli_distribution isCut(0.3);
            std::bernoulli_distribution hasNotBegun(0.25);
            std::vector<std::uint64_t> repeated;
            std::map<std::uint64_t, unsigned> crashes;
            for (int burst = 0; burst < 15; ++burst) {
                bursts.now += Milliseconds(250);
                auto calls = std::exchange(repeated, {});
                for (int i = 0; i < 12; ++i)
                    calls.push_back(subject(random));
                for (const auto part : calls) {
                    refused += bursts.isRefused({common, part}) ? 1 : 0;
                    if (hasNotBegun(random) && isCut(random)) {
                        bursts.crash({common, part}, Milliseconds(3));
                        repeated.push_back(part);
                        unlucky += ++crashes[part] == 3 ? 1 : 0;
                    } else {
                        bursts.answer({common, part});
                    }
                }
            }
        }
        // A count of three crashes would block these parts.
        CHECK(unlucky > 100);
        CHECK(refused == 0);
    }
}

TEST_CASE("A deadly prompt part is found while upstreams crash for other reasons too",
          "[CrashingPart]")
{
    // Five crashes and three further requests are what callers must at most bear.
    constexpr unsigned maxAttacks = 8;
    unsigned found = 0;
    for (unsigned seed = 0; seed < 50; ++seed) {
        std::mt19937 random(seed);
        std::uniform_int_distribution<std::uint64_t> subject(10, 49);
        Process process;
        unsigned attacks = 0;
        // Crashes every 200 ms, in turn of the deadly part and of others.
        for (int i = 0; i < 24 && !process.isRefused({common, deadly}); ++i) {
            if (i % 2 == 0) {
                process.crash({common, deadly}, Milliseconds(200));
                attacks += 1;
            } else {
                process.crash({common, subject(random)}, Milliseconds(200));
            }
            for (int j = 0; j < 4; ++j)
                process.answer({common, subject(random)});
        }
        found += process.isRefused({common, deadly}) && attacks <= maxAttacks ? 1 : 0;
    }
    CHECK(found == 50);
}

TEST_CASE("The memory and the reports of crashing prompt parts are bounded", "[CrashingPart]")
{
    Process process;
    PromptParts many;
    for (std::uint64_t part = 0; part < maxPromptParts; ++part)
        many.push_back(1'000 + part);
    for (int i = 0; i < 2'000; ++i) {
        many.front() += 10 * maxPromptParts;
        process.crash(many, Milliseconds(1));
    }
    const auto report = process.detector.nextReport(process.now);
    std::size_t parts = report.cleared.size();
    for (const auto &suspect : report.suspects)
        parts += suspect.parts.size();
    for (const auto &blocked : report.blocked)
        parts += blocked.parts.size();
    CHECK(parts <= CrashingPartDetector::maxReportedParts);
    CHECK(report.suspects.size() <= CrashingPartDetector::maxSuspectCalls);

    SECTION("and every block reaches a peer within a few reports")
    {
        Process attacked;
        constexpr std::uint64_t blocks = 40;
        for (std::uint64_t part = 100; part < 100 + blocks; ++part) {
            for (int i = 0; i < 5; ++i) {
                attacked.crash({common, part});
                attacked.answer({common}, 8);
            }
        }
        Process peer;
        for (int round = 0; round < 5; ++round)
            exchange(attacked, peer);
        CHECK(peer.detector.blockCount(peer.now) == blocks);
    }
}
