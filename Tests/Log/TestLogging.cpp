#include <Core/Core.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

using namespace Radishplank;

TEST_CASE("A log reader that stops reading loses lines, but never blocks the process", "[Log]")
{
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    const int standardOutput = ::dup(STDOUT_FILENO);
    std::fflush(stdout);
    ::dup2(ends[1], STDOUT_FILENO);
    startLogging("test", LogFormat::Json);
    // Distinct events, so that the pipe fills up before the budget of any event is used up.
    const std::string padding(1'000, 'x');
    for (int i = 0; i < 400; ++i)
        logFailure("event-" + std::to_string(i), {{"filling", padding}});
    const auto dropped = logLinesDropped().value();
    const auto written = logLinesWritten().value();
    ::dup2(standardOutput, STDOUT_FILENO);
    ::close(ends[1]);
    std::string text;
    char bytes[4096];
    for (auto count = ::read(ends[0], bytes, sizeof bytes); count > 0;
         count = ::read(ends[0], bytes, sizeof bytes))
        text.append(bytes, static_cast<std::size_t>(count));
    ::close(ends[0]);
    CHECK(written > 0);
    CHECK(dropped > 0);
    CHECK(written + dropped == 400);
    // Only complete lines are written.
    CHECK(text.ends_with("\"}\n"));
    CHECK(text.starts_with("{\"time\":\""));
}
