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

TEST_CASE("A stream is split into complete events", "[EventFramer]")
{
    EventFramer framer;

    SECTION("that preserve the bytes received")
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
    SECTION("wherever its chunks begin")
    {
        for (std::size_t cut = 0; cut <= threeEvents.size(); ++cut) {
            EventFramer otherFramer;
            auto events = otherFramer.feed(std::string_view(threeEvents).substr(0, cut));
            for (auto &event : otherFramer.feed(std::string_view(threeEvents).substr(cut)))
                events.push_back(std::move(event));
            REQUIRE(events.size() == 3);
            CHECK(joined(events) == threeEvents);
        }
    }
    SECTION("when it arrives byte by byte")
    {
        std::size_t count = 0;
        for (const char byte : threeEvents)
            count += framer.feed(std::string_view(&byte, 1)).size();
        CHECK(count == 3);
    }
    SECTION("and an incomplete event is held back")
    {
        const auto events = framer.feed("id: 1\ndata: one\n\nid: 2\ndata: tw");
        CHECK(events.size() == 1);
        CHECK(framer.partial() == "id: 2\ndata: tw");
    }
    SECTION("An identifier that is not a number is ignored")
    {
        const auto events = framer.feed("id: x\ndata: one\n\n");
        REQUIRE(events.size() == 1);
        CHECK_FALSE(events[0].id.has_value());
    }
}
