#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

Route routeTo(std::string host, std::string prefix, std::string name)
{
    Route route;
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.name = std::move(name);
    route.services = {{"service", 1}};
    return route;
}

std::string nameAt(const RouteTable &table, std::string_view host, std::string_view path)
{
    const auto route = table.find(host, path);
    return route ? route->name : "";
}

std::unique_ptr<const RouteTable> tableOf(std::uint64_t version, std::vector<Route> routes)
{
    return std::make_unique<const RouteTable>(version, std::move(routes), CallerLimits());
}

} // namespace

TEST_CASE("Routes are found by host and the longest prefix", "[RouteTable]")
{
    const auto table = tableOf(
            1, {routeTo("a.example", "/", "root"), routeTo("a.example", "/one/", "one"),
                routeTo("a.example", "/one/two/", "two"), routeTo("b.example", "/one/", "other")});
    CHECK(nameAt(*table, "a.example", "/one/two/three") == "two");
    CHECK(nameAt(*table, "a.example", "/one/three") == "one");
    CHECK(nameAt(*table, "a.example", "/oneself/two/") == "root");
    CHECK(nameAt(*table, "b.example", "/one/two/three") == "other");

    SECTION("The case and port of the host and the query of the path are ignored")
    {
        CHECK(nameAt(*table, "A.Example:8080", "/one/x?y=/one/two/") == "one");
    }
    SECTION("Paths without a matching route are not found")
    {
        CHECK(nameAt(*table, "b.example", "/two/").empty());
        CHECK(nameAt(*table, "c.example", "/one/").empty());
        CHECK(nameAt(*table, "b.example", "").empty());
    }
}

TEST_CASE("A directory never goes back to an older version", "[RouteTable]")
{
    RouteDirectory directory;
    CHECK_FALSE(directory.isConfigured());
    CHECK(directory.publish(tableOf(5, {routeTo("a.example", "/", "five")})));
    CHECK(directory.isConfigured());
    CHECK_FALSE(directory.publish(tableOf(4, {routeTo("a.example", "/", "four")})));
    CHECK_FALSE(directory.publish(tableOf(5, {routeTo("a.example", "/", "again")})));
    CHECK(directory.find("a.example", "/")->name == "five");
    CHECK(directory.publish(tableOf(9, {routeTo("a.example", "/", "nine")})));
    CHECK(directory.find("a.example", "/")->name == "nine");
}

TEST_CASE("A route's services share its calls by weight", "[RouteTable]")
{
    auto route = routeTo("a.example", "/", "split");
    route.services = {{"large", 90}, {"small", 10}};
    CHECK(chooseService(route, 0.0) == "large");
    CHECK(chooseService(route, 0.89) == "large");
    CHECK(chooseService(route, 0.91) == "small");
    CHECK(chooseService(route, 0.999999) == "small");
}
