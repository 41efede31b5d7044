#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

const std::string threeEvents = "id: 1\ndata: one\n\nx-version: 2\nid: 2\ndata: a\ndata: b\n\n"
                                "id: 3\r\ndata: three\r\n\r\n";

std::string joined(const std::vector<StreamEvent> &events)
{
    std::string bytes;
    for (const auto &event : events)
        bytes += event.raw;
    return bytes;
}

} // namespace

TEST_CASE("A stream is split into whole events", "[EventFramer]")
{
    EventFramer framer;

    SECTION("that keep their bytes")
    {
        const auto events = framer.feed(threeEvents);
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 1);
        CHECK(events[0].data == "one");
        CHECK(events[1].id == 2);
        CHECK(events[1].data == "a\nb");
        CHECK(events[2].id == 3);
        CHECK(events[2].data == "three");
        CHECK(joined(events) == threeEvents);
        CHECK(framer.partial().empty());
    }
    SECTION("wherever it is cut")
    {
        for (std::size_t cut = 0; cut <= threeEvents.size(); ++cut) {
            EventFramer cutFramer;
            auto events = cutFramer.feed(std::string_view(threeEvents).substr(0, cut));
            for (auto &event : cutFramer.feed(std::string_view(threeEvents).substr(cut)))
                events.push_back(std::move(event));
            REQUIRE(events.size() == 3);
            CHECK(joined(events) == threeEvents);
        }
    }
    SECTION("byte by byte")
    {
        std::size_t count = 0;
        for (const char byte : threeEvents)
            count += framer.feed(std::string_view(&byte, 1)).size();
        CHECK(count == 3);
    }
    SECTION("and an event that breaks off stays back")
    {
        const auto events = framer.feed("id: 1\ndata: one\n\nid: 2\ndata: tw");
        CHECK(events.size() == 1);
        CHECK(framer.partial() == "id: 2\ndata: tw");
    }
    SECTION("An identifier that is no number is none")
    {
        const auto events = framer.feed("id: x\ndata: one\n\n");
        REQUIRE(events.size() == 1);
        CHECK_FALSE(events[0].id.has_value());
    }
}

TEST_CASE("A stream that sends bytes but no further event is stuck", "[EventFramer]")
{
    const TimePoint start{std::chrono::seconds(1'000)};
    constexpr Milliseconds limit{2'000};
    constexpr std::size_t pieceBytes = 4'096;
    StreamProgress progress(7, start);
    auto now = start;

    SECTION("after a time, however few they are")
    {
        for (; now <= start + limit; now += Milliseconds(100)) {
            CHECK_FALSE(progress.isStuck(limit, now));
            progress.note(1, 7, now);
        }
        CHECK(progress.isStuck(limit, now));
    }
    SECTION("after a number of them, however fast they come")
    {
        std::size_t bytes = 0;
        while (!progress.isStuck(limit, now) && bytes < 2 * StreamProgress::maxBytesWithoutEvent) {
            progress.note(pieceBytes, 7, now);
            bytes += pieceBytes;
        }
        CHECK(bytes <= StreamProgress::maxBytesWithoutEvent + pieceBytes);
    }
    SECTION("but not one that goes on, however long it is")
    {
        for (std::uint64_t event = 8; event < 1'000; ++event) {
            now += limit;
            progress.note(pieceBytes, event, now);
            CHECK_FALSE(progress.isStuck(limit, now));
        }
    }
}
