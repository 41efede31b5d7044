#include <LogTimeline.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

LogTimeline timelineOf(const std::string &id)
{
    LogTimeline timeline(id);
    // Lines of two processes, each in order. Those of the second have a log collector's prefix.
    for (const auto *line :
         {R"({"time":"T02","process":"e1","event":"attempt-sent","id":"a","upstream":"u1"})",
          R"({"time":"T03","process":"e1","event":"upstream-removed","upstream":"u1"})",
          R"({"time":"T03","process":"e1","event":"upstream-removed","upstream":"u2"})",
          R"({"time":"T04","process":"e1","event":"call-cut-off","id":"a"})",
          R"({"time":"T05","process":"e1","event":"store-lost","prefix":"x"})",
          R"(  1.5 e2 {"time":"T01","process":"e2","event":"item-sent","job":"j","item":"i"})",
          R"(  1.6 e2 {"time":"T06","process":"e2","event":"item-given-up","job":"j","item":"i"})",
          "not a line of ours", "{\"broken\":", ""})
        timeline.addLine(line);
    return timeline;
}

std::vector<std::string> eventsOf(const LogTimeline &timeline)
{
    std::vector<std::string> events;
    for (const auto &line : timeline.lines())
        events.emplace_back(line.at("event").as_string());
    return events;
}

} // namespace

TEST_CASE("A timeline contains the lines of its request and the events that explain them",
          "[LogTimeline]")
{
    CHECK(eventsOf(timelineOf("a"))
          == std::vector<std::string>{"attempt-sent", "upstream-removed", "call-cut-off"});
    CHECK(eventsOf(timelineOf("i")) == std::vector<std::string>{"item-sent", "item-given-up"});
    CHECK(eventsOf(timelineOf("j")).size() == 2);
    CHECK(eventsOf(timelineOf("nothing")).empty());
    CHECK(LogTimeline::render(timelineOf("a").lines()).find("T02  e1  attempt-sent  id=a")
          != std::string::npos);
}
