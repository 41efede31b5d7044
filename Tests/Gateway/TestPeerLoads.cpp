#include <Gateway/PeerLoads.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

struct ReferenceReport
{
    TimePoint at{};
    std::vector<UpstreamStreams> loads;
    std::vector<ServiceDemand> waiting;
};

constexpr Milliseconds maxReportAge{1'500};

} // namespace

TEST_CASE("Sums of the peers' loads match their latest reports", "[PeerLoads]")
{
    constexpr std::size_t peers = 30;
    constexpr std::uint64_t upstreams = 12;
    RandomEngine random(5);
    const auto draw = [&](unsigned below) { return static_cast<unsigned>(random() % below); };
    PeerLoads loads;
    std::map<NodeId, ReferenceReport> reference;
    TimePoint now{std::chrono::seconds(1'000)};

    for (int step = 0; step < 3'000; ++step) {
        now += Milliseconds(1 + draw(120));
        const NodeId peer("entry" + std::to_string(draw(peers)));
        ReferenceReport report;
        report.at = now;
        for (std::uint64_t upstream = upstreams; upstream > 0; --upstream) {
            if (draw(3) == 0)
                report.loads.push_back({upstream, draw(5), draw(5)});
        }
        report.waiting = {{7, draw(50), draw(9)}};
        loads.note(peer, report.loads, report.waiting, now);
        reference[peer] = report;
        loads.expire(now);

        UpstreamLoad sum;
        WaitingItems waiting;
        bool mustPeerPreemptFirst = false;
        const auto upstream = 1 + draw(upstreams);
        for (const auto &[node, each] : reference) {
            if (now - each.at > maxReportAge)
                continue;
            waiting += {double(each.waiting[0].items), double(each.waiting[0].lateItems)};
            for (const auto &load : each.loads) {
                if (load.upstream != upstream)
                    continue;
                sum.online += load.online;
                sum.batch += load.batch;
                mustPeerPreemptFirst
                        |= load.batch > 2 || (load.batch == 2 && node > NodeId("entry2"));
            }
        }
        CAPTURE(step, upstream);
        REQUIRE(loads.at(upstream) == sum);
        REQUIRE(loads.waiting(7).inTime == waiting.inTime);
        REQUIRE(loads.waiting(7).late == waiting.late);
        REQUIRE(loads.mustPeerPreemptFirst(upstream, 2, NodeId("entry2")) == mustPeerPreemptFirst);
    }
}

TEST_CASE("Remaining work of peers shrinks as time passes", "[PeerLoads]")
{
    PeerLoads loads;
    const TimePoint now{std::chrono::seconds(1'000)};
    const auto later = now + Milliseconds(200);
    const std::vector<UpstreamStreams> first{{7, 2, 1, Milliseconds(1'000), Milliseconds(3'000)}};
    const std::vector<UpstreamStreams> second{{7, 1, 0, Milliseconds(500), Milliseconds(0)}};
    loads.note(NodeId("a"), first, {}, now);
    loads.note(NodeId("b"), second, {}, now + Milliseconds(100));

    SECTION("by the time of each stream since its report")
    {
        const auto remaining = loads.remainingAt(7, 1, later);
        CHECK(remaining.online == Approx(1'500 - 2 * 200 - 100));
        CHECK(remaining.batch == Approx(3'000 - 200));
    }
    SECTION("more slowly where the upstream is slow or streams wait")
    {
        CHECK(loads.remainingAt(7, 0.5, later).online == Approx(1'500 - 0.5 * 500));
    }
    SECTION("but not to nothing while streams are still reported")
    {
        CHECK(loads.remainingAt(7, 1, now + Milliseconds(1'400)).online == Approx(300));
    }
    SECTION("A new report replaces the old one without a remainder")
    {
        loads.note(NodeId("a"), {}, {}, later);
        CHECK(loads.remainingAt(7, 1, later).online == Approx(400));
        loads.note(NodeId("b"), {}, {}, later);
        CHECK(loads.remainingAt(7, 1, later).online == 0);
    }
    SECTION("A process that does not estimate counts with the mean time of its streams")
    {
        const std::vector<UpstreamStreams> old{{9, 2, 1}};
        loads.note(NodeId("c"), old, {}, now);
        CHECK(loads.remainingAt(9, 1, now).online == Approx(1'400));
        CHECK(loads.remainingAt(9, 1, now).batch == Approx(4'000));
    }
}
