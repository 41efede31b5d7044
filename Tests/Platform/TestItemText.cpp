#include "PlatformDeployment.h"

#include <Batch/Batch.h>

#include <catch2/catch.hpp>
#include <set>

using namespace Radishplank;
using namespace Radishplank::Test;

namespace json = boost::json;

namespace {

const std::string anotherRequest = "Content-Length: 0\r\n\r\nPOST /batch/smuggled HTTP/1.1\r\n"
                                   "X-Attempt-Id: smuggled\r\nX-Tenant: other\r\nX-Note: b";

/// Items whose texts would become other headers or requests.
std::vector<JobItem> smugglingItems()
{
    std::vector<JobItem> items;
    const auto add = [&](const std::string &id, const std::string &path, HttpHeaders headers) {
        items.push_back({id, path, std::move(headers), "body", 10});
    };
    add("by-value", "/batch/x", {{"X-Note", "a\r\n" + anotherRequest}});
    add("by-line-feed", "/batch/x", {{"X-Note", "a\nX-Tenant: other"}});
    add("by-name", "/batch/x", {{"X-Note: a\r\nX-Tenant", "other"}});
    add("by-padded-name", "/batch/x", {{"X-Tenant ", "other"}});
    add("by-path", "/batch/x HTTP/1.1\r\n" + anotherRequest, {});
    add("by-id\r\n" + anotherRequest, "/batch/x", {});
    return items;
}

} // namespace

// Guards against items whose texts become requests that no caller has sent.
TEST_CASE("The text of an item never becomes another request", "[Platform]")
{
    PlatformDeployment deployment;
    auto &server = deployment.addServer("i-1");
    deployment.writeConfiguration(1);

    SECTION("A submission with such an item is rejected, and the response names item and field")
    {
        deployment.startEntry("entry1");
        deployment.waitUntilReady("entry1");
        for (const auto &item : smugglingItems()) {
            json::object headers;
            for (const auto &header : item.headers.all())
                headers[header.name] = header.value;
            const json::object value{{"id", item.id},
                                     {"path", item.path},
                                     {"headers", std::move(headers)},
                                     {"body", encodeBase64(item.body)},
                                     {"token_count", item.tokens}};
            const auto response = deployment.post(
                    "entry1", "/batch/job1",
                    json::serialize(json::object{{"items", json::array{value}}}), "job1");
            CAPTURE(item.id);
            CHECK(response.status == 400);
            CHECK(response.body.starts_with("items[0]."));
        }
        CHECK(deployment.store.count("radishplank-jobs") == 0);
        CHECK(server.served().empty());
    }
    SECTION("A job with such items, which an earlier version has accepted")
    {
        constexpr Milliseconds timeUntilExpiry{9'000};
        constexpr Milliseconds maxWait{60'000};
        SmallJob job{"job1", PlatformDeployment::host, "/batch/job1", NodeId("entry1"), "", 0, {}};
        job.submittedAt = unixMilliseconds() - (maxWait - timeUntilExpiry).count();
        job.items = smugglingItems();
        const auto smuggling = job.items.size();
        job.items.push_back({"sound", "/batch/sound", {}, "sound", 10});
        deployment.store.write("radishplank-jobs", job.id, json::value(serialize(job)));
        auto &entry = deployment.startEntry("entry1");
        deployment.waitUntilReady("entry1");
        const auto completed = deployment.waitForResults("entry1", job.id, 1);

        // An item may be given up only when its job expires.
        REQUIRE(completed.size() == 1);
        CHECK(completed[0].at("id").as_string() == "sound");
        CHECK(completed[0].at("state").as_string() == "completed");

        SECTION("sends none of them, and lists them when it expires")
        {
            const auto results = deployment.waitForResults("entry1", job.id, smuggling + 1);
            REQUIRE(results.size() == smuggling + 1);
            for (std::size_t i = 1; i < results.size(); ++i)
                CHECK(results[i].at("state").as_string() == "dead_letter");
            std::set<std::string> ids;
            for (const auto &served : server.served())
                ids.insert(served.request.headers.value("X-Attempt-Id"));
            CHECK(ids == std::set<std::string>{"sound"});
            CHECK(entry.isRunning());
        }
    }
}
