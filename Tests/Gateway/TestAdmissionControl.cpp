#include <Gateway/Gateway.h>

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>

using namespace Radishplank;

namespace {

constexpr int zoneCount = 4;
constexpr int processCount = 8;
constexpr int upstreamsPerZone = 3;
constexpr unsigned slotsPerUpstream = 8;
constexpr int reportIntervalMs = 40;
constexpr int targetMs = 300;
constexpr int deadlineMs = 5'000;
/// Calls per second that occupy 70% of the slots of a zone.
constexpr double normalRate = 0.7 * upstreamsPerZone * slotsPerUpstream / 0.7;

/// What the callers of one owner got.
struct Tally
{
    int calls = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
    /// Refused calls whose second attempt was answered in its target.
    int returnedInTarget = 0;
    int lost = 0;

    [[nodiscard]] int served() const { return inTarget + returnedInTarget; }
    Tally &operator+=(const Tally &other)
    {
        calls += other.calls;
        inTarget += other.inTarget;
        late += other.late;
        refused += other.refused;
        returnedInTarget += other.returnedInTarget;
        lost += other.lost;
        return *this;
    }
};

enum class Rule {
    FixedShareOfTarget, ///< The expected wait may take 0.6 of the target; the return follows it.
    AdmissionControl,
};

/// A day's load, as factors of the normal rate.
struct Load
{
    std::function<double(int zone, int ms)> factor = [](int, int) { return 1.0; };
    /// Shares of the owners in the calls of a zone; they can change the sum.
    std::function<double(int owner, int ms)> owner = [](int, int) { return 1.0; };
    int owners = 1;
    int lengthMs = 10'000;
    bool hasBatch = false;
    /// When the zones of the second region disappear; their callers go to the others.
    int regionLostMs = 1'000'000;
};

/// Entry processes in front of upstreams with queues in order of arrival, in steps of 1 ms. Each
/// process knows its own streams and, from reports, those of the others.
class Fleet
{
public:
    Fleet(Rule rule, Load load, unsigned seed)
        : m_rule(rule)
        , m_load(std::move(load))
        , m_arrivals(seed)
        , m_random(seed + 1'000)
        , m_tallies(static_cast<std::size_t>(m_load.owners))
    {
        std::vector<Owner> owners;
        for (int owner = 0; m_load.owners > 1 && owner < m_load.owners; ++owner) {
            owners.emplace_back();
            owners.back().id = OwnerId(nameOf(owner));
        }
        std::optional<OwnerDirectory> directory;
        if (!owners.empty())
            directory.emplace(std::move(owners));
        m_routes.publish(std::make_unique<const RouteTable>(1, std::vector<Route>(), CallerLimits(),
                                                            std::move(directory)));
        for (int process = 0; process < processCount; ++process)
            m_controls.push_back(std::make_unique<AdmissionControl>(m_routes));
        for (int upstream = 0; upstream < zoneCount * upstreamsPerZone; ++upstream)
            m_upstreams.emplace_back();
        for (m_ms = 0; m_ms < m_load.lengthMs + deadlineMs; ++m_ms)
            step();
    }

    [[nodiscard]] const std::vector<Tally> &tallies() const { return m_tallies; }
    [[nodiscard]] int refusedWithRoom() const { return m_refusedWithRoom; }
    [[nodiscard]] double meanOccupancy(int fromMs, int toMs) const
    {
        const auto begin = m_occupied.begin();
        return std::accumulate(begin + fromMs, begin + toMs, 0.0) / (toMs - fromMs)
               / (zoneCount * upstreamsPerZone * slotsPerUpstream);
    }

private:
    struct Call
    {
        int owner = 0;
        int process = 0;
        int attempt = 0;
        int firstSentMs = 0;
        int sentMs = 0;
        int expectedWaitMs = 0;
        int upstream = 0;
        int runMs = 0;
        std::shared_ptr<AdmissionControl::OwnerStream> stream;
    };
    struct Upstream
    {
        std::vector<std::pair<int, Call>> running;
        std::deque<Call> waiting;
        unsigned batch = 0;
        std::array<unsigned, processCount> own{};
        std::array<unsigned, processCount> reported{};
    };

    [[nodiscard]] TimePoint now() const { return TimePoint(Milliseconds(1'000'000 + m_ms)); }
    [[nodiscard]] static std::string nameOf(int owner) { return "owner" + std::to_string(owner); }
    [[nodiscard]] static int zoneOf(int upstream) { return upstream / upstreamsPerZone; }
    [[nodiscard]] bool isLost(int zone) const
    {
        return m_ms >= m_load.regionLostMs && zone >= zoneCount / 2;
    }

    void step()
    {
        for (int zone = 0; m_ms < m_load.lengthMs && zone < zoneCount; ++zone) {
            for (int owner = 0; owner < m_load.owners; ++owner) {
                const double mean = normalRate / 1'000 * m_load.factor(zone, m_ms)
                                    * m_load.owner(owner, m_ms) / m_load.owners;
                const int calls = std::poisson_distribution<int>(mean)(m_arrivals);
                for (int i = 0; i < calls; ++i) {
                    Call call;
                    call.owner = owner;
                    call.process = zone * 2 + static_cast<int>(m_random() % 2);
                    call.firstSentMs = m_ms;
                    tallyOf(call).calls += 1;
                    arrive(call);
                }
            }
        }
        while (!m_returning.empty() && m_returning.begin()->first <= m_ms) {
            auto call = m_returning.begin()->second;
            m_returning.erase(m_returning.begin());
            call.process = (call.process + 1) % processCount;
            arrive(call);
        }
        int occupied = 0;
        for (std::size_t index = 0; index < m_upstreams.size(); ++index)
            occupied += stepUpstream(m_upstreams[index], static_cast<int>(index));
        m_occupied.push_back(occupied);
        if (m_ms % reportIntervalMs == 0)
            report();
    }

    int stepUpstream(Upstream &upstream, int index)
    {
        if (isLost(zoneOf(index))) {
            upstream = {};
            return 0;
        }
        std::erase_if(upstream.running, [&](const auto &entry) {
            if (entry.first > m_ms)
                return false;
            upstream.own[static_cast<std::size_t>(entry.second.process)] -= 1;
            m_controls[static_cast<std::size_t>(entry.second.process)]->noteAnswered(now());
            return true;
        });
        while (!upstream.waiting.empty()
               && upstream.running.size() + upstream.batch < slotsPerUpstream) {
            const auto call = upstream.waiting.front();
            upstream.waiting.pop_front();
            const double slowness
                    = 0.7 + 0.5 * static_cast<double>(upstream.running.size()) / slotsPerUpstream;
            const int firstEventMs = m_ms + static_cast<int>(90 * slowness + m_random() % 30);
            noteFirstEvent(call, firstEventMs);
            upstream.running.emplace_back(
                    std::max(firstEventMs, m_ms + static_cast<int>(call.runMs * slowness)), call);
        }
        if (m_load.hasBatch && m_ms % reportIntervalMs == 0 && upstream.waiting.empty())
            upstream.batch = slotsPerUpstream - static_cast<unsigned>(upstream.running.size());
        return static_cast<int>(upstream.running.size());
    }

    void noteFirstEvent(const Call &call, int atMs)
    {
        auto &tally = tallyOf(call);
        if (atMs - call.sentMs > targetMs)
            tally.late += 1;
        else
            (call.attempt == 0 ? tally.inTarget : tally.returnedInTarget) += 1;
        m_controls[static_cast<std::size_t>(call.process)]->noteFirstEvent(
                "service", Milliseconds(call.expectedWaitMs), Milliseconds(atMs - call.sentMs),
                now());
    }

    void report()
    {
        for (auto &upstream : m_upstreams)
            upstream.reported = upstream.own;
        for (std::size_t from = 0; from < processCount; ++from) {
            const auto streams = m_controls[from]->ownStreams();
            for (std::size_t to = 0; to < processCount; ++to) {
                if (to != from)
                    m_controls[to]->notePeerStreams(NodeId(std::to_string(from)), streams, now());
            }
        }
    }

    void arrive(Call call)
    {
        while (isLost(call.process / 2))
            call.process = static_cast<int>(m_random() % processCount);
        const auto process = static_cast<std::size_t>(call.process);
        std::vector<UpstreamCandidate> candidates;
        std::vector<int> indexes;
        int free = 0;
        for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
            const auto &upstream = m_upstreams[index];
            const int zone = zoneOf(static_cast<int>(index));
            if (isLost(zone))
                continue;
            UpstreamCandidate candidate;
            candidate.slots = slotsPerUpstream;
            candidate.distance = zone == call.process / 2       ? Distance::SameZone
                                 : zone / 2 == call.process / 4 ? Distance::SameRegion
                                                                : Distance::OtherRegion;
            candidate.batch = upstream.batch;
            for (std::size_t other = 0; other < processCount; ++other)
                candidate.online
                        += other == process ? upstream.own[other] : upstream.reported[other];
            candidates.push_back(candidate);
            indexes.push_back(static_cast<int>(index));
            free += candidate.online < slotsPerUpstream ? 1 : 0;
        }
        auto &control = *m_controls[process];
        const auto limit
                = m_rule == Rule::AdmissionControl
                          ? control.limitFor({"service", Milliseconds(0), Milliseconds(targetMs),
                                              ownerHash(nameOf(call.owner)), 0},
                                             static_cast<unsigned>(indexes.size())
                                                     * slotsPerUpstream,
                                             now())
                                    .longestWait
                          : Milliseconds(targetMs * 6 / 10);
        const auto choice = m_rule == Rule::AdmissionControl
                                    ? chooseOnlineUpstreamWithin(candidates, limit, m_random)
                                    : chooseOnlineUpstream(candidates, m_random);
        if (choice->wait > limit)
            return refuse(call, choice->wait, free > 0);
        auto &upstream = m_upstreams[static_cast<std::size_t>(indexes[choice->index])];
        call.sentMs = m_ms;
        call.expectedWaitMs = static_cast<int>(choice->wait.count());
        call.runMs = static_cast<int>(std::lognormal_distribution<double>(6.35, 0.57)(m_random));
        upstream.own[process] += 1;
        call.stream = std::make_shared<AdmissionControl::OwnerStream>(
                control, ownerHash(nameOf(call.owner)));
        if (choice->mustPreempt && upstream.batch > 0)
            upstream.batch -= 1;
        upstream.waiting.push_back(call);
    }

