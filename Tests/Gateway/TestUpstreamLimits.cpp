#include <Gateway/Gateway.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>

using namespace Radishplank;

namespace {

constexpr Milliseconds step{10};
constexpr Milliseconds reportInterval{500};
constexpr Milliseconds reportDelay{60};
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

/// Processes that send to one upstream as often as they may, and report to each other.
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
    /// Requests per second that all processes have to send.
    double demand = 200;
    /// Whether reports reach one process from another.
    std::function<bool(std::size_t from, std::size_t to)> isConnected
            = [](std::size_t, std::size_t) { return true; };

    void run(Milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += step) {
            sendRequests();
            deliverReports();
            if ((m_now - TimePoint{}) % reportInterval == Duration(0))
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
                if (j != i && m_alive[j] && isConnected(j, i) && isConnected(i, j))
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
    };
    struct Report
    {
        TimePoint at;
        std::size_t to;
        std::vector<UpstreamLimitReport> limits;
    };

    void sendRequests()
    {
        m_due += demand * std::chrono::duration<double>(step).count();
        for (; m_due >= 1; m_due -= 1) {
            m_next = (m_next + 1) % m_processes.size();
            auto &limits = m_processes[m_next]->limits;
            if (!m_alive[m_next])
                continue;
            const auto wait = limits.waitTime(m_upstream, m_zone, m_now);
            if (wait && *wait > Duration(0))
                continue;
            limits.noteSent(m_upstream, m_now);
            m_sent.push_back(m_now);
            limits.noteAnswer(m_upstream, limit, Answer::Success, m_now, m_now + step);
        }
    }
    void sendReports()
    {
        for (std::size_t from = 0; from < m_processes.size(); ++from) {
            for (std::size_t to = 0; to < m_processes.size(); ++to) {
                if (from == to || !m_alive[from] || !m_alive[to] || !isConnected(from, to))
                    continue;
                m_reports.push_back(
                        {m_now + reportDelay, to, m_processes[from]->limits.report(m_now)});
            }
        }
    }
    void deliverReports()
    {
        for (; !m_reports.empty() && m_reports.front().at <= m_now; m_reports.pop_front()) {
            const auto &report = m_reports.front();
            m_processes[report.to]->limits.applyReport(report.limits, m_now);
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
    const auto decoded = decodePeerReport(encodePeerReport(report));
    REQUIRE_FALSE(decoded.isError());
    CHECK(decoded.value().upstreamLimits == report.upstreamLimits);
}
