#include <Gateway/Gateway.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <memory>

using namespace Radishplank;

namespace {

constexpr Milliseconds step{10};
constexpr Milliseconds reportInterval{500};
constexpr Milliseconds reportDelay{60};
/// How long a process tells its peers that its calls need requests.
constexpr Milliseconds callNeedTime{1'000};
/// Time for reports and for the bucket of a process, beyond the turns of the others.
constexpr Milliseconds turnMargin{3'000};
/// The processes must respect a limit from this time after its first naming.
constexpr Milliseconds contactTime{3'000};
constexpr Milliseconds window{4'000};
using Answer = UpstreamLimits::AnswerKind;

Locality localityIn(const ZoneName &zone)
{
    const std::map<ZoneName, RegionName> regions{{ZoneName("a"), RegionName("north")},
                                                 {ZoneName("b"), RegionName("north")},
                                                 {ZoneName("c"), RegionName("south")}};
    return {zone, regions.at(zone), regions};
}

LimitMember member(std::size_t index)
{
    static const std::array<std::string, 3> zones{"a", "b", "c"};
    return {nodeHash(NodeId("entry" + std::to_string(index))), ZoneName(zones[index % 3])};
}

/// Requests in any window of 4 s that a limit allows, as the users' pages state it.
double allowedRequests(double limit)
{
    return 1.5 * limit * 4 + 5;
}

/// Processes that send to one upstream as often as they may, and report to each other. They have
/// calls that arrive at each alike, or items that wait.
class Fleet
{
public:
    explicit Fleet(std::size_t processes)
    {
        for (std::size_t i = 0; i < processes; ++i)
            m_processes.push_back(std::make_unique<Process>(member(i)));
        for (std::size_t i = 0; i < processes; ++i)
            m_alive.push_back(true);
        updateMembers();
    }

    /// What the upstream names in its answers; empty for no limit.
    std::optional<double> limit;
    /// Calls per second that arrive at the processes in turn.
    double demand = 200;
    /// Whether calls arrive at a process.
    std::function<bool(std::size_t index)> hasCalls = [](std::size_t) { return true; };
    static constexpr std::size_t endless = std::numeric_limits<std::size_t>::max();
    /// Items that wait, by process.
    std::map<std::size_t, std::size_t> items;
    /// Whether reports reach one process from another.
    std::function<bool(std::size_t from, std::size_t to)> isConnected
            = [](std::size_t, std::size_t) { return true; };

    void run(Milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += step) {
            sendCalls();
            sendItems();
            deliverReports();
            if (serveNeeds() || (m_now - TimePoint{}) % reportInterval == Duration(0))
                sendReports();
        }
    }

    /// Starts a process anew, with nothing known.
    void restart(std::size_t index)
    {
        m_processes[index] = std::make_unique<Process>(member(index));
        updateMembers();
    }
    void setAlive(std::size_t index, bool isAlive)
    {
        m_alive[index] = isAlive;
        updateMembers();
    }
    void updateMembers()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            std::vector<LimitMember> others;
            for (std::size_t j = 0; j < m_processes.size(); ++j) {
                if (j != i && m_alive[j] && isConnected(j, i))
                    others.push_back(member(j));
            }
            m_processes[i]->limits.setMembers(others, m_processes.size());
        }
    }

    [[nodiscard]] TimePoint now() const { return m_now; }
    [[nodiscard]] std::size_t sentSince(TimePoint since) const
    {
        return static_cast<std::size_t>(std::count_if(
                m_sent.begin(), m_sent.end(), [&](const TimePoint &at) { return at >= since; }));
    }
    /// Returns the longest time for which a process has sent nothing since the given time.
    [[nodiscard]] Duration longestPause(std::size_t index, TimePoint since) const
    {
        Duration longest{};
        for (const auto at : m_processes[index]->sent) {
            if (at < since)
                continue;
            longest = std::max(longest, at - since);
            since = at;
        }
        return std::max(longest, m_now - since);
    }
    /// Returns the most requests in a window that begins at `since` or later.
    [[nodiscard]] std::size_t mostInWindow(TimePoint since) const
    {
        std::size_t most = 0;
        for (auto first = m_sent.begin(); first != m_sent.end(); ++first) {
            if (*first < since)
                continue;
            const auto last = std::upper_bound(first, m_sent.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

private:
    struct Process
    {
        explicit Process(const LimitMember &self)
            : limits(self.node, localityIn(self.zone))
        {
        }
        UpstreamLimits limits;
        /// By process, as last reported.
        std::map<std::size_t, PeerNeed> peers = {};
        /// When a call last needed a request.
        std::optional<TimePoint> limitedCallAt = {};
        std::vector<TimePoint> sent = {};
    };
    struct Report
    {
        TimePoint at;
        std::size_t from;
        std::size_t to;
        std::vector<UpstreamLimitReport> limits;
        std::vector<RequestGrant> grants;
        RequestNeed need;
    };

    void sendCalls()
    {
        m_due += demand * std::chrono::duration<double>(step).count();
        for (; m_due >= 1; m_due -= 1) {
            m_next = (m_next + 1) % m_processes.size();
            auto &process = *m_processes[m_next];
            if (!m_alive[m_next] || !hasCalls(m_next))
                continue;
            if (process.limits.waitTime(m_upstream, m_zone, m_now))
                process.limitedCallAt = m_now;
            trySend(process);
        }
    }
    void sendItems()
    {
        for (auto &[index, waiting] : items) {
            if (!m_alive[index] || needOf(index) != RequestNeed::Items)
                continue;
            if (trySend(*m_processes[index]) && waiting != endless)
                waiting -= 1;
        }
    }
    bool trySend(Process &process)
    {
        const auto wait = process.limits.waitTime(m_upstream, m_zone, m_now);
        if (wait && *wait > Duration(0))
            return false;
        process.limits.noteSent(m_upstream, m_now);
        process.sent.push_back(m_now);
        m_sent.push_back(m_now);
        process.limits.noteAnswer(m_upstream, limit, Answer::Success, m_now, m_now + step);
        return true;
    }
    bool serveNeeds()
    {
        bool hasGranted = false;
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            std::vector<PeerNeed> peers;
            for (const auto &[from, need] : m_processes[index]->peers)
                peers.push_back(need);
            if (m_alive[index])
                hasGranted |= m_processes[index]->limits.serveNeeds(m_upstream, m_zone,
                                                                    needOf(index), peers, m_now);
        }
        return hasGranted;
    }
    [[nodiscard]] RequestNeed needOf(std::size_t index) const
    {
        const auto limitedCallAt = m_processes[index]->limitedCallAt;
        if (limitedCallAt && m_now - *limitedCallAt < callNeedTime)
            return RequestNeed::Calls;
        const auto found = items.find(index);
        return found != items.end() && found->second > 0 ? RequestNeed::Items : RequestNeed::None;
    }
    void sendReports()
    {
        for (std::size_t from = 0; from < m_processes.size(); ++from) {
            for (std::size_t to = 0; to < m_processes.size(); ++to) {
                if (from == to || !m_alive[from] || !m_alive[to] || !isConnected(from, to))
                    continue;
                auto &limits = m_processes[from]->limits;
                m_reports.push_back({m_now + reportDelay, from, to, limits.report(m_now),
                                     limits.grantsToReport(m_now), needOf(from)});
            }
        }
    }
    void deliverReports()
    {
        for (; !m_reports.empty() && m_reports.front().at <= m_now; m_reports.pop_front()) {
            const auto &report = m_reports.front();
            auto &process = *m_processes[report.to];
            process.limits.applyReport(report.limits, m_now);
            process.limits.applyGrants(report.grants, m_now);
            process.peers[report.from] = {member(report.from).node, report.need};
        }
    }

    const UpstreamStart m_upstream{upstreamHash(UpstreamId("u1")), 1};
    const ZoneName m_zone{"a"};
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<bool> m_alive;
    std::deque<Report> m_reports;
    std::vector<TimePoint> m_sent;
    TimePoint m_now{std::chrono::hours(1)};
    double m_due = 0;
    std::size_t m_next = 0;
};

} // namespace

TEST_CASE("An upstream gets the requests per second that it names from all processes together",
          "[UpstreamLimits]")
{
    for (const std::size_t processes : {1, 5, 18, 31, 58}) {
        for (const double limit : {0.0, 0.1, 0.6, 2.2, 2.8, 7.0, 40.0}) {
            CAPTURE(processes, limit);
            Fleet fleet(processes);
            fleet.demand = 1'000;
            fleet.run(Milliseconds(2'000));
            const auto named = fleet.now();
            fleet.limit = limit;
            fleet.run(Milliseconds(20'000));
            const auto since = named + contactTime;
            CHECK(static_cast<double>(fleet.mostInWindow(since)) <= allowedRequests(limit));
            const double seconds = std::chrono::duration<double>(fleet.now() - since).count();
            CHECK(static_cast<double>(fleet.sentSince(since)) >= 0.9 * limit * seconds - 1);
        }
    }
}

TEST_CASE("A limit holds while processes come and go", "[UpstreamLimits]")
{
    constexpr double limit = 2.4;
    constexpr std::size_t processes = 18;
    Fleet fleet(processes);
    fleet.limit = limit;
    const auto since = fleet.now() + contactTime;

    SECTION("one after the other")
    {
        for (std::size_t i = 0; i < processes; ++i) {
            fleet.setAlive(i, false);
            fleet.run(Milliseconds(1'300));
            fleet.restart(i);
            fleet.setAlive(i, true);
            fleet.run(Milliseconds(400));
        }
        CHECK(static_cast<double>(fleet.mostInWindow(since)) <= allowedRequests(limit));
    }
    SECTION("and while a process is cut off from the others")
    {
        fleet.run(Milliseconds(4'000));
        fleet.isConnected
                = [](std::size_t from, std::size_t to) { return (from == 4) == (to == 4); };
        fleet.updateMembers();
        fleet.run(Milliseconds(10'000));
        CHECK(static_cast<double>(fleet.mostInWindow(since)) <= allowedRequests(limit));
    }
    SECTION("and while the fleet is split into halves that cannot tell who else sends")
    {
        fleet.run(Milliseconds(4'000));
        fleet.isConnected = [](std::size_t from, std::size_t to) {
            return (from < processes / 2) == (to < processes / 2);
        };
        fleet.updateMembers();
        fleet.run(Milliseconds(10'000));
        // Each half has the processes nearest to the upstream for itself.
        CHECK(static_cast<double>(fleet.mostInWindow(since)) <= 2 * allowedRequests(limit));
    }
}

// Guards against items that wait for ever at a process without a part of the rate.
TEST_CASE("Each process with work sends some of it within a bounded time", "[UpstreamLimits]")
{
    for (const std::size_t processes : {3, 6, 12, 30, 60}) {
        for (const double limit : {0.25, 1.0, 2.4, 7.0}) {
            for (const bool isCalls : {true, false}) {
                CAPTURE(processes, limit, isCalls);
                const auto turns = std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(static_cast<double>(processes) / limit));
                if (turns > std::chrono::minutes(1))
                    continue;
                Fleet fleet(processes);
                fleet.limit = limit;
                fleet.demand = isCalls ? 1'000 : 10;
                fleet.run(Milliseconds(2'000));
                fleet.demand = isCalls ? 1'000 : 0;
                for (std::size_t i = 0; i < processes && !isCalls; ++i)
                    fleet.items[i] = Fleet::endless;
                const auto since = fleet.now() + contactTime;
                fleet.run(std::chrono::duration_cast<Milliseconds>(contactTime + 3 * turns
                                                                   + turnMargin));
                for (std::size_t i = 0; i < processes; ++i) {
                    CAPTURE(i);
                    CHECK(fleet.longestPause(i, since) <= 2 * turns + turnMargin);
                }
                CHECK(static_cast<double>(fleet.mostInWindow(since)) <= allowedRequests(limit));
                const double seconds = std::chrono::duration<double>(fleet.now() - since).count();
                CHECK(static_cast<double>(fleet.sentSince(since)) >= 0.9 * limit * seconds - 1);
            }
        }
    }
}

TEST_CASE("Each process can send its items, however long a limit lasts", "[UpstreamLimits]")
{
    constexpr double limit = 1;
    Fleet fleet(6);
    fleet.demand = 0;
    fleet.limit = limit;
    // One request tells the fleet the limit.
    fleet.items[0] = 1;
    fleet.run(Milliseconds(2'000));
    const auto named = fleet.now();
    const auto areSent = [&](std::initializer_list<std::size_t> processes) {
        return std::all_of(processes.begin(), processes.end(),
                           [&](std::size_t each) { return fleet.items[each] == 0; });
    };

    SECTION("Only one process has any")
    {
        for (std::size_t only = 0; only < 6; ++only) {
            CAPTURE(only);
            fleet.items[only] = 4;
            fleet.run(Milliseconds(6'000));
            CHECK(areSent({only}));
        }
    }
    SECTION("All have some")
    {
        for (std::size_t each = 0; each < 6; ++each)
            fleet.items[each] = 4;
        fleet.run(Milliseconds(28'000));
        CHECK(areSent({0, 1, 2, 3, 4, 5}));
    }
    SECTION("Most never run out of them")
    {
        for (std::size_t each = 0; each < 5; ++each)
            fleet.items[each] = Fleet::endless;
        fleet.items[5] = 4;
        fleet.run(Milliseconds(28'000));
        CHECK(areSent({5}));
        CHECK(static_cast<double>(fleet.sentSince(named)) >= 0.9 * limit * 28 - 1);
    }
    SECTION("One after the other dies")
    {
        for (std::size_t each = 0; each < 5; ++each) {
            fleet.items[5] = 2;
            fleet.run(Milliseconds(8'000));
            CAPTURE(each);
            CHECK(areSent({5}));
            fleet.setAlive(each, false);
        }
    }
    SECTION("The others do not hear that a process has some")
    {
        fleet.isConnected = [](std::size_t from, std::size_t) { return from != 5; };
        fleet.updateMembers();
        fleet.items[4] = Fleet::endless;
        fleet.items[5] = 1;
        fleet.run(Milliseconds(15'000));
        CHECK(areSent({5}));
    }
    CHECK(static_cast<double>(fleet.mostInWindow(named)) <= allowedRequests(limit));
}

TEST_CASE("Calls go before items, also those of other processes", "[UpstreamLimits]")
{
    const ZoneName zone("a");
    const UpstreamStart upstream{7, 100};
    const TimePoint begin{std::chrono::hours(1)};
    const std::vector<PeerNeed> peers{{member(1).node, RequestNeed::Items},
                                      {member(2).node, RequestNeed::Calls}};
    UpstreamLimits limits(member(0).node, localityIn(zone));
    limits.setMembers(std::vector<LimitMember>{{member(1).node, ZoneName("c")},
                                               {member(2).node, ZoneName("c")}},
                      3);
    limits.noteAnswer(upstream, 1.0, Answer::Success, begin, begin);
    (void)limits.waitTime(upstream, zone, begin);
    const auto later = begin + Milliseconds(1'500);

    SECTION("A process grants nothing for items of peers while its own calls need requests")
    {
        CHECK_FALSE(limits.serveNeeds(upstream, zone, RequestNeed::Calls, std::span(peers).first(1),
                                      later));
        CHECK(limits.waitTime(upstream, zone, later) == Duration(0));
    }
    SECTION("Its items give way to the calls of peers, and then so do those of peers")
    {
        REQUIRE(limits.serveNeeds(upstream, zone, RequestNeed::Items, peers, later));
        CHECK(limits.waitTime(upstream, zone, later) > Duration(0));
        const auto grants = limits.grantsToReport(later);
        REQUIRE(grants.size() == 1);
        CHECK(grants[0].node == member(2).node);

        SECTION("The peer may send one request soon, however often it hears of the grant")
        {
            UpstreamLimits peer(member(2).node, localityIn(ZoneName("c")));
            peer.setMembers(std::vector<LimitMember>{{member(0).node, zone}}, 2);
            peer.noteAnswer(upstream, 1.0, Answer::Success, begin, begin);
            CHECK(peer.waitTime(upstream, zone, later) > Duration(0));
            CHECK(peer.mayBeGranted(upstream));
            peer.applyGrants(grants, later);
            peer.applyGrants(limits.grantsToReport(later + Milliseconds(300)), later);
            CHECK(peer.waitTime(upstream, zone, later) == Duration(0));
            peer.noteSent(upstream, later);
            CHECK(peer.waitTime(upstream, zone, later) > Duration(0));
        }
    }
}

TEST_CASE("A limit ends when the upstream no longer names it", "[UpstreamLimits]")
{
    SECTION("at all processes, and they can use the upstream again")
    {
        Fleet fleet(18);
        fleet.limit = 2.4;
        fleet.run(Milliseconds(10'000));
        fleet.limit = {};
        const auto end = fleet.now();
        fleet.run(Milliseconds(2'000));
        CHECK(static_cast<double>(fleet.sentSince(end)) <= 2 * 2 * 2.4 + 5);
        fleet.run(Milliseconds(3'000));
        const auto since = fleet.now();
        fleet.run(Milliseconds(2'000));
        CHECK(static_cast<double>(fleet.sentSince(since)) >= 0.95 * 2 * fleet.demand);
    }
    SECTION("and again when it comes and goes, also over the whole time")
    {
        Fleet fleet(18);
        constexpr double limit = 2.4;
        const auto mostWithPauses = [&](Milliseconds limited, Milliseconds unlimited) {
            const auto begin = fleet.now() + contactTime;
            for (int i = 0; i < 10; ++i) {
                fleet.limit = limit;
                fleet.run(limited);
                fleet.limit = {};
                fleet.run(unlimited);
            }
            return static_cast<double>(fleet.mostInWindow(begin));
        };
        CHECK(mostWithPauses(Milliseconds(1'000), Milliseconds(1'000)) <= allowedRequests(limit));
        CHECK(mostWithPauses(Milliseconds(1'500), Milliseconds(500)) <= allowedRequests(limit));
        fleet.run(Milliseconds(5'000));
        const auto since = fleet.now();
        fleet.run(Milliseconds(2'000));
        CHECK(static_cast<double>(fleet.sentSince(since)) >= 0.95 * 2 * fleet.demand);
    }
}

TEST_CASE("Only a later answer of the same start shows that a limit has ended", "[UpstreamLimits]")
{
    const ZoneName zone("a");
    const UpstreamStart upstream{7, 100};
    UpstreamLimits limits(member(0).node, localityIn(zone));
    const TimePoint begin{std::chrono::hours(1)};
    const auto at = [&](int milliseconds) { return begin + Milliseconds(milliseconds); };
    CHECK(limits.noteAnswer(upstream, 2.0, Answer::Success, at(0), at(100)));
    REQUIRE(limits.waitTime(upstream, zone, at(100)));

    SECTION("not an answer to an earlier request")
    {
        CHECK_FALSE(limits.noteAnswer(upstream, {}, Answer::Success, at(50), at(150)));
        CHECK(limits.waitTime(upstream, zone, at(150)));
    }
    SECTION("not a refusal")
    {
        CHECK_FALSE(limits.noteAnswer(upstream, {}, Answer::Other, at(200), at(250)));
        CHECK(limits.waitTime(upstream, zone, at(250)));
    }
    SECTION("not an older report of a peer")
    {
        limits.applyReport(std::vector<UpstreamLimitReport>{{7, 100, {}, Milliseconds(500)}},
                           at(300));
        CHECK(limits.waitTime(upstream, zone, at(300)));
    }
    SECTION("an answer to a request that was sent after the limit was named")
    {
        CHECK(limits.noteAnswer(upstream, {}, Answer::Success, at(200), at(250)));
        CHECK(limits.waitTime(upstream, zone, at(250)));
        CHECK_FALSE(limits.waitTime(upstream, zone, at(4'300)));
        limits.applyReport(std::vector<UpstreamLimitReport>{{7, 100, 2.0, Milliseconds(4'200)}},
                           at(4'400));
        CHECK_FALSE(limits.waitTime(upstream, zone, at(4'400)));
    }
    SECTION("another start of the upstream has no limit yet")
    {
        CHECK_FALSE(limits.waitTime({7, 101}, zone, at(200)));
    }
    SECTION("a limit that no answer has confirmed for long is forgotten")
    {
        CHECK_FALSE(limits.waitTime(upstream, zone, at(61'000)));
    }
}

// Guards against a limit that one process keeps after its peers have learnt of its end.
TEST_CASE("A report that was long on its way brings no limit back", "[UpstreamLimits]")
{
    const ZoneName zone("a");
    const UpstreamStart upstream{7, 100};
    UpstreamLimits limits(member(0).node, localityIn(zone));
    const TimePoint begin{std::chrono::hours(1)};
    const auto at = [&](int milliseconds) { return begin + Milliseconds(milliseconds); };
    using Reports = std::vector<UpstreamLimitReport>;
    // Another process got an answer that names the limit at 150 ms; its report arrives at 300 ms.
    const Reports naming{{7, 100, 2.0, Milliseconds(20)}};

    SECTION("to a process that knows its end")
    {
        limits.noteAnswer(upstream, 2.0, Answer::Success, at(0), at(100));
        limits.noteAnswer(upstream, {}, Answer::Success, at(200), at(250));
        limits.applyReport(naming, at(300));
        CHECK_FALSE(limits.limitOf(upstream));

        SECTION("but a later answer does")
        {
            limits.applyReport(naming, at(600));
            CHECK(limits.limitOf(upstream) == 2.0);
        }
    }
    SECTION("to a process that hears of its end next")
    {
        limits.applyReport(naming, at(300));
        REQUIRE(limits.limitOf(upstream) == 2.0);
        limits.applyReport(Reports{{7, 100, {}, Milliseconds(60)}}, at(310));
        CHECK_FALSE(limits.limitOf(upstream));
    }
}

TEST_CASE("A limit is read from the answer of an upstream", "[UpstreamLimits]")
{
    const auto limitIn = [](const std::string &value) {
        return requestLimitOf({{"Limit", value}}, "Limit");
    };
    CHECK(limitIn("2.5") == 2.5);
    CHECK(limitIn("0") == 0.0);
    for (const auto *invalid : {"", "-1", "nan", "inf", "many"}) {
        CAPTURE(invalid);
        CHECK_FALSE(limitIn(invalid));
    }
    CHECK_FALSE(requestLimitOf({}, "Limit"));
    CHECK_FALSE(requestLimitOf({{"Limit", "2"}}, ""));
}

TEST_CASE("Limits are part of a report", "[UpstreamLimits]")
{
    PeerReport report;
    report.node = NodeId("entry1");
    report.upstreamLimits = {{1, 2, 2.25, Milliseconds(40)}, {3, 4, {}, Milliseconds(5)}};
    report.requestGrants = {{1, 2, 5, 6, Milliseconds(7)}};
    report.waiting = {{8, 9, 10, true}};
    const auto decoded = decodePeerReport(encodePeerReport(report));
    REQUIRE_FALSE(decoded.isError());
    CHECK(decoded.value().upstreamLimits == report.upstreamLimits);
    CHECK(decoded.value().requestGrants == report.requestGrants);
    REQUIRE(decoded.value().waiting.size() == 1);
    CHECK(decoded.value().waiting[0].hasLimitedCalls);
}
