#include <Core/Core.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("Each event has a budget of lines", "[LogBudget]")
{
    LogBudget budget({10, 3}, {10, 5});
    const TimePoint start{std::chrono::seconds(1'000)};
    const auto linesOf = [&](std::string_view event, LogImportance importance, TimePoint now) {
        int lines = 0;
        while (budget.tryConsumeLine(event, importance, now))
            lines += 1;
        return lines;
    };
    CHECK(linesOf("sent", LogImportance::Ordinary, start) == 3);

    SECTION("which refills over time")
    {
        CHECK(linesOf("sent", LogImportance::Ordinary, start + Milliseconds(200)) == 2);
        CHECK(linesOf("sent", LogImportance::Ordinary, start + std::chrono::seconds(60)) == 3);
    }
    SECTION("which is independent of other events, and larger for failures")
    {
        CHECK(linesOf("failed", LogImportance::Failure, start) == 5);
    }
    SECTION("Dropped lines are reported at intervals")
    {
        const auto dropped = budget.takeDroppedLines(start);
        REQUIRE(dropped.size() == 1);
        CHECK(dropped[0].event == "sent");
        CHECK(dropped[0].lines == 1);
        budget.countDroppedLine("sent");
        CHECK(budget.takeDroppedLines(start + Milliseconds(500)).empty());
        CHECK(budget.takeDroppedLines(start + Milliseconds(1'500)).size() == 1);
        CHECK(budget.takeDroppedLines(start + Milliseconds(3'500)).empty());
    }
}
