#include <Catalogue/Catalogue.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("Catalogue objects are validated before they are written")
{
    const std::string digest(64, 'a');
    SECTION("A valid owner has no findings")
    {
        const auto findings = checkConfigurationObject(
                "config/owners/lotka", R"({"tokenDigest":")" + digest + R"(","weight":2})");
        CHECK(findings.text().empty());
    }
    SECTION("All errors are reported together, each with its field")
    {
        const auto findings = checkConfigurationObject(
                "config/entries/lotka/captions",
                R"({"kind":"robot","deadlineMs":0,"limits":{"requestsPerSecond":"many"},"colour":1})");
        const auto text = findings.text();
        CHECK(findings.all().size() == 5);
        CHECK(text.find("captions.pool: is required") != std::string::npos);
        CHECK(text.find("captions.kind: 'robot' is none of model, service") != std::string::npos);
        CHECK(text.find("captions.deadlineMs: must lie between") != std::string::npos);
        CHECK(text.find("captions.limits.requestsPerSecond: must be a number")
              != std::string::npos);
        CHECK(text.find("captions.colour: is not a known field") != std::string::npos);
    }
    SECTION("A key outside the catalogue is rejected")
    {
        CHECK_FALSE(checkConfigurationObject("config/agents/a", "{}").isEmpty());
        CHECK_FALSE(checkConfigurationObject("config/entries/lotka", "{}").isEmpty());
    }
}
