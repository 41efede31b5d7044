#include <Gateway/Gateway.h>

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>

using namespace Radishplank;

namespace {

enum class Rule { Count, Mean, Quantiles, TwoChoices };
using Slowness = std::function<double(std::size_t upstream, double ms)>;

struct Stream
{
    std::size_t process = 0;
    double arrived = 0;
    double work = 0;
    /// Slot time that it has had, and the time and progress at its last event.
    double done = 0;
    double eventAt = 0;
    double eventDone = 0;
    RemainingWork estimate;
};

/// Entry processes place streams at upstreams that work off eight at a time in arrival order, each
/// token taking longer at a slow upstream. Reports between processes are 60 ms old.
struct Model
{
    static constexpr std::size_t upstreams = 40;
    static constexpr std::size_t processes = 6;
    static constexpr unsigned slots = 8;
    static constexpr double firstEvent = 110;
    static constexpr double eventWork = 33;
    static constexpr double tick = 5;
    static constexpr double target = 300;

    struct View
    {
        std::array<unsigned, upstreams> count{};
        std::array<double, upstreams> remaining{};
    };

    Model(Rule initialRule, Slowness initialSlowness)
        : rule(initialRule)
        , slowness(std::move(initialSlowness))
    {
    }

    Rule rule;
    Slowness slowness;
    /// Arrivals and lengths of answers are the same for all rules.
    RandomEngine arrivals{11};
    RandomEngine random{12};
    std::array<std::deque<Stream>, upstreams> held;
    std::array<UpstreamPace, processes> paces;
    std::array<View, processes> reports;
    std::size_t calls = 0;
    std::size_t late = 0;

    static TimePoint at(double ms)
    {
        return TimePoint(Milliseconds(1'000'000 + static_cast<long>(ms)));
    }

    View viewOf(std::size_t process) const
    {
        View view;
        for (std::size_t u = 0; u < upstreams; ++u) {
            for (const auto &stream : held[u]) {
                if (stream.process != process)
                    continue;
                view.count[u] += 1;
                view.remaining[u]
                        += rule == Rule::Quantiles ? stream.estimate.rest(stream.done) : 484;
            }
        }
        return view;
    }

    void report(double now)
    {
        for (std::size_t p = 0; p < processes; ++p) {
            reports[p] = viewOf(p);
            for (std::size_t u = 0; u < upstreams; ++u) {
                const auto observed = paces[p].observed(u, at(now));
                for (std::size_t q = 0; q < processes && reports[p].count[u] > 0; ++q) {
                    if (q != p && observed.weight > 0)
                        paces[q].notePeer(u, {observed.pace, 2}, at(now));
                }
            }
        }
    }

    std::optional<std::size_t> choose(std::size_t process, double now, const RemainingWork &work)
    {
        std::vector<UpstreamCandidate> candidates(upstreams);
        const auto own = viewOf(process);
        for (std::size_t u = 0; u < upstreams; ++u) {
            auto &candidate = candidates[u];
            candidate.slots = slots;
            candidate.online = own.count[u];
            candidate.onlineRemaining = own.remaining[u];
            for (std::size_t p = 0; p < processes; ++p) {
                candidate.online += p == process ? 0 : reports[p].count[u];
                candidate.onlineRemaining += p == process ? 0 : reports[p].remaining[u];
            }
            candidate.pace = rule == Rule::Quantiles ? paces[process].pace(u, at(now)) : 1;
        }
        constexpr Milliseconds maxWait{180};
        if (rule == Rule::TwoChoices) {
            const auto first = randomBelow(random, upstreams);
            const auto second = randomBelow(random, upstreams);
            return candidates[first].online <= candidates[second].online ? first : second;
        }
        const auto choice = rule == Rule::Count
                                    ? chooseOnlineUpstream(candidates, random)
                                    : chooseOnlineUpstreamByWork(
                                            candidates, {firstEvent, work.mean()}, maxWait, random);
        return choice->wait > maxWait ? std::optional<std::size_t>() : choice->index;
    }

    void arrive(double now)
    {
        Stream stream;
        stream.process = randomBelow(arrivals, processes);
        stream.arrived = now;
        stream.work = 595 * std::exp(std::normal_distribution<double>(0, 0.57)(arrivals));
        stream.work = std::max(stream.work, firstEvent + eventWork);
        // The distribution that an estimator has learned from earlier calls.
        static const auto learned = WorkEstimator().estimate({}, at(0)).slotTime;
        stream.estimate = learned;
        calls += 1;
        if (const auto upstream = choose(stream.process, now, learned))
            held[*upstream].push_back(stream);
        else
            late += 1;
    }