    void refuse(Call call, Milliseconds wait, bool hasRoom)
    {
        m_refusedWithRoom += hasRoom ? 1 : 0;
        auto &tally = tallyOf(call);
        if (call.attempt++ > 0) {
            tally.lost += 1;
            return;
        }
        tally.refused += 1;
        const Milliseconds left(deadlineMs + call.firstSentMs - m_ms);
        const auto delay = m_rule == Rule::AdmissionControl
                                   ? m_controls[static_cast<std::size_t>(call.process)]->retryAfter(
                                           left, now())
                                   : std::max(wait, Milliseconds(100));
        m_returning.emplace(m_ms + static_cast<int>(std::min(delay, left / 3).count()), call);
    }

    Tally &tallyOf(const Call &call) { return m_tallies[static_cast<std::size_t>(call.owner)]; }

    Rule m_rule;
    Load m_load;
    RouteDirectory m_routes;
    /// Separate, so that the callers are the same under each rule.
    RandomEngine m_arrivals;
    RandomEngine m_random;
    int m_ms = 0;
    std::vector<std::unique_ptr<AdmissionControl>> m_controls;
    std::vector<Upstream> m_upstreams;
    std::multimap<int, Call> m_returning;
    std::vector<Tally> m_tallies;
    std::vector<int> m_occupied;
    int m_refusedWithRoom = 0;
};

/// Results of the same load with several seeds, so that no single one decides.
class DayOutcome
{
public:
    DayOutcome(Rule rule, const Load &load)
        : m_tallies(static_cast<std::size_t>(load.owners))
    {
        constexpr unsigned seeds = 4;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            const Fleet fleet(rule, load, seed);
            for (std::size_t owner = 0; owner < m_tallies.size(); ++owner)
                m_tallies[owner] += fleet.tallies()[owner];
            refusedWithRoom += fleet.refusedWithRoom();
            burstOccupancy += fleet.meanOccupancy(4'000, 6'000) / seeds;
        }
    }

