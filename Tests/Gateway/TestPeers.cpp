#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

PeerReport reportOf(const std::string &node)
{
    PeerReport report;
    report.node = NodeId(node);
    report.zone = ZoneName("zone1");
    report.control = {"127.0.0.2", 77};
    report.loads = {{12, 3, 4}, {13, 0, 1}};
    report.waiting = {{serviceHash("service"), 70'000}};
    report.hasJobs = true;
    report.ownedJobs = {jobHash("job1")};
    report.endedJobs = {"job2"};
    return report;
}

const Endpoint sender{"127.0.0.2", 78};

} // namespace

TEST_CASE("A report survives its datagram", "[Peers]")
{
    const auto bytes = encodePeerReport(reportOf("entry2"));
    const auto decoded = decodePeerReport(bytes);
    REQUIRE_FALSE(decoded.isError());
    CHECK(decoded.value().node == NodeId("entry2"));
    CHECK(decoded.value().control.text() == "127.0.0.2:77");
    REQUIRE(decoded.value().loads.size() == 2);
    CHECK(decoded.value().loads[0].batch == 4);
    REQUIRE(decoded.value().waiting.size() == 1);
    CHECK(decoded.value().waiting[0].service == serviceHash("service"));
    CHECK(decoded.value().waiting[0].items == 70'000);
    CHECK(decoded.value().ownedJobs == std::vector<std::uint64_t>{jobHash("job1")});
    CHECK(decoded.value().endedJobs == std::vector<std::string>{"job2"});

    SECTION("and what is no report is refused")
    {
        CHECK(decodePeerReport("").isError());
        CHECK(decodePeerReport("hello, w").isError());
        for (std::size_t length = 0; length < bytes.size(); ++length)
            (void)decodePeerReport(std::string_view(bytes).substr(0, length));
        auto spoilt = bytes;
        for (auto &byte : spoilt) {
            byte = static_cast<char>(byte ^ 0x5a);
            (void)decodePeerReport(spoilt);
        }
    }
}

TEST_CASE("Peers are known by what is heard of them", "[Peers]")
{
    PeerTable peers(NodeId("entry1"), ZoneName("zone1"));
    const TimePoint start{std::chrono::seconds(1'000)};
    peers.noteMember(NodeId("entry2"), ZoneName("zone1"), sender);
    CHECK(peers.destinations().size() == 1);
    CHECK_FALSE(peers.isHeard(NodeId("entry2"), start));
    CHECK(peers.takeSilent(start).empty());
    CHECK(peers.noteReport(reportOf("entry2"), sender, start));
    CHECK_FALSE(peers.noteReport(reportOf("entry2"), sender, start + Milliseconds(500)));
    CHECK(peers.ownerOf("job1", start)->text() == "127.0.0.2:77");
    CHECK_FALSE(peers.ownerOf("job3", start));

    SECTION("One that falls silent is told once")
    {
        const auto later = start + std::chrono::seconds(5);
        CHECK_FALSE(peers.ownerOf("job1", later));
        CHECK(peers.takeSilent(later) == std::vector<NodeId>{NodeId("entry2")});
        CHECK(peers.takeSilent(later).empty());
        CHECK(peers.noteReport(reportOf("entry2"), sender, later));
    }
    SECTION("While two claim a job, neither is believed")
    {
        peers.noteReport(reportOf("entry3"), sender, start);
        CHECK_FALSE(peers.ownerOf("job1", start));
        auto corrected = reportOf("entry3");
        corrected.ownedJobs.clear();
        peers.noteReport(corrected, sender, start);
        CHECK(peers.ownerOf("job1", start));
    }
    SECTION("One that says that it leaves is silent at once")
    {
        auto leaving = reportOf("entry2");
        leaving.isLeaving = true;
        peers.noteReport(leaving, sender, start + Milliseconds(600));
        CHECK(peers.takeSilent(start + Milliseconds(600)).size() == 1);
    }
    SECTION("Exactly one of those that are heard succeeds to a job")
    {
        PeerTable others(NodeId("entry2"), ZoneName("zone1"));
        others.noteReport(reportOf("entry1"), sender, start);
        for (int i = 0; i < 50; ++i) {
            const auto job = "job" + std::to_string(i);
            CHECK(peers.isSuccessor(job, start) != others.isSuccessor(job, start));
        }
    }
}
