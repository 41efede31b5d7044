#include "PlatformDeployment.h"

#include <LogEvents.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace {

/// Returns the names of a line's fields in the format of the table of events.
std::string fieldNames(const boost::json::object &line)
{
    std::string names;
    for (const auto &[name, value] : line) {
        if (name == "time" || name == "process" || name == "event")
            continue;
        names += (names.empty() ? "" : " ") + std::string(name);
    }
    return names;
}

const Platform::LogEvent *findEvent(std::string_view name)
{
    for (const auto &event : Platform::logEvents()) {
        if (event.name == name)
            return &event;
    }
    return nullptr;
}

} // namespace

TEST_CASE("Every log line matches an event in the table", "[LogEvents]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);
    auto &entry = deployment.startEntry("entry1");
    deployment.waitUntilReady("entry1");
    server.planActions(
            {ServerAction::Shed, ServerAction::CloseMidStream, ServerAction::DropResponse});
    for (const auto *id : {"a1", "a2", "a3"})
        (void)deployment.post("entry1", "/plain/x", "hello", id);
    server.planActions({ServerAction::CloseMidStream});
    (void)deployment.post("entry1", "/resume/x", "hello", "a4");
    server.planActions({ServerAction::Reject});
    CHECK(deployment.submit("entry1", "job1", {"a", "b"}).status == 202);
    deployment.waitForResults("entry1", "job1", 2);
    deployment.store.setBehaviour(StoreBehaviour::Refusing);
    (void)deployment.submit("entry1", "job2", {"a"});
    deployment.store.setBehaviour(StoreBehaviour::Normal);
    deployment.store.remove("servers", "i-1");
    REQUIRE(eventually(
            [&] { return entry.logText().find("upstream-removed") != std::string::npos; }));

    std::istringstream log(entry.logText());
    std::string text;
    std::size_t lines = 0;
    while (std::getline(log, text)) {
        INFO(text);
        const auto line = boost::json::parse(text).as_object();
        const auto *event = findEvent(line.at("event").as_string());
        REQUIRE(event != nullptr);
        CHECK(fieldNames(line) == event->fields);
        lines += 1;
    }
    CHECK(lines > 20);
}

TEST_CASE("The operators' page lists every event with its fields", "[LogEvents]")
{
    std::ifstream file(std::string(DOCS_PATH) + "/OPERATIONS.md");
    const std::string page((std::istreambuf_iterator<char>(file)), {});
    for (const auto &event : Platform::logEvents()) {
        INFO(event.name);
        CHECK(page.find("| `" + std::string(event.name) + "` | " + std::string(event.fields) + " | "
                        + std::string(event.meaning) + " |")
              != std::string::npos);
    }
}