    /// Returns what the callers of the owners from `first` up to `end` got.
    [[nodiscard]] Tally of(int first, int end) const
    {
        Tally sum;
        for (int owner = first; owner < end; ++owner)
            sum += m_tallies.at(static_cast<std::size_t>(owner));
        return sum;
    }
    [[nodiscard]] Tally sum() const { return of(0, static_cast<int>(m_tallies.size())); }

    int refusedWithRoom = 0;
    double burstOccupancy = 0;

private:
    std::vector<Tally> m_tallies;
};

bool isInBurst(int ms)
{
    return ms >= 3'000 && ms < 6'000;
}

} // namespace

TEST_CASE("A burst makes fewer calls late than a fixed share of the target for the wait",
          "[AdmissionControl]")
{
    // Guards against a queue at the upstreams that makes most calls of a burst slightly late.
    Load load;
    const auto compare = [&] {
        const auto before = DayOutcome(Rule::FixedShareOfTarget, load).sum();
        const DayOutcome outcome(Rule::AdmissionControl, load);
        const auto after = outcome.sum();
        INFO("calls " << before.calls << ", late " << before.late << " -> " << after.late
                      << ", served in target " << before.served() << " -> " << after.served());
        CHECK(before.calls == after.calls);
        CHECK(after.late < 0.75 * before.late);
        CHECK(after.served() >= before.served());
        CHECK(outcome.refusedWithRoom == 0);
        // Refusals must not leave slots idle that the calls could use.
        CHECK(outcome.burstOccupancy > 0.45);
    };

    SECTION("everywhere")
    {
        load.factor = [](int, int ms) { return isInBurst(ms) ? 2 : 1; };
        compare();
    }
    SECTION("in one zone")
    {
        load.factor = [](int zone, int ms) { return zone == 0 && isInBurst(ms) ? 3 : 1; };
        compare();
    }
    SECTION("while batch items hold every slot that is free")
    {
        load.hasBatch = true;
        load.factor = [](int, int ms) { return isInBurst(ms) ? 2 : 1; };
        compare();
    }
    SECTION("of the callers of a lost region")
    {
        load.regionLostMs = 3'000;
        compare();
    }
}

