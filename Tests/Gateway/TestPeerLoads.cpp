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
