#include <ConfigurationDecoder.h>
#include <EntrySettings.h>
#include <JobCodec.h>
#include <LiveSettings.h>
#include <UpstreamDecoder.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace Radishplank;
using namespace Radishplank::Platform;

namespace {

constexpr std::string_view configuration = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","path_prefix":"/one/","route_type":"streaming","timeout_ms":5000,
 "target_latency_ms":300,"priority":0,"traffic_split":[{"service":"s1","weight":90},
 {"service":"s1","weight":10}],"max_attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":200},
{"name":"r2","host":"a.example","path_prefix":"/two/","route_type":"streaming","timeout_ms":5000,
 "target_latency_ms":300,"service":"s2","max_attempts":2,"resumable":true},
{"name":"r3","host":"a.example","path_prefix":"/three/","route_type":"batch","service":"s1",
 "target_latency_ms":400,"completion_target_ms":18000,"max_attempts":3,"max_wait_s":60},
{"name":"r4","host":"a.example","path_prefix":"/four/","route_type":"idempotent","service":"s1"},
{"name":"r5","host":"a.example","path_prefix":"/five/","route_type":"unheard-of","service":"s1"},
7],"services":[],"limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,
"idle_timeout_ms":15000}})";

StoredObject serverObject(std::string value)
{
    return {"servers/i-1", std::move(value), 5};
}

constexpr std::string_view validServer
        = R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,)"
          R"("state":"ready","cold_left_ms":0,"seq_no":4,"born":1700000000000})";

