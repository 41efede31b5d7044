#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

UpstreamCandidate candidateWith(unsigned online, unsigned batch = 0, unsigned ownBatch = 0,
                                Distance distance = Distance::SameZone)
{
    UpstreamCandidate candidate;
    candidate.distance = distance;
    candidate.slots = 8;
    candidate.online = online;
    candidate.batch = batch;
    candidate.ownBatch = ownBatch;
    return candidate;
}

} // namespace

TEST_CASE("An online call goes to the upstream that can serve it soonest", "[UpstreamSelector]")
{
    RandomEngine random(1);

    SECTION("to the upstream with free slots, not to the full one")
    {
        const std::vector<UpstreamCandidate> candidates{candidateWith(8), candidateWith(5)};
        const auto choice = chooseOnlineUpstream(candidates, random);
        REQUIRE(choice);
        CHECK(choice->index == 1);
        CHECK_FALSE(choice->mustPreempt);
        CHECK(choice->wait.count() == 0);
    }
    SECTION("in its own zone while that has capacity")
    {
        const std::vector<UpstreamCandidate> candidates{
                candidateWith(0, 0, 0, Distance::OtherRegion), candidateWith(6)};
        CHECK(chooseOnlineUpstream(candidates, random)->index == 1);
    }
    SECTION("in another region rather than into a long queue")
    {
        const std::vector<UpstreamCandidate> candidates{
                candidateWith(0, 0, 0, Distance::OtherRegion), candidateWith(12)};
        CHECK(chooseOnlineUpstream(candidates, random)->index == 0);
    }
    SECTION("A batch item is preempted if all slots are in use")
    {
        const std::vector<UpstreamCandidate> candidates{candidateWith(8), candidateWith(5, 3, 3)};
        const auto choice = chooseOnlineUpstream(candidates, random);
        REQUIRE(choice);
        CHECK(choice->index == 1);
        CHECK(choice->mustPreempt);
    }
    SECTION("preferably one of this process")
    {
        const std::vector<UpstreamCandidate> candidates{candidateWith(5, 3, 0),
                                                        candidateWith(5, 3, 3)};
        CHECK(chooseOnlineUpstream(candidates, random)->index == 1);
    }
    SECTION("An upstream that has failed is tried only if there is no other")
    {
        auto failed = candidateWith(0);
        failed.isHealthy = false;
        const std::vector<UpstreamCandidate> both{failed, candidateWith(9)};
        CHECK(chooseOnlineUpstream(both, random)->index == 1);
        const std::vector<UpstreamCandidate> alone{failed};
        CHECK(chooseOnlineUpstream(alone, random)->index == 0);
    }
    SECTION("The expected wait grows with the queue")
    {
        const std::vector<UpstreamCandidate> shorter{candidateWith(8)};
        const std::vector<UpstreamCandidate> longer{candidateWith(16)};
        CHECK(chooseOnlineUpstream(shorter, random)->wait
              < chooseOnlineUpstream(longer, random)->wait);
    }
    SECTION("Without upstreams there is nothing to choose")
    {
        CHECK_FALSE(chooseOnlineUpstream({}, random));
    }
}

