#include <Core/Core.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("An endpoint is an IP number and a port")
{
    SECTION("A whole one is parsed")
    {
        const auto parsed = Endpoint::parse("127.0.0.1:8080");
        REQUIRE_FALSE(parsed.isError());
        CHECK(parsed.value() == Endpoint{"127.0.0.1", 8080});
    }
    for (const auto *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                             "127.0.0.1:8x", ":80", ""}) {
        SECTION(std::string("Refused: '") + text + "'")
        {
            CHECK(Endpoint::parse(text).isError());
        }
    }
}