TEST_CASE("Owners below their shares do not pay for those above", "[AdmissionControl]")
{
    Load load;
    int noisy = 0;
    const auto compare = [&] {
        const DayOutcome before(Rule::FixedShareOfTarget, load);
        const DayOutcome after(Rule::AdmissionControl, load);
        const auto quiet = after.of(noisy, load.owners);
        const auto quietBefore = before.of(noisy, load.owners);
        INFO("late " << quietBefore.late << " -> " << quiet.late << ", refused "
                     << quietBefore.refused << " -> " << quiet.refused << ", served in target "
                     << quietBefore.served() << " -> " << quiet.served() << " of " << quiet.calls);
        CHECK(quiet.late < 0.75 * quietBefore.late);
        CHECK(quiet.refused < 0.5 * quietBefore.refused);
        CHECK(quiet.served() > 0.83 * quiet.calls);
        // Nobody is starved, and nothing that the quiet owners leave is wasted.
        for (int owner = 0; owner < load.owners; ++owner) {
            INFO("owner " << owner);
            const auto each = after.of(owner, owner + 1);
            CHECK(each.served() > 0.6 * each.calls);
        }
        CHECK(after.sum().served() >= before.sum().served());
        CHECK(after.burstOccupancy > 0.97);
    };

    SECTION("one owner with eight times its load")
    {
        load.owners = 10;
        noisy = 1;
        load.owner = [](int owner, int ms) { return owner == 0 && isInBurst(ms) ? 8 : 1; };
        compare();
    }
    SECTION("twenty owners with three times their load")
    {
        load.owners = 40;
        noisy = 20;
        load.owner = [](int owner, int ms) { return owner < 20 && isInBurst(ms) ? 3 : 1; };
        compare();
    }
}

