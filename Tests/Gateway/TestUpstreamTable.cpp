#include <Gateway/Gateway.h>

#include <array>
#include <catch2/catch.hpp>
#include <thread>

using namespace Radishplank;

namespace {

constexpr Milliseconds anyWait{10'000};

UpstreamInfo upstreamNamed(const std::string &id, std::int64_t startedAt = 1)
{
    UpstreamInfo upstream;
    upstream.id = UpstreamId(id);
    upstream.service = "service";
    upstream.endpoint = {"127.0.0.1", 1};
    upstream.zone = ZoneName("zone1");
    upstream.slots = 2;
    upstream.startedAt = startedAt;
    return upstream;
}

Locality localityInZone1()
{
    Locality locality;
    locality.zone = ZoneName("zone1");
    locality.region = RegionName("north");
    locality.regions = {{ZoneName("zone1"), RegionName("north")},
                        {ZoneName("zone2"), RegionName("north")},
                        {ZoneName("zone3"), RegionName("south")}};
    return locality;
}

std::vector<UpstreamStreams> loadAt(const std::string &id, UpstreamLoad load)
{
    return {{upstreamHash(UpstreamId(id)), load.online, load.batch}};
}

std::vector<ServiceDemand> waitingFor(const std::string &service, std::uint32_t items)
{
    return {{serviceHash(service), items, 0}};
}

} // namespace

TEST_CASE("The distance depends on zone and region", "[UpstreamTable]")
{
    const auto locality = localityInZone1();
    CHECK(locality.distanceTo(ZoneName("zone1")) == Distance::SameZone);
    CHECK(locality.distanceTo(ZoneName("zone2")) == Distance::SameRegion);
    CHECK(locality.distanceTo(ZoneName("zone3")) == Distance::OtherRegion);
    CHECK(locality.distanceTo(ZoneName("unknown")) == Distance::OtherRegion);
}

TEST_CASE("Upstreams come and go", "[UpstreamTable]")
{
    UpstreamTable table(NodeId("entry1"), localityInZone1());
    CHECK_FALSE(table.reserveOnline("service", {}, anyWait).reservation);
    CHECK(table.put(upstreamNamed("a", 10)));
    CHECK_FALSE(table.put(upstreamNamed("a", 10)));
    CHECK(table.reserveOnline("service", {}, anyWait).reservation);
    CHECK_FALSE(table.reserveOnline("other", {}, anyWait).reservation);
    CHECK_FALSE(table.reserveOnline("service", {UpstreamId("a")}, anyWait).reservation);

    SECTION("A draining upstream gets no further work")
    {
        auto draining = upstreamNamed("a", 10);
        draining.isDraining = true;
        CHECK(table.put(draining));
        CHECK_FALSE(table.reserveOnline("service", {}, anyWait).reservation);
        CHECK_FALSE(table.reserveBatch("service"));
    }
    SECTION("An upstream that announces its shutdown in an answer gets no further work")
    {
        table.reserveOnline("service", {}, anyWait).reservation->noteLeaving();
        CHECK_FALSE(table.reserveOnline("service", {}, anyWait).reservation);
        CHECK_FALSE(table.reserveBatch("service"));
        CHECK(table.leaving() == std::vector<LeavingUpstream>{{upstreamHash(UpstreamId("a")), 10}});

        SECTION("also after it has been removed and added again")
        {
            table.remove(UpstreamId("a"));
            CHECK(table.leaving().empty());
            CHECK(table.put(upstreamNamed("a", 10)));
            CHECK_FALSE(table.reserveOnline("service", {}, anyWait).reservation);
        }
        SECTION("until it has restarted")
        {
            CHECK(table.put(upstreamNamed("a", 11)));
            CHECK(table.reserveOnline("service", {}, anyWait).reservation);
            CHECK(table.leaving().empty());

            SECTION("even if a peer reports the shutdown of its previous start")
            {
                table.noteLeaving({upstreamHash(UpstreamId("a")), 10});
                CHECK(table.reserveOnline("service", {}, anyWait).reservation);
            }
        }
    }
    SECTION("A peer can report the shutdown of an upstream that is not in the table yet")
    {
        table.noteLeaving({upstreamHash(UpstreamId("b")), 20});
        table.put(upstreamNamed("b", 20));
        table.remove(UpstreamId("a"));
        CHECK_FALSE(table.reserveOnline("service", {}, anyWait).reservation);
    }
    SECTION("A late report about an earlier start is ignored")
    {
        auto earlier = upstreamNamed("a", 9);
        earlier.isDraining = true;
        CHECK_FALSE(table.put(earlier));
        CHECK(table.reserveOnline("service", {}, anyWait).reservation);
    }
    SECTION("A reservation outlives the removal of its upstream")
    {
        const auto admission = table.reserveOnline("service", {}, anyWait);
        table.remove(UpstreamId("a"));
        CHECK(admission.reservation->upstream().id == UpstreamId("a"));
        CHECK(table.ids().empty());
    }
}

TEST_CASE("Online calls preempt batch items", "[UpstreamTable]")
{
    UpstreamTable table(NodeId("entry1"), localityInZone1());
    table.put(upstreamNamed("a"));
    int stops = 0;
    auto first = table.reserveBatch("service");
    auto second = table.reserveBatch("service");
    REQUIRE(first);
    REQUIRE(second);
    CHECK_FALSE(table.reserveBatch("service"));
    first->onPreempt([&] { stops += 1; });
    second->onPreempt([&] { stops += 10; });

    SECTION("The newest item is preempted first")
    {
        const auto admission = table.reserveOnline("service", {}, anyWait);
        CHECK(admission.reservation);
        CHECK(stops == 10);
    }
    SECTION("A finished item is not stopped")
    {
        second.reset();
        const auto filled = table.reserveOnline("service", {}, anyWait);
        const auto preempting = table.reserveOnline("service", {}, anyWait);
        CHECK(stops == 1);
    }
    SECTION("Batch items are preempted for the calls of a peer as well")
    {
        table.notePeerLoads(NodeId("entry2"), loadAt("a", {1, 0}), {}, SteadyClock().now());
        table.preemptExcessBatch();
        CHECK(stops == 10);
    }
    SECTION("If two processes hold batch items, the one with more of them preempts its own")
    {
        table.notePeerLoads(NodeId("entry2"), loadAt("a", {1, 3}), {}, SteadyClock().now());
        table.preemptExcessBatch();
        CHECK(stops == 0);
    }
}

TEST_CASE("Waiting items of peers reduce the batch quota of a process", "[UpstreamTable]")
{
    UpstreamTable table(NodeId("entry1"), localityInZone1());
    for (const auto *name : {"a", "b", "c", "d"})
        table.put(upstreamNamed(name));
    const auto now = SteadyClock().now();
    CHECK(table.batchQuota("service", {100, 0}) >= 4);
    table.notePeerLoads(NodeId("entry2"), {}, waitingFor("other", 300), now);
    CHECK(table.batchQuota("service", {100, 0}) >= 4);
    table.notePeerLoads(NodeId("entry2"), {}, waitingFor("service", 300), now);
    CHECK(table.batchQuota("service", {100, 0}) <= 2);
    CHECK(table.batchQuota("service", {0, 0}) == 0);
}

TEST_CASE("A call that would wait too long is not accepted", "[UpstreamTable]")
{
    UpstreamTable table(NodeId("entry1"), localityInZone1());
    table.put(upstreamNamed("a"));
    table.notePeerLoads(NodeId("entry2"), loadAt("a", {9, 0}), {}, SteadyClock().now());
    const auto admission = table.reserveOnline("service", {}, Milliseconds(100));
    CHECK_FALSE(admission.reservation);
    REQUIRE(admission.expectedWait);
    CHECK(*admission.expectedWait > Milliseconds(100));

    SECTION("An expired report of a peer is ignored")
    {
        table.notePeerLoads(NodeId("entry2"), loadAt("a", {9, 0}), {},
                            SteadyClock().now() - std::chrono::seconds(5));
        CHECK(table.reserveOnline("service", {}, Milliseconds(100)).reservation);
    }
}

TEST_CASE("A process of a large fleet uses the upstreams of its cell", "[UpstreamTable]")
{
    UpstreamTable table(NodeId("entry1"), localityInZone1());
    std::vector<UpstreamId> ids;
    for (unsigned i = 0; i < 100; ++i) {
        ids.emplace_back("u" + std::to_string(i));
        table.put(upstreamNamed(ids.back().text()));
    }
    const auto used = [&] {
        std::vector<UpstreamTable::ReservationPointer> reservations;
        std::set<UpstreamId> result;
        for (unsigned i = 0; i < 150; ++i) {
            reservations.push_back(table.reserveOnline("service", {}, anyWait).reservation);
            result.insert(reservations.back()->upstream().id);
        }
        return result;
    };
    CHECK(used().size() > 90);
    CHECK_FALSE(table.subset());
    table.restrictTo(0, 2);
    const auto ofCell = used();
    CHECK(ofCell.size() == 50);
    REQUIRE(table.subset());
    for (const auto &id : ofCell)
        CHECK(table.subset()->isUsedBy(0, upstreamHash(id)));

    SECTION("and others only if the cell has none that can be used, instead of refusing calls")
    {
        const std::set<UpstreamId> excluded(ofCell.begin(), ofCell.end());
        const auto admission = table.reserveOnline("service", excluded, anyWait);
        REQUIRE(admission.reservation);
        CHECK_FALSE(ofCell.contains(admission.reservation->upstream().id));
    }
    SECTION("A process in another cell uses the others")
    {
        table.restrictTo(0xffff'ffff, 2);
        for (const auto &id : used())
            CHECK_FALSE(ofCell.contains(id));
    }
    SECTION("All are used again if the fleet becomes small")
    {
        table.restrictTo(0, 1);
        CHECK(used().size() > 90);
    }
}

TEST_CASE("An upstream that fails gets no calls during its backoff", "[UpstreamTable]")
{
    UpstreamTable table(NodeId("entry1"), localityInZone1());
    table.put(upstreamNamed("a"));
    table.put(upstreamNamed("b"));
    auto admission = table.reserveOnline("service", {UpstreamId("b")}, anyWait);
    admission.reservation->reportHealth(UpstreamHealth::Failed);
    admission.reservation.reset();
    for (int i = 0; i < 10; ++i)
        CHECK(table.reserveOnline("service", {}, anyWait).reservation->upstream().id
              == UpstreamId("b"));

    SECTION("unless it has restarted")
    {
        table.put(upstreamNamed("a", 2));
        const auto busy = table.reserveOnline("service", {UpstreamId("a")}, anyWait);
        const auto busier = table.reserveOnline("service", {UpstreamId("a")}, anyWait);
        CHECK(table.reserveOnline("service", {}, anyWait).reservation->upstream().id
              == UpstreamId("a"));
    }
}

TEST_CASE("An upstream that limits its requests gets few", "[UpstreamTable]")
{
    using Answer = UpstreamLimits::AnswerKind;
    UpstreamTable table(NodeId("entry1"), localityInZone1());
    table.put(upstreamNamed("limited"));
    const auto limitTo = [&](double perSecond) {
        auto admission = table.reserveOnline("service", {}, anyWait);
        REQUIRE(admission.reservation);
        admission.reservation->noteRequestLimit(perSecond, Answer::Success);
        admission.reservation.reset();
        CHECK_FALSE(table.reserveOnline("service", {}, anyWait).reservation);
    };
    const auto refill = [] { std::this_thread::sleep_for(Milliseconds(250)); };

    SECTION("and calls beyond its limit are refused at once, with the time of the next request")
    {
        limitTo(5);
        const auto refused = table.reserveOnline("service", {}, anyWait);
        CHECK_FALSE(refused.reservation);
        CHECK(refused.wasLimited);
        REQUIRE(refused.nextRequest);
        CHECK(*refused.nextRequest > Milliseconds(0));
        CHECK(*refused.nextRequest <= Milliseconds(200));
        refill();
        CHECK(table.reserveOnline("service", {}, anyWait).reservation);
        CHECK_FALSE(table.reserveOnline("service", {}, anyWait).reservation);
    }
    SECTION("and calls prefer upstreams that do not, while these have free slots")
    {
        limitTo(5);
        table.put(upstreamNamed("other"));
        refill();
        std::vector<UpstreamTable::ReservationPointer> held;
        for (const auto *expected : {"other", "other", "limited"}) {
            auto admission = table.reserveOnline("service", {}, Milliseconds(0));
            REQUIRE(admission.reservation);
            CHECK(admission.reservation->upstream().id == UpstreamId(expected));
            held.push_back(std::move(admission.reservation));
        }
    }
    SECTION("and batch items leave them to calls that need them")
    {
        limitTo(5);
        refill();
        CHECK(table.batchQuota("service", {10, 0}) == 0);
        CHECK_FALSE(table.reserveBatch("service"));
        CHECK(table.reserveOnline("service", {}, anyWait).reservation);

        SECTION("until no call has needed them for a while")
        {
            std::this_thread::sleep_for(Milliseconds(1'100));
            CHECK(table.reserveBatch("service"));
            CHECK_FALSE(table.reserveBatch("service"));
        }
    }
    SECTION("and the requests that a process may send are for its items, however many wait at "
            "peers")
    {
        limitTo(5);
        std::this_thread::sleep_for(Milliseconds(1'100));
        table.notePeerLoads(NodeId("entry2"), {}, waitingFor("service", 4'000),
                            SteadyClock().now());
        CHECK(table.batchQuota("service", {1, 0}) == 1);
    }
    SECTION("until another start of it comes")
    {
        limitTo(0);
        table.put(upstreamNamed("limited", 2));
        CHECK(table.reserveOnline("service", {}, anyWait).reservation);
    }
    SECTION("also if only a peer has heard of the limit")
    {
        const std::vector<UpstreamLimitReport> limits{
                {upstreamHash(UpstreamId("limited")), 1, 0.0, Milliseconds(10)}};
        table.noteLimitReport(limits, SteadyClock().now());
        CHECK_FALSE(table.reserveOnline("service", {}, anyWait).reservation);
    }
}

TEST_CASE("Reports tell the remaining work only if upstreams are chosen by work", "[UpstreamTable]")
{
    const auto placement = GENERATE(PlacementRule::Count, PlacementRule::Work);
    UpstreamTable table(NodeId("entry1"), localityInZone1(), placement);
    table.put(upstreamNamed("a"));
    const auto call = table.reserveOnline("service", {}, anyWait);
    const auto item = table.reserveBatch("service");
    REQUIRE(item);
    call.reservation->noteEvents(1);
    const auto ratio = call.reservation->noteCompleted();
    const auto loads = table.loadsToReport();
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].online == 1);
    CHECK(loads[0].batch == 1);
    if (placement == PlacementRule::Count) {
        // Old processes and those with placement by count send the same bytes.
        CHECK(loads[0].onlineRemaining.count() == 0);
        CHECK(loads[0].batchRemaining.count() == 0);
        CHECK(loads[0].pace == 0);
        CHECK_FALSE(ratio);
    } else {
        CHECK(loads[0].onlineRemaining > Milliseconds(400));
        CHECK(loads[0].batchRemaining > Milliseconds(3'000));
        CHECK(ratio);
    }
}

TEST_CASE("Calls avoid an upstream that a peer reports as slow", "[UpstreamTable]")
{
    UpstreamTable table(NodeId("entry1"), localityInZone1(), PlacementRule::Work);
    table.put(upstreamNamed("a"));
    table.put(upstreamNamed("b"));
    const auto callsAtA = [&] {
        int count = 0;
        for (int i = 0; i < 50; ++i) {
            const auto admission = table.reserveOnline("service", {}, anyWait);
            count += admission.reservation->upstream().id == UpstreamId("a");
        }
        return count;
    };
    CHECK(callsAtA() > 10);
    const std::vector<UpstreamStreams> slow{
            {upstreamHash(UpstreamId("a")), 1, 0, Milliseconds(400), Milliseconds(0), 4}};
    for (int i = 0; i < 5; ++i)
        table.notePeerLoads(NodeId("entry2"), slow, {}, SteadyClock().now());
    CHECK(callsAtA() == 0);
    REQUIRE(table.slowest(3).size() == 1);
    CHECK(table.slowest(3)[0].id == UpstreamId("a"));
}

TEST_CASE("Silence makes an upstream slow only under streams", "[UpstreamTable]")
{
    UpstreamTable table(NodeId("entry1"), localityInZone1(), PlacementRule::Work);
    table.put(upstreamNamed("a"));
    WorkFeatures features;
    features.isStream = GENERATE(true, false);
    const auto call = table.reserveOnline("service", {}, anyWait, features);
    // Several times as long as a first event takes, but not as a whole answer.
    std::this_thread::sleep_for(Milliseconds(500));
    const auto next = table.reserveOnline("service", {}, anyWait, features);
    CHECK((next.basis.pace > 1.5) == features.isStream);
}

TEST_CASE("The statements of a request about its work are read", "[WorkHeaders]")
{
    CallHeaderNames names;
    names.tokenUsage = "Tokens";
    names.lengthHint = "Hint";
    const auto read = [&](const std::string &usage, const std::string &hint) {
        HttpHeaders headers;
        headers.add("tokens", usage);
        headers.add("hint", hint);
        const auto features = workFeatures(headers, names);
        return std::array{features.promptTokens, features.maxOutputTokens, features.lengthHint};
    };
    CHECK(read("350,128", "60") == std::array{350U, 128U, 60U});
    CHECK(read(" 350 , 128", " 60.5") == std::array{350U, 128U, 60U});
    CHECK(read("350", "") == std::array{350U, 0U, 0U});
    CHECK(read(",128", "-3") == std::array{0U, 128U, 0U});
    CHECK(read("99999999999999999999,x", "long") == std::array{0U, 0U, 0U});
    CHECK(workFeatures({}, {}).promptTokens == 0);
}
