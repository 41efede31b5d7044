#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("A stream that sends bytes but no further events is stalled", "[StreamProgress]")
{
    const TimePoint start{std::chrono::seconds(1'000)};
    constexpr Milliseconds limit{2'000};
    constexpr std::size_t chunkBytes = 4'096;
    StreamProgress progress(7, start);
    auto now = start;

    SECTION("after the idle timeout, even if it sends few bytes")
    {
        for (; now <= start + limit; now += Milliseconds(100)) {
            CHECK_FALSE(progress.isStalled(limit, now));
            progress.note(1, 7, now);
        }
        CHECK(progress.isStalled(limit, now));
    }
    SECTION("after a maximum number of bytes, even before the idle timeout")
    {
        std::size_t bytes = 0;
        while (!progress.isStalled(limit, now)
               && bytes < 2 * StreamProgress::maxBytesWithoutEvent) {
            progress.note(chunkBytes, 7, now);
            bytes += chunkBytes;
        }
        CHECK(bytes <= StreamProgress::maxBytesWithoutEvent + chunkBytes);
    }
    SECTION("but not if events keep arriving, however long it is")
    {
        for (std::uint64_t event = 8; event < 1'000; ++event) {
            now += limit;
            progress.note(chunkBytes, event, now);
            CHECK_FALSE(progress.isStalled(limit, now));
        }
    }
}
