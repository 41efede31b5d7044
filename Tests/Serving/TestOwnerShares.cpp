#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("Slots are divided among owners by max-min fairness", "[OwnerShares]")
{
    // Owner 1 uses little, 2 a moderate number, and 3 whatever it gets.
    std::vector<OwnerHolding> holdings{{1, 0, 4}, {2, 0, 26}, {3, 0, 70}};
    const auto standing = [&](std::uint64_t owner, unsigned priority = 0, unsigned slots = 100) {
        return OwnerShares(holdings, slots).standing(owner, priority);
    };

    SECTION("The owner that holds most is above its share, or others pay for its burst")
    {
        CHECK(standing(1) == ShareStanding::Below);
        CHECK(standing(2) == ShareStanding::Below);
        CHECK(standing(3) == ShareStanding::Above);
        CHECK(standing(4) == ShareStanding::Below);
    }
    SECTION("What the others do not use is at its disposal, or slots would stay idle")
    {
        CHECK(standing(2, 0, 70) == ShareStanding::Below);
        holdings[2].streams = 26;
        CHECK(standing(2, 0, 50) == ShareStanding::Above);
    }
    SECTION("A single owner has nobody to share with, as in deployments without owners")
    {
        holdings = {{3, 0, 150}};
        CHECK(standing(3) == ShareStanding::Within);
        holdings.clear();
        CHECK(standing(3) == ShareStanding::Within);
    }
    SECTION("Free slots of other services are no reason to let it fill those of one")
    {
        CHECK(standing(3, 0, 1'000) == ShareStanding::Above);
    }
    SECTION("A higher priority takes its slots first")
    {
        holdings[2].priority = 1;
        CHECK(standing(2) == ShareStanding::Below);
        CHECK(standing(3, 1) == ShareStanding::Above);
        CHECK(standing(4, 1) == ShareStanding::Below);
        holdings[1].streams = 96;
        CHECK(standing(4, 1) == ShareStanding::Above);
    }
}
