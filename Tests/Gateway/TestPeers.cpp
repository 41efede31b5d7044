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
    report.crashUpdates = {{{21, 22, 25, Milliseconds(23)}}, {24}};
    return report;
}

const Endpoint sender{"127.0.0.2", 78};

} // namespace

TEST_CASE("A report is decoded as it was encoded", "[Peers]")
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
    const auto &updates = decoded.value().crashUpdates;
    REQUIRE(updates.crashes.size() == 1);
    CHECK(updates.crashes[0].call == 21);
    CHECK(updates.crashes[0].upstreamStart == 22);
    CHECK(updates.crashes[0].observation == 25);
    CHECK(updates.crashes[0].age == Milliseconds(23));
    CHECK(updates.answered == std::vector<std::uint64_t>{24});

    SECTION("Invalid datagrams are rejected")
    {
        CHECK(decodePeerReport("").isError());
        CHECK(decodePeerReport("hello, w").isError());
        for (std::size_t length = 0; length < bytes.size(); ++length)
            (void)decodePeerReport(std::string_view(bytes).substr(0, length));
        auto corrupted = bytes;
        for (auto &byte : corrupted) {
            byte = static_cast<char>(byte ^ 0x5a);
            (void)decodePeerReport(corrupted);
        }
    }
}

TEST_CASE("Reports determine which peers are reachable and which jobs they own", "[Peers]")
{
    PeerTable peers(NodeId("entry1"), ZoneName("zone1"));
    const TimePoint start{std::chrono::seconds(1'000)};
    peers.noteMember(NodeId("entry2"), ZoneName("zone1"), sender);
    CHECK(peers.destinations().size() == 1);
    CHECK_FALSE(peers.isReachable(NodeId("entry2"), start));
    CHECK(peers.takeNewlyUnreachable(start).empty());
    CHECK(peers.noteReport(reportOf("entry2"), sender, start));
    CHECK_FALSE(peers.noteReport(reportOf("entry2"), sender, start + Milliseconds(500)));
    CHECK(peers.ownerOf("job1", start)->text() == "127.0.0.2:77");
    CHECK_FALSE(peers.ownerOf("job3", start));

    SECTION("A peer that becomes unreachable is returned once")
    {
        const auto later = start + std::chrono::seconds(5);
        CHECK_FALSE(peers.ownerOf("job1", later));
        CHECK(peers.takeNewlyUnreachable(later) == std::vector<NodeId>{NodeId("entry2")});
        CHECK(peers.takeNewlyUnreachable(later).empty());
        CHECK(peers.noteReport(reportOf("entry2"), sender, later));
    }
    SECTION("A job that two peers report as their own has no known owner")
    {
        peers.noteReport(reportOf("entry3"), sender, start);
        CHECK_FALSE(peers.ownerOf("job1", start));
        auto corrected = reportOf("entry3");
        corrected.ownedJobs.clear();
        peers.noteReport(corrected, sender, start);
        CHECK(peers.ownerOf("job1", start));
    }
    SECTION("A peer that announces that it leaves is unreachable at once")
    {
        auto leaving = reportOf("entry2");
        leaving.isLeaving = true;
        peers.noteReport(leaving, sender, start + Milliseconds(600));
        CHECK(peers.takeNewlyUnreachable(start + Milliseconds(600)).size() == 1);
    }
    SECTION("Exactly one reachable process succeeds the owner at once, whether it knew of the job "
            "or not")
    {
        PeerTable others(NodeId("entry2"), ZoneName("zone1"));
        others.noteReport(reportOf("entry1"), sender, start);
        const NodeId failedOwner("entry9");
        for (int i = 0; i < 50; ++i) {
            const auto job = "job" + std::to_string(i);
            auto report = reportOf("entry9");
            report.ownedJobs = {jobHash("job" + std::to_string(i % 10))};
            report.isLeaving = true;
            peers.noteReport(report, sender, start);
            others.noteReport(report, sender, start);
            CHECK(peers.isSuccessor(failedOwner, job, start)
                  != others.isSuccessor(failedOwner, job, start));
        }
    }
}

TEST_CASE("Reports that a peer passes on are decoded as they were encoded", "[Peers]")
{
    auto report = reportOf("entry2");
    report.relaysReports = true;
    report.heard = {{nodeHash(NodeId("entry3")), Milliseconds(40)}};
    report.relayed = {{Milliseconds(50), reportOf("entry3")}, {Milliseconds(60), PeerReport()}};
    const auto decoded = decodePeerReport(encodePeerReport(report));
    REQUIRE_FALSE(decoded.isError());
    CHECK(decoded.value().relaysReports);
    REQUIRE(decoded.value().heard.size() == 1);
    CHECK(decoded.value().heard[0].node == nodeHash(NodeId("entry3")));
    CHECK(decoded.value().heard[0].age == Milliseconds(40));
    // A report without a sender would become a peer without a name.
    REQUIRE(decoded.value().relayed.size() == 1);
    CHECK(decoded.value().relayed[0].age == Milliseconds(50));
    CHECK(decoded.value().relayed[0].report.endedJobs == std::vector<std::string>{"job2"});

    SECTION("Invalid ones are rejected")
    {
        const auto bytes = encodePeerReport(report);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            (void)decodePeerReport(std::string_view(bytes).substr(0, length));
        auto corrupted = bytes;
        for (auto &byte : corrupted) {
            byte = static_cast<char>(byte ^ 0x5a);
            (void)decodePeerReport(corrupted);
        }
    }
}

TEST_CASE("A peer that does not report to this process is known through relays", "[Peers]")
{
    PeerTable peers(NodeId("entry1"), ZoneName("zone1"));
    const TimePoint start{std::chrono::seconds(1'000)};
    const NodeId far("entry2");
    CHECK(peers.noteRelayedReport(reportOf("entry2"), Milliseconds(500), sender, start) == true);
    CHECK(peers.isReachable(far, start));
    CHECK(peers.ownerOf("job1", start));
    CHECK(peers.destinations()[0].datagramEndpoint == sender);

    SECTION("for 2.5 s from when the relay heard it")
    {
        CHECK(peers.isReachable(far, start + Milliseconds(2'000)));
        CHECK_FALSE(peers.isReachable(far, start + Milliseconds(2'001)));
        // A late datagram about an earlier time changes nothing.
        peers.noteHeard({nodeHash(far), Milliseconds(2'000)}, start + Milliseconds(1'000));
        CHECK_FALSE(peers.isReachable(far, start + Milliseconds(2'001)));
    }
    SECTION("and longer when relays hear it again")
    {
        peers.noteHeard({nodeHash(far), Milliseconds(100)}, start + Milliseconds(1'500));
        CHECK(peers.isReachable(far, start + Milliseconds(3'900)));

        SECTION("but a peer that was unreachable only with a report, as its jobs may have changed")
        {
            const auto later = start + Milliseconds(5'000);
            peers.noteHeard({nodeHash(far), Milliseconds(0)}, later);
            CHECK_FALSE(peers.isReachable(far, later));
            CHECK(peers.noteRelayedReport(reportOf("entry2"), Milliseconds(0), sender, later)
                  == true);
        }
    }
    SECTION("Its own reports are newer, so relayed ones are ignored while they arrive")
    {
        auto own = reportOf("entry2");
        own.ownedJobs = {jobHash("job5")};
        peers.noteReport(own, sender, start);
        CHECK_FALSE(peers.noteRelayedReport(reportOf("entry2"), Milliseconds(0), sender,
                                            start + Milliseconds(900)));
        CHECK(peers.ownerOf("job5", start));
        CHECK_FALSE(peers.ownerOf("job1", start));
    }
    SECTION("A relay that has not heard that it left does not make it reachable again")
    {
        auto leaving = reportOf("entry2");
        leaving.isLeaving = true;
        peers.noteReport(leaving, sender, start + Milliseconds(600));
        const auto later = start + Milliseconds(900);
        CHECK_FALSE(peers.noteRelayedReport(reportOf("entry2"), Milliseconds(400), sender, later));
        peers.noteHeard({nodeHash(far), Milliseconds(400)}, later);
        CHECK_FALSE(peers.isReachable(far, later));

        SECTION("but one that has started again is reachable")
        {
            CHECK(peers.noteRelayedReport(reportOf("entry2"), Milliseconds(0), sender,
                                          start + Milliseconds(2'000)));
        }
    }
    SECTION("A relayed report of this process itself is ignored")
    {
        CHECK_FALSE(peers.noteRelayedReport(reportOf("entry1"), Milliseconds(0), sender, start));
    }
}

TEST_CASE("When a peer becomes unreachable, only a few processes look for its jobs", "[Peers]")
{
    constexpr std::size_t jobsEach = 4;
    const TimePoint start{std::chrono::seconds(1'000)};
    const auto later = start + std::chrono::seconds(5);
    for (const std::size_t count : {30, 58, 100}) {
        CAPTURE(count);
        std::vector<NodeId> nodes;
        for (std::size_t i = 0; i < count; ++i)
            nodes.emplace_back("entry" + std::to_string(i));
        const auto reportWithJobs = [&](std::size_t index) {
            auto report = reportOf(nodes[index].text());
            report.ownedJobs.clear();
            for (std::size_t job = 0; job < jobsEach; ++job)
                report.ownedJobs.push_back(jobHash(nodes[index].text() + std::to_string(job)));
            return report;
        };
        std::vector<PeerTable> tables;
        for (const auto &node : nodes)
            tables.emplace_back(node, ZoneName("zone1"));
        const auto reportFrom = [&](std::size_t firstSender, TimePoint now) {
            for (auto &table : tables) {
                for (std::size_t i = 0; i < count; ++i) {
                    if (i >= firstSender)
                        table.noteReport(reportWithJobs(i), sender, now);
                }
            }
        };
        const auto countSuccessors = [&](TimePoint now) {
            std::size_t successors = 0;
            for (std::size_t i = 1; i < count; ++i)
                successors += tables[i].takeFailoverPeers(now).empty() ? 0 : 1;
            return successors;
        };
        const auto soon = start + std::chrono::seconds(3);
        reportFrom(0, start);
        reportFrom(1, soon);
        const auto successors = countSuccessors(soon);
        CHECK(successors >= 1);
        CHECK(successors <= jobsEach);
        CHECK(countSuccessors(soon) == 0);

        for (std::size_t job = 0; job <= jobsEach; ++job) {
            // The last job was in none of the reports.
            const auto id = nodes[0].text() + std::to_string(job);
            std::size_t takers = 0;
            for (std::size_t i = 1; i < count; ++i)
                takers += tables[i].isSuccessor(nodes[0], id, soon) ? 1 : 0;
            CHECK(takers == 1);
        }
        // One fallback process takes over the remaining jobs.
        reportFrom(1, later);
        CHECK(countSuccessors(later) == 1);
        CHECK(countSuccessors(later) == 0);
    }
}

TEST_CASE("A job is taken over even if a process that does not know of it has just joined",
          "[Peers]")
{
    const TimePoint start{std::chrono::seconds(1'000)};
    const auto later = start + std::chrono::seconds(6);
    for (int i = 0; i < 40; ++i) {
        const NodeId failedOwner("gone" + std::to_string(i));
        const auto job = "job" + std::to_string(i);
        CAPTURE(job);
        PeerTable first(NodeId("entry2"), ZoneName("zone1"));
        PeerTable second(NodeId("entry3"), ZoneName("zone1"));
        PeerTable joined(NodeId("entry4"), ZoneName("zone1"));
        auto report = reportOf(failedOwner.text());
        report.ownedJobs = {jobHash(job)};
        first.noteReport(report, sender, start);
        second.noteReport(report, sender, start);
        joined.noteMember(failedOwner, ZoneName("zone1"), sender);
        for (auto *table : {&first, &second, &joined}) {
            for (const auto *node : {"entry2", "entry3", "entry4"})
                table->noteReport(reportOf(node), sender, later);
        }
        CHECK((first.isSuccessor(failedOwner, job, later)
               || second.isSuccessor(failedOwner, job, later)
               || joined.isSuccessor(failedOwner, job, later)));
    }
}

TEST_CASE("If the successor of a job becomes unreachable too, another process takes the job over",
          "[Peers]")
{
    const TimePoint start{std::chrono::seconds(1'000)};
    // The fallback process does not take over jobs yet.
    const auto later = start + std::chrono::seconds(3);
    const NodeId failedOwner("entry1");
    std::size_t reassigned = 0;
    for (int i = 0; i < 40; ++i) {
        const auto job = "job" + std::to_string(i);
        PeerTable peers(NodeId("entry2"), ZoneName("zone1"));
        auto report = reportOf("entry1");
        report.ownedJobs = {jobHash(job)};
        peers.noteReport(report, sender, start);
        peers.noteReport(reportOf("entry3"), sender, later);
        const bool isFirst = peers.isSuccessor(failedOwner, job, later);
        (void)peers.takeFailoverPeers(later);
        const auto evenLater = later + std::chrono::seconds(5);
        CHECK(peers.isSuccessor(failedOwner, job, evenLater));
        const auto owners = peers.takeFailoverPeers(evenLater);
        if (!isFirst)
            CHECK(std::count(owners.begin(), owners.end(), failedOwner) == 1);
        reassigned += isFirst ? 0 : 1;
    }
    CHECK(reassigned > 0);
}

TEST_CASE("Processes with an old configuration do not all ask the same peer", "[Peers]")
{
    constexpr std::size_t upToDate = 10;
    constexpr std::size_t outdated = 100;
    const TimePoint now{std::chrono::seconds(1'000)};
    std::map<std::string, std::size_t> asked;
    for (std::size_t i = 0; i < outdated; ++i) {
        PeerTable peers(NodeId("lagging" + std::to_string(i)), ZoneName("zone1"));
        for (std::size_t j = 0; j < upToDate; ++j) {
            auto report = reportOf("informed" + std::to_string(j));
            report.fleet.configuration = 2;
            report.control.port = static_cast<std::uint16_t>(1'000 + j);
            peers.noteReport(report, sender, now);
        }
        auto far = reportOf("afar");
        far.zone = ZoneName("zone2");
        far.fleet.configuration = 2;
        peers.noteReport(far, sender, now);
        const auto peer = peers.peerWithNewerFleet({}, now);
        REQUIRE(peer);
        asked[peer->text()] += 1;
    }
    CHECK(asked.size() == upToDate);
    for (const auto &[peer, count] : asked)
        CHECK(count <= 3 * outdated / upToDate);
}
