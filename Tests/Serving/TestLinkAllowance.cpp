#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("Batch work stays within its share of the link between regions")
{
    constexpr double bytesPerSecond = 10'000;
    const TimePoint start{};
    LinkAllowance allowance(bytesPerSecond, start);
    allowance.setMembers(2, start);

    SECTION("An item starts only while the balance is positive, whatever the items transfer")
    {
        RandomEngine random(7);
        double moved = 0;
        double largest = 0;
        for (int millisecond = 0; millisecond < 60'000; ++millisecond) {
            const auto now = start + Milliseconds(millisecond);
            if (!allowance.mayUse(now))
                continue;
            const auto bytes = randomBelow(random, 4'000);
            allowance.charge(bytes, now);
            moved += static_cast<double>(bytes);
            largest = std::max(largest, static_cast<double>(bytes));
        }
        const double share = bytesPerSecond / 2;
        CHECK(moved <= share * (60 + 2) + largest);
        SECTION("and the share can be used in full")
        {
            CHECK(moved >= share * 59);
        }
    }
    SECTION("A share of 0 keeps batch work in its region")
    {
        LinkAllowance none(0, start);
        CHECK_FALSE(none.mayUse(start + Milliseconds(100'000)));
    }
}
