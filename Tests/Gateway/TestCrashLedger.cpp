#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace Radishplank;

namespace {

constexpr Milliseconds memory{60'000};
constexpr std::size_t maxCalls = 100;
constexpr std::uint64_t crashing = 1;
constexpr std::uint64_t sound = 2;

UpstreamInfo upstreamNamed(const std::string &id, std::int64_t startedAt = 1)
{
    UpstreamInfo upstream;
    upstream.id = UpstreamId(id);
    upstream.startedAt = startedAt;
    return upstream;
}

/// Ends one upstream after the other under a call, a second apart.
TimePoint crash(CrashLedger &ledger, std::uint64_t call, std::vector<std::string> upstreams,
                TimePoint at)
{
    for (const auto &id : upstreams) {
        at += std::chrono::seconds(1);
        ledger.noteCrash(call, upstreamNamed(id), at);
    }
    return at;
}

/// Upstreams of which some end together again and again, among calls that each run on one of them
/// and are sent on to others when it ends.
class CrashBursts
{
public:
    explicit CrashBursts(unsigned seed)
        : m_random(seed)
    {
    }

    void play()
    {
        constexpr int bursts = 15;
        for (int burst = 0; burst < bursts; ++burst) {
            m_now += Milliseconds(400);
            endSome();
        }
    }

    /// Sound calls that the ledger refuses, and those that have met as many ends as it takes.
    unsigned soundRefused = 0;
    unsigned soundAtThreeEnds = 0;

private:
    static constexpr int upstreamCount = 18;
    static constexpr int endedTogether = 5;
    static constexpr std::uint64_t callsAtEach = 6;

    void endSome()
    {
        std::vector<int> upstreams(upstreamCount);
        for (int i = 0; i < upstreamCount; ++i)
            upstreams[static_cast<std::size_t>(i)] = i;
        std::shuffle(upstreams.begin(), upstreams.end(), m_random);
        std::uniform_int_distribution<int> spread(0, 20);
        for (int i = 0; i < endedTogether; ++i) {
            const auto start = ++m_starts;
            const auto upstream
                    = upstreamNamed(std::to_string(upstreams[static_cast<std::size_t>(i)]), start);
            for (std::uint64_t j = 0; j < callsAtEach; ++j)
                breakOff(upstream, m_now + Milliseconds(spread(m_random)));
        }
    }

    void breakOff(const UpstreamInfo &upstream, TimePoint at)
    {
        // Every third call is one that has been at an upstream that ended before.
        std::uint64_t call = m_nextCall++;
        if (call % 3 == 0 && !m_sentOn.empty()) {
            call = m_sentOn.back();
            m_sentOn.pop_back();
        }
        m_ledger.noteCrash(call, upstream, at);
        if (m_ledger.refusedFor(call, at + Milliseconds(300)))
            soundRefused += 1;
        if (++m_endsOf[call] == CrashLedger::loneCrashesToRefuse)
            soundAtThreeEnds += 1;
        if (m_endsOf[call] <= CrashLedger::loneCrashesToRefuse)
            m_sentOn.insert(m_sentOn.begin(), call);
    }

    std::mt19937 m_random;
    CrashLedger m_ledger{memory, 1'000};
    TimePoint m_now{std::chrono::seconds(1'000)};
    std::int64_t m_starts = 0;
    std::uint64_t m_nextCall = 100;
    std::vector<std::uint64_t> m_sentOn;
    std::map<std::uint64_t, unsigned> m_endsOf;
};

} // namespace

TEST_CASE("A call that ends one upstream after the other is refused after three", "[CrashLedger]")
{
    CrashLedger ledger(memory, maxCalls);
    const TimePoint start{std::chrono::seconds(1'000)};
    auto now = crash(ledger, crashing, {"u1", "u2"}, start);
    CHECK_FALSE(ledger.refusedFor(crashing, now));

    SECTION("An end that two calls have seen counts once")
    {
        ledger.noteCrash(crashing, upstreamNamed("u2"), now + Milliseconds(5));
        CHECK_FALSE(ledger.refusedFor(crashing, now));
    }
    SECTION("So does one that is heard of again, also much later, as after a freeze")
    {
        CrashLedger other(memory, maxCalls);
        const auto news = ledger.takeNews(now);
        for (int second = 0; second < 4; ++second)
            other.take(news, now + std::chrono::seconds(second));
        CHECK_FALSE(other.refusedFor(crashing, now + std::chrono::seconds(4)));
    }
    SECTION("An upstream that ends again, before its new start is known, is another one")
    {
        ledger.noteCrash(crashing, upstreamNamed("u2"), now + std::chrono::seconds(1));
        CHECK(ledger.refusedFor(crashing, now + std::chrono::seconds(1)));
    }
    SECTION("A new start of an upstream is another one")
    {
        ledger.noteCrash(crashing, upstreamNamed("u2", 2), now + std::chrono::seconds(1));
        CHECK(ledger.refusedFor(crashing, now + std::chrono::seconds(1)));
    }
    SECTION("The third bars it, for a time")
    {
        now = crash(ledger, crashing, {"u3"}, now);
        CHECK(ledger.refusedFor(crashing, now) == memory);
        CHECK(ledger.refusedCalls(now) == 1);
        CHECK_FALSE(ledger.refusedFor(sound, now));

        SECTION("and no longer")
        {
            CHECK_FALSE(ledger.refusedFor(crashing, now + memory));
        }
        SECTION("at every process that hears of it")
        {
            CrashLedger other(memory, maxCalls);
            other.take(ledger.takeNews(now), now);
            CHECK(other.refusedFor(crashing, now));
            SECTION("which tells those that start later")
            {
                CrashLedger late(memory, maxCalls);
                const auto later = now + std::chrono::seconds(20);
                late.take(other.takeNews(later), later);
                CHECK(late.refusedFor(crashing, later));
            }
        }
        SECTION("unless it has a whole answer somewhere: then it ends no upstreams")
        {
            CrashLedger other(memory, maxCalls);
            other.take(ledger.takeNews(now), now);
            other.noteAnswered(crashing, now);
            CHECK_FALSE(other.refusedFor(crashing, now));
            ledger.take(other.takeNews(now), now);
            CHECK_FALSE(ledger.refusedFor(crashing, now));
            SECTION("whatever is told of it afterwards")
            {
                now = crash(ledger, crashing, {"u4", "u5", "u6"}, now);
                CHECK_FALSE(ledger.refusedFor(crashing, now));
            }
        }
    }
    SECTION("The third at another process counts as well, which is told at once")
    {
        bool isUrgent = false;
        CrashLedger other(memory, maxCalls);
        other.onUrgentNews = [&] { isUrgent = true; };
        now = crash(other, crashing, {"u3"}, now);
        CHECK_FALSE(isUrgent);
        other.take(ledger.takeNews(now), now);
        CHECK(other.refusedFor(crashing, now));
        now = crash(other, crashing, {"u4"}, now);
        CHECK(isUrgent);
    }
    SECTION("Three within one call, at the next moments, are enough")
    {
        now += std::chrono::seconds(1);
        for (const auto *id : {"u3", "u4", "u5"})
            ledger.noteCrash(sound, upstreamNamed(id), now);
        CHECK(ledger.refusedFor(sound, now));
    }
    SECTION("It is remembered among many calls that met one end each")
    {
        now = crash(ledger, crashing, {"u3"}, now);
        for (std::uint64_t call = 1'000; call < 1'000 + 3 * maxCalls; ++call)
            ledger.noteCrash(call, upstreamNamed("v"), now + std::chrono::seconds(5));
        CHECK(ledger.refusedFor(crashing, now + std::chrono::seconds(5)));
    }
}

TEST_CASE("Upstreams that end together condemn no sound call that ran there", "[CrashLedger]")
{
    CrashLedger ledger(memory, maxCalls);
    TimePoint now{std::chrono::seconds(1'000)};
    // Each time, another upstream ends at the same moment, with other calls.
    const auto endTwo = [&](int i) {
        now += std::chrono::seconds(1);
        ledger.noteCrash(sound, upstreamNamed("a" + std::to_string(i)), now);
        ledger.noteCrash(100, upstreamNamed("b" + std::to_string(i)), now + Milliseconds(30));
    };
    for (int i = 0; i < 4; ++i)
        endTwo(i);
    CHECK_FALSE(ledger.refusedFor(sound, now));

    SECTION("but five ends are too many, whatever the cause")
    {
        endTwo(5);
        CHECK(ledger.refusedFor(sound, now));
    }
    SECTION("Bursts of crashes over seconds")
    {
        unsigned soundRefused = 0;
        unsigned soundAtThreeEnds = 0;
        for (unsigned seed = 0; seed < 50; ++seed) {
            CrashBursts bursts(seed);
            bursts.play();
            soundRefused += bursts.soundRefused;
            soundAtThreeEnds += bursts.soundAtThreeEnds;
        }
        CHECK(soundRefused == 0);
        // A bare count of ends would refuse these.
        CHECK(soundAtThreeEnds > 100);
    }
}

TEST_CASE("News of crashes are bounded, and none of a call that is refused is left out for long",
          "[CrashLedger]")
{
    constexpr Milliseconds longMemory{600'000};
    CrashLedger ledger(longMemory, 1'000);
    TimePoint now{std::chrono::seconds(1'000)};
    constexpr std::uint64_t calls = 40;
    for (std::uint64_t call = 1; call <= calls; ++call) {
        const auto number = std::to_string(call);
        now = crash(ledger, call, {"a" + number, "b" + number, "c" + number}, now);
    }
    CrashLedger other(longMemory, 1'000);
    // Bound of the news in full reports, of which there are two a second.
    for (int report = 0; report < 20; ++report) {
        const auto news = ledger.takeNews(now);
        CHECK(news.crashes.size() <= CrashLedger::maxCrashesTold + CrashLedger::crashesToRefuse);
        other.take(news, now);
    }
    CHECK(other.refusedCalls(now) == calls);
}