TEST_CASE("A call placed by work goes where its first event is expected soonest",
          "[UpstreamSelector]")
{
    RandomEngine random(1);
    const WorkDemand demand{110, 700};
    constexpr Milliseconds maxWait{180};
    const auto full = [](double remaining) {
        auto candidate = candidateWith(8);
        candidate.onlineRemaining = remaining;
        return candidate;
    };
    const auto slow = [](unsigned online, double pace) {
        auto candidate = candidateWith(online);
        candidate.onlineRemaining = online * 484.0;
        candidate.pace = pace;
        return candidate;
    };
    // Costs have a random part, so that the smaller cost wins in most draws only.
    const auto shareOfFirst = [&](const UpstreamCandidate &first, const UpstreamCandidate &second) {
        const std::vector<UpstreamCandidate> candidates{first, second};
        int chosen = 0;
        for (int i = 0; i < 1'000; ++i)
            chosen += chooseOnlineUpstreamByWork(candidates, demand, maxWait, random)->index == 0;
        return chosen / 1'000.0;
    };

    SECTION("where streams are about to end, among upstreams with as many")
    {
        CHECK(shareOfFirst(full(8 * 150), full(8 * 700)) > 0.9);
    }
    SECTION("not to a slow upstream with few streams")
    {
        CHECK(shareOfFirst(slow(5, 1), slow(1, 3)) > 0.99);
        CHECK(shareOfFirst(slow(5, 1), slow(1, 5)) > 0.99);

        SECTION("unless the others are full")
        {
            CHECK(shareOfFirst(slow(10, 1), slow(0, 1.8)) < 0.1);
        }
        SECTION("A call is not refused for its wait while a slot is free elsewhere, though slow")
        {
            const std::vector<UpstreamCandidate> candidates{slow(12, 1), slow(0, 8)};
            CHECK(chooseOnlineUpstreamByWork(candidates, demand, maxWait, random)->index == 1);
        }
    }
    SECTION("The wait counts as many times as the upstream is slow")
    {
        const auto waitAt = [&](double pace) {
            const std::vector<UpstreamCandidate> candidates{slow(9, pace)};
            return chooseOnlineUpstreamByWork(candidates, demand, maxWait, random)->wait;
        };
        CHECK(waitAt(3) >= 2.9 * waitAt(1));
        CHECK(waitAt(1) > Milliseconds(100));
        CHECK(waitAt(1) < Milliseconds(250));
    }
    SECTION("not to one that has failed, and to one in another region only if it saves much")
    {
        auto failed = candidateWith(0);
        failed.isHealthy = false;
        CHECK(shareOfFirst(failed, slow(9, 1)) == 0);
        CHECK(shareOfFirst(candidateWith(0, 0, 0, Distance::OtherRegion), slow(5, 1)) < 0.01);
        CHECK(shareOfFirst(candidateWith(0, 0, 0, Distance::OtherRegion), slow(10, 1)) > 0.9);
    }
    SECTION("Batch items avoid slow upstreams, most of all where they would end too late")
    {
        const std::vector<UpstreamCandidate> candidates{slow(0, 1), slow(0, 2)};
        const auto shareOfSlow = [&](const BatchDemand &item) {
            int chosen = 0;
            for (int i = 0; i < 4'000; ++i)
                chosen += chooseBatchUpstreamByWork(candidates, item, random) == 1;
            return chosen / 4'000.0;
        };
        CHECK(shareOfSlow({4'500, 10'000}) == Approx(0.2).margin(0.03));
        CHECK(shareOfSlow({4'500, 2'000}) < 0.03);
    }
}

TEST_CASE("A batch item uses only free slots", "[UpstreamSelector]")
{
    RandomEngine random(1);
    SECTION("at random, in proportion to the capacity")
    {
        const std::vector<UpstreamCandidate> candidates{candidateWith(0, 6), candidateWith(0, 2),
                                                        candidateWith(8)};
        std::vector<int> chosen(candidates.size());
        for (int i = 0; i < 4'000; ++i)
            chosen[*chooseBatchUpstream(candidates, random)] += 1;
        CHECK(chosen[0] > 900);
        CHECK(chosen[0] < 1'100);
        CHECK(chosen[1] == 4'000 - chosen[0]);
        CHECK(chosen[2] == 0);
    }
    SECTION("Capacity is reserved for online calls that arrive before batch items are preempted")
    {
        CHECK(batchCapacity(candidateWith(0, 4)) == Approx(4));
        CHECK(batchCapacity(candidateWith(4)) == Approx(3.4));
        CHECK(batchCapacity(candidateWith(7)) == 0);
    }
    SECTION("Capacity in another region is weighted lower, because its load reports are older")
    {
        auto far = candidateWith(0);
        far.distance = Distance::OtherRegion;
        CHECK(batchCapacity(far) == Approx(2));
    }
    SECTION("An upstream that has failed gets no batch items")
    {
        auto failed = candidateWith(0);
        failed.isHealthy = false;
        CHECK_FALSE(chooseBatchUpstream(std::vector<UpstreamCandidate>{failed}, random));
    }
}

TEST_CASE("Processes share the capacity in proportion to their waiting items", "[UpstreamSelector]")
{
    CHECK(batchShare(100, 10, 10, 0) == 10);
    CHECK(batchShare(100, 200, 200, 0) == 50);
    CHECK(batchShare(100, 10, 1'000, 0) == 0);
    CHECK(batchShare(100, 10, 1'000, 0.5) == 1);
    CHECK(batchShare(100, 0, 1'000, 0.9) == 0);
    CHECK(batchShare(0, 10, 10, 0.9) == 0);
}

TEST_CASE("No call is refused while another upstream has room for it", "[UpstreamSelector]")
{
    // Guards against refusals near a full zone while batch items run, or slots are free, elsewhere.
    RandomEngine random(1);
    const Milliseconds noWait(0);
    auto distant = candidateWith(5, 3, 0, Distance::OtherRegion);
    const std::vector<UpstreamCandidate> candidates{candidateWith(8), distant};
    CHECK(chooseOnlineUpstream(candidates, random)->index == 0);
    const auto choice = chooseOnlineUpstreamWithin(candidates, noWait, random);
    REQUIRE(choice);
    CHECK(choice->index == 1);
    CHECK(choice->mustPreempt);
    CHECK(choice->wait == noWait);

    SECTION("A wait that the call can afford is preferred to the distant upstream")
    {
        CHECK(chooseOnlineUpstreamWithin(candidates, Milliseconds(100), random)->index == 0);
    }
    SECTION("An upstream that has just failed is no such room")
    {
        distant.isHealthy = false;
        const std::vector<UpstreamCandidate> others{candidateWith(8), distant};
        CHECK(chooseOnlineUpstreamWithin(others, noWait, random)->wait > noWait);
    }
}