    void advance(std::size_t u, double now)
    {
        for (std::size_t i = 0; i < held[u].size() && i < slots; ++i) {
            auto &stream = held[u][i];
            const double before = stream.done;
            stream.done += tick / slowness(u, now);
            const bool isFirst = before < firstEvent && stream.done >= firstEvent;
            if (isFirst)
                late += now - stream.arrived > target ? 1 : 0;
            else if (before < firstEvent || stream.done - stream.eventDone < eventWork)
                continue;
            else
                paces[stream.process].noteEvents(
                        u, {}, Milliseconds(static_cast<long>(now - stream.eventAt)), 1,
                        static_cast<unsigned>(std::min<std::size_t>(slots, held[u].size())),
                        at(now));
            stream.eventAt = now;
            stream.eventDone = stream.done;
        }
        std::erase_if(held[u], [](const Stream &stream) { return stream.done >= stream.work; });
    }

    /// Runs for 20 s, with the given number of arrivals per second; returns the share of calls
    /// whose first event was late or that were refused.
    double run(double arrivalsPerSecond)
    {
        double next = 0;
        for (double now = 0; now < 20'000; now += tick) {
            if (std::fmod(now, 60) < tick)
                report(now);
            for (; next <= now;
                 next += std::exponential_distribution<double>(arrivalsPerSecond / 1'000)(arrivals))
                arrive(now);
            for (std::size_t u = 0; u < upstreams; ++u)
                advance(u, now);
        }
        return static_cast<double>(late) / static_cast<double>(calls);
    }
};

std::map<Rule, double> lateShares(double arrivalsPerSecond, const Slowness &slowness)
{
    std::map<Rule, double> shares;
    for (const auto rule : {Rule::Count, Rule::Mean, Rule::Quantiles, Rule::TwoChoices})
        shares[rule] = Model(rule, slowness).run(arrivalsPerSecond);
    return shares;
}

} // namespace

TEST_CASE("Placement by work makes fewer calls late than other rules", "[WorkPlacement]")
{
    // The mean load takes a third of the slots, a burst two thirds.
    const double arrivals = GENERATE(156.0, 300.0);
    const auto compare = [&](const Slowness &slowness) {
        auto shares = lateShares(arrivals, slowness);
        // Printed if a check fails: all rules met the same arrivals.
        UNSCOPED_INFO(arrivals << "/s, late: count " << shares[Rule::Count] << ", mean "
                               << shares[Rule::Mean] << ", quantiles " << shares[Rule::Quantiles]
                               << ", two choices " << shares[Rule::TwoChoices]);
        return shares;
    };

    SECTION("A fifth of the upstreams is 2.5 x slow for 600 ms at a time")
    {
        auto shares = compare([](std::size_t upstream, double ms) {
            return (static_cast<std::size_t>(ms / 600) + upstream) % 5 == 0 ? 2.5 : 1.0;
        });
        // There is time enough for a first event that takes 2.5 times as long, but not for a queue
        // at the others.
        CHECK(shares[Rule::Quantiles] <= 0.5 * shares[Rule::Count]);
        CHECK(shares[Rule::Quantiles] <= shares[Rule::TwoChoices]);
    }
    SECTION("A fifth is 3 x slow for seconds")
    {
        auto shares = compare([](std::size_t upstream, double ms) {
            return (static_cast<std::size_t>(ms / 4'000) + upstream) % 5 == 0 ? 3.0 : 1.0;
        });
        for (const auto rule : {Rule::Count, Rule::Mean, Rule::TwoChoices})
            CHECK(shares[Rule::Quantiles] < 0.5 * shares[rule]);
    }
    SECTION("One is 5 x slow")
    {
        auto shares
                = compare([](std::size_t upstream, double) { return upstream == 7 ? 5.0 : 1.0; });
        for (const auto rule : {Rule::Count, Rule::Mean, Rule::TwoChoices})
            CHECK(shares[Rule::Quantiles] < 0.5 * shares[rule]);
    }
    SECTION("If all are alike, nothing is lost, and calls do not crowd at the one that seems best")
    {
        auto shares = compare([](std::size_t, double) { return 1.0; });
        CHECK(shares[Rule::Quantiles] <= 0.002);
        CHECK(shares[Rule::Quantiles] <= shares[Rule::Count]);
    }
}