TEST_CASE("A load that the upstreams can serve is served as before", "[AdmissionControl]")
{
    // Guards against refusals in deployments that have room.
    const Load load;
    const auto before = DayOutcome(Rule::FixedShareOfTarget, load).sum();
    const auto after = DayOutcome(Rule::AdmissionControl, load).sum();
    CHECK(after.refused == 0);
    CHECK(after.inTarget == before.inTarget);
}

TEST_CASE("Refused callers return one after the other", "[AdmissionControl]")
{
    // Guards against a second wave: callers that are refused together and return together.
    const RouteDirectory routes;
    AdmissionControl control(routes);
    TimePoint now{std::chrono::seconds(1'000)};
    const Milliseconds timeLeft(4'500);
    SECTION("also at a process that has answered nothing yet")
    {
        const auto first = control.retryAfter(timeLeft, now);
        CHECK(first < control.retryAfter(timeLeft, now));
    }
    SECTION("in the order of their refusals, spread over the time for which they wait")
    {
        for (int i = 0; i < 200; ++i) {
            now += Milliseconds(40);
            control.noteAnswered(now);
        }
        std::array<int, 5> returns{};
        auto previous = now;
        int steps = 0;
        for (int i = 0; i < 60; ++i) {
            now += Milliseconds(3);
            const auto delay = control.retryAfter(timeLeft, now);
            CHECK(delay >= Milliseconds(500));
            CHECK(delay <= timeLeft / 3);
            steps += now + delay > previous ? 1 : 0;
            previous = now + delay;
            returns.at(static_cast<std::size_t>((delay.count() - 500) / 201)) += 1;
        }
        CHECK(steps >= 45);
        for (const int count : returns)
            CHECK(count >= 6);
    }
    SECTION("A caller with little time left is not told a time after it has given up")
    {
        CHECK(control.retryAfter(Milliseconds(900), now) == Milliseconds(300));
    }
}

TEST_CASE("Metrics name only the largest owners", "[AdmissionControl]")
{
    // Guards against a time series for each of thousands of owners.
    std::vector<Owner> owners(20);
    for (std::size_t index = 0; index < owners.size(); ++index)
        owners[index].id = OwnerId("owner" + std::to_string(index));
    RouteDirectory routes;
    routes.publish(std::make_unique<const RouteTable>(1, std::vector<Route>(), CallerLimits(),
                                                      OwnerDirectory(owners)));
    AdmissionControl control(routes);
    std::vector<OwnerStreams> streams;
    for (unsigned index = 0; index < owners.size(); ++index)
        streams.push_back({ownerHash(owners[index].id.text()), index + 1});
    control.notePeerStreams(NodeId("entry2"), streams, SteadyClock().now());
    std::string text;
    control.renderPrometheus(text);
    CHECK(text.find("radishplank_owner_streams{owner=\"owner19\"} 20\n") != std::string::npos);
    CHECK(text.find("owner11\"") == std::string::npos);
    CHECK(text.find("radishplank_owner_streams{owner=\"\"} 78\n") != std::string::npos);
}
