#include <Serving/Serving.h>

#include <catch2/catch.hpp>
#include <set>

using namespace Radishplank;

namespace {

Candidate candidate(std::uint64_t id, Distance distance, std::uint32_t load)
{
    return {id, distance, 4, load, true};
}

} // namespace

TEST_CASE("Routing prefers near upstreams with a free slot")
{
    const Router router(RoutingPolicy::Balanced);
    RandomEngine random(7);
    std::vector<Candidate> candidates{candidate(1, Distance::SameZone, 0),
                                      candidate(2, Distance::SameRegion, 0),
                                      candidate(3, Distance::OtherRegion, 0)};
    const auto choose = [&](std::uint64_t prefix = 0) {
        return router.choose(candidates, prefix, 0, random);
    };
    SECTION("It chooses the same zone while that has a free slot")
    {
        CHECK(choose() == 0);
    }
    SECTION("then the same region")
    {
        candidates[0].onlineLoad = 4;
        CHECK(choose() == 1);
        SECTION("and another region only when the own region is full")
        {
            candidates[1].onlineLoad = 4;
            CHECK(choose() == 2);
        }
    }
    SECTION("If all upstreams are full, the call waits in its own region")
    {
        for (auto &each : candidates)
            each.onlineLoad = 9;
        CHECK(choose() != 2);
    }
    SECTION("It chooses nothing if no upstream is eligible")
    {
        for (auto &each : candidates)
            each.isEligible = false;
        CHECK_FALSE(choose());
    }
}

TEST_CASE("Calls with the same prefix go to one upstream, unless it is overloaded")
{
    const Router router(RoutingPolicy::Balanced);
    RandomEngine random(7);
    std::vector<Candidate> candidates;
    for (std::uint64_t id = 1; id <= 4; ++id)
        candidates.push_back(candidate(id, Distance::SameZone, 1));
    const auto warm = router.choose(candidates, 42, 0, random);
    std::set<std::size_t> chosen;
    for (int i = 0; i < 50; ++i)
        chosen.insert(*router.choose(candidates, 42, 0, random));
    CHECK(chosen.size() == 1);
    candidates[*warm].onlineLoad = 3;
    std::size_t elsewhere = 0;
    for (int i = 0; i < 50; ++i)
        elsewhere += *router.choose(candidates, 42, 0, random) == *warm ? 0 : 1;
    CHECK(elsewhere > 25);
}
