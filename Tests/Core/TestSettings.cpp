#include <Core/Core.h>

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Radishplank;

namespace {

struct Values
{
    std::string name = "none";
    std::uint64_t count = 3;
    Milliseconds wait{100};
    Endpoint store;
};

Settings makeSettings(Values &values)
{
    Settings settings;
    settings.bind(&values.name, "name", "NAME", "A name.");
    settings.bind(&values.count, "count", "COUNT", "A count.");
    settings.bind(&values.wait, "wait", "MILLISECONDS", "A wait.");
    settings.bind(&values.store, "store", "ADDRESS:PORT", "A store.", Settings::Presence::Required);
    return settings;
}

Result<Settings::Parsed> parse(Settings &settings, std::vector<std::string> words)
{
    words.insert(words.begin(), "program");
    std::vector<char *> arguments;
    for (auto &word : words)
        arguments.push_back(word.data());
    return settings.parse(arguments);
}

} // namespace

TEST_CASE("Settings come from flags and environment variables")
{
    Values values;
    auto settings = makeSettings(values);
    SECTION("A flag sets its variable and the others keep their defaults")
    {
        REQUIRE_FALSE(parse(settings, {"--store=10.0.0.1:1", "--count=7"}).isError());
        CHECK(values.count == 7);
        CHECK(values.name == "none");
    }
    SECTION("A flag takes precedence over the environment")
    {
        setenv("RADISHPLANK_COUNT", "9", 1);
        REQUIRE_FALSE(parse(settings, {"--store=10.0.0.1:1"}).isError());
        CHECK(values.count == 9);
        REQUIRE_FALSE(parse(settings, {"--store=10.0.0.1:1", "--count=7"}).isError());
        CHECK(values.count == 7);
        unsetenv("RADISHPLANK_COUNT");
    }
    SECTION("All errors are reported together, each with its location")
    {
        const auto parsed = parse(settings, {"--count=x", "--wait=-1", "--colour=red"});
        REQUIRE(parsed.isError());
        const auto &message = parsed.error().message;
        CHECK(message.find("--count: expected a whole number") != std::string::npos);
        CHECK(message.find("--wait: expected whole milliseconds") != std::string::npos);
        CHECK(message.find("--colour") != std::string::npos);
        CHECK(message.find("--store: is required") != std::string::npos);
    }
    SECTION("The help lists flag, unit, environment variable and default")
    {
        const auto help = settings.helpText("program");
        CHECK(help.find("--count=COUNT") != std::string::npos);
        CHECK(help.find("environment RADISHPLANK_COUNT, default 3") != std::string::npos);
    }
}
