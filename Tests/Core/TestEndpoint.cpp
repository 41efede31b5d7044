#include <Core/Core.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("An endpoint is an IPv4 address and a port")
{
    SECTION("A valid endpoint is parsed")
    {
        const auto parsed = Endpoint::parse("127.0.0.1:8080");
        REQUIRE_FALSE(parsed.isError());
        CHECK(parsed.value() == Endpoint{"127.0.0.1", 8080});
    }
    for (const auto *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                             "127.0.0.1:8x", ":80", ""}) {
        SECTION(std::string("Rejected: '") + text + "'")
        {
            CHECK(Endpoint::parse(text).isError());
        }
    }
}