std::string withReplacement(std::string_view from, std::string_view to)
{
    std::string text(validServer);
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("Bounds that a deployment does not state leave the settings unchanged", "[Decoders]")
{
    const auto path = std::filesystem::temp_directory_path()
                      / ("radishplank-bounds-" + makeUniqueId("test") + ".json");
    const auto read = [&](const std::string &text) {
        std::ofstream(path) << text;
        Platform::EntrySettings settings;
        CHECK_FALSE(Platform::readPlatformBounds(path.string(), settings).isError());
        std::filesystem::remove(path);
        return settings;
    };
    const auto without = read(R"({"bounds":{"quota_overage":0.1},"limits":{"memory_mb":110}})");
    CHECK(without.revocationTime.count() == 0);
    CHECK(without.quotaWindow == 5);
    CHECK(without.memoryLimit == 110);
    CHECK(without.descriptorLimit == 0);
    CHECK(read(R"({"bounds":{"fail_closed":false,"revoke_ms":5000}})").revocationTime.count() == 0);

    const auto with = read(R"({"bounds":{"fail_closed":true,"revoke_ms":5000,"quota_window_s":4,
            "quota_overage":0.2,"quota_slack":20},"limits":{"memory_mb":160,"max_fds":4200}})");
    CHECK(with.revocationTime == Milliseconds(5'000));
    CHECK(with.quotaWindow == 4);
    CHECK(with.quotaOverage == 0.2);
    CHECK(with.quotaSlack == 20);
    CHECK(with.memoryLimit == 160);
    CHECK(with.descriptorLimit == 4'200);
    Platform::EntrySettings settings;
    CHECK(Platform::readPlatformBounds(path.string(), settings).isError());
}

TEST_CASE("The operator's configuration is decoded into routes", "[Decoders]")
{
    Findings findings;
    const auto decoded = decodeConfiguration(configuration, findings);
    REQUIRE_FALSE(decoded.isError());
    const auto &table = *decoded.value();
    CHECK(table.version() == 7);
    CHECK(table.size() == 4);
    CHECK(table.limits().bodyBytes == 2'000);
    CHECK(table.limits().idleTimeout == Milliseconds(15'000));

    SECTION("with the kind and the retry rules of their calls")
    {
        const auto plain = table.find("a.example", "/one/x");
        REQUIRE(plain);
        CHECK(plain->kind == RouteKind::Stream);
        CHECK_FALSE(plain->mayRunAgain());
        CHECK(plain->services.size() == 2);
        const auto resumable = table.find("a.example", "/two/x");
        CHECK(resumable->mayRunAgain());
        CHECK(resumable->maxUpstreams == 2);
        const auto batch = table.find("a.example", "/three/x");
        CHECK(batch->kind == RouteKind::Batch);
        CHECK(batch->jobTarget == Milliseconds(18'000));
        CHECK(batch->jobExpiry == Milliseconds(60'000));
        CHECK(table.find("a.example", "/four/x")->repetition == Repetition::Allowed);
    }
    SECTION("Invalid routes are reported and skipped")
    {
        CHECK_FALSE(table.find("a.example", "/five/x"));
        CHECK(findings.all().size() == 2);
    }
    SECTION("Text that is not a configuration is an error")
    {
        CHECK(decodeConfiguration("{}", findings).isError());
        CHECK(decodeConfiguration("[]", findings).isError());
        CHECK(decodeConfiguration("{\"version\":1}", findings).isError());
    }
}

TEST_CASE("A server's entry is decoded into an upstream", "[Decoders]")
{
    const auto decoded = decodeUpstream(serverObject(std::string(validServer)));
    REQUIRE_FALSE(decoded.isError());
    CHECK(decoded.value().id == UpstreamId("i-1"));
    CHECK(decoded.value().endpoint.text() == "10.0.0.9:80");
    CHECK(decoded.value().slots == 8);
    CHECK_FALSE(decoded.value().isDraining);
    CHECK(decoded.value().startedAt == 1'700'000'000'000);
    CHECK(decodeUpstream(serverObject(withReplacement("ready", "draining"))).value().isDraining);

    SECTION("unless it is malformed")
    {
        CHECK(decodeUpstream(serverObject("")).isError());
        CHECK(decodeUpstream(serverObject("null")).isError());
        CHECK(decodeUpstream(serverObject("{}")).isError());
        CHECK(decodeUpstream(serverObject(withReplacement("\"ready\"", "\"sleeping\""))).isError());
        CHECK(decodeUpstream(serverObject(withReplacement("\"ready\"", "1"))).isError());
        CHECK(decodeUpstream(serverObject(withReplacement("\"slots\":8", "\"slots\":\"8\"")))
                      .isError());
        CHECK(decodeUpstream(serverObject(withReplacement("\"slots\":8,", ""))).isError());
        CHECK(decodeUpstream(serverObject(withReplacement("\"seq_no\":4", "\"seq_no\":\"x\"")))
                      .isError());
        CHECK(decodeUpstream(serverObject(withReplacement("10.0.0.9:80", "here"))).isError());
        CHECK(decodeUpstream(serverObject(withReplacement("\"s1\"", "[]"))).isError());
        auto named = serverObject(std::string(validServer));
        named.key += "\r\nX-Tenant: other";
        CHECK(decodeUpstream(named).isError());
    }
}

TEST_CASE("Submissions are decoded into items, and results are encoded as pages", "[Decoders]")
{
    const auto items = decodeItems(R"({"items":[{"id":"x","path":"/p","headers":{"X-Model":"m"},)"
                                   R"("body":"q83vEjRWeJA=","token_count":940}]})");
    REQUIRE_FALSE(items.isError());
    REQUIRE(items.value().size() == 1);
    CHECK(items.value()[0].body == "\xab\xcd\xef\x12\x34\x56\x78\x90");
    CHECK(items.value()[0].tokens == 940);
    CHECK(items.value()[0].headers.value("X-Model") == "m");
    CHECK(decodeItems(R"({"items":[{"id":"x","path":"/p","body":"!"}]})").isError());
    CHECK(decodeItems(R"({"items":[{"path":"/p","body":""}]})").isError());
    CHECK(decodeItems(R"({"items":[{"id":"x","path":"/p","headers":{"a":1}}]})").isError());
    CHECK(decodeItems(R"({"items":{}})").isError());

    SECTION("An item must have a valid number of tokens")
    {
        for (const auto *count : {R"("940")", "0", "-1", "1e18", "null"}) {
            CAPTURE(count);
            const auto refused = decodeItems(R"({"items":[{"id":"x","path":"/p","token_count":)"
                                             + std::string(count) + "}]}");
            REQUIRE(refused.isError());
            CHECK(refused.error().message.find("token_count of the item x") != std::string::npos);
        }
    }

    SECTION("An item must make a valid request, and the error names the item and the field")
    {
        const std::string first = R"({"id":"x","path":"/p","body":"","token_count":9},)";
        const auto expectError = [&](const std::string &second, const std::string &expected) {
            CAPTURE(second);
            const auto refused = decodeItems(R"({"items":[)" + first
                                             + R"({"body":"","token_count":9,)" + second + "}]}");
            REQUIRE(refused.isError());
            CHECK(refused.error().kind == ErrorKind::InvalidInput);
            CHECK(refused.error().message.starts_with("items[1]." + expected));
        };
        expectError(R"("id":"y\r\nX-A: b","path":"/p")", "id: ");
        expectError(R"("id":"y ","path":"/p")", "id: ");
        expectError(R"("id":"y","path":"/p\nX-A: b")", "path: ");
        expectError(R"("id":"y","path":"/p q")", "path: ");
        expectError(R"("id":"y","path":"/p\u0000")", "path: ");
        expectError(R"("id":"y","path":"p")", "path: ");
        expectError(R"("id":"y","path":"/p","headers":{"X-A":"b\r\nX-Tenant: c"})", "headers: ");
        expectError(R"("id":"y","path":"/p","headers":{"X-A":"b\rc"})", "headers: ");
        expectError(R"("id":"y","path":"/p","headers":{"X-Tenant ":"c"})", "headers: ");
        expectError(R"("id":"y","path":"/p","headers":{"X-Tenant:":"c"})", "headers: ");
        expectError(R"("id":"y","path":"/p","headers":{"X-A\nX-Tenant":"c"})", "headers: ");
        expectError(R"("id":"y","path":"/p","headers":{"":"c"})", "headers: ");
    }
    SECTION("An item may have text beyond ASCII and tabs")
    {
        CHECK_FALSE(decodeItems(R"({"items":[{"id":"\u00e9","path":"/\u00e9?q","body":"",)"
                                R"("token_count":9,"headers":{"X-A":"\u00e9\tb"}}]})")
                            .isError());
    }

    JobPage page{3, {{"x", ItemState::Completed, "one\ntwo"}, {"y", ItemState::DeadLetter, ""}}};
    CHECK(encodePage(page, 1)
          == R"({"total":3,"next":3,"results":[{"id":"x","state":"completed","output":"one\ntwo"},)"
             R"({"id":"y","state":"dead_letter","output":""}]})");
}

TEST_CASE("Reloadable settings are read from the platform's settings file", "[Decoders]")
{
    const LiveSettings current{{{"10.0.0.1", 5}}, 8};
    const auto parse = [&](const std::string &text) { return parseLiveSettings(text, current); };

    SECTION("Settings that the file does not contain keep their values")
    {
        const auto settings = parse(R"({"node_name":"x","bounds":{}})");
        REQUIRE_FALSE(settings.isError());
        CHECK(settings.value() == current);
        CHECK(changedSettings(current, settings.value()) == "nothing");
    }
    SECTION("Settings in the file replace the current values")
    {
        const auto settings
                = parse(R"({"seeds":["10.0.0.2:6","10.0.0.3:6"],"bounds":{"grace_s":5.5}})");
        REQUIRE_FALSE(settings.isError());
        CHECK(settings.value().seeds.size() == 2);
        CHECK(settings.value().stopTime == 5.5);
        CHECK(changedSettings(current, settings.value()) == "seeds stop-time");
    }
    SECTION("A file with an invalid setting is rejected as a whole")
    {
        for (const auto *text :
             {"", "[]", R"({"seeds":7})", R"({"seeds":[7]})", R"({"seeds":["10.0.0.2"]})",
              R"({"bounds":{"grace_s":"8"}})", R"({"bounds":{"grace_s":-1}})"})
            CHECK(parse(text).isError());
    }
}

TEST_CASE("Upstreams are chosen by count unless the settings ask for work", "[EntrySettings]")
{
    Platform::EntrySettings settings;
    Findings findings;
    CHECK(Platform::placementOf(settings, findings) == PlacementRule::Count);
    settings.placement = "work";
    CHECK(Platform::placementOf(settings, findings) == PlacementRule::Work);
    CHECK(findings.isEmpty());
    // A misspelt rule must not silently mean the default.
    settings.placement = "works";
    (void)Platform::placementOf(settings, findings);
    CHECK_FALSE(findings.isEmpty());
}
