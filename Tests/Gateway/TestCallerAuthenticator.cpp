#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

const std::string host = "shop.example";

Owner ownerWith(const std::string &name, std::vector<std::string> tokens)
{
    Owner owner;
    owner.id = OwnerId(name);
    for (const auto &token : tokens)
        owner.tokenDigests.push_back(sha256Hex(token));
    return owner;
}

void publish(RouteDirectory &routes, std::uint64_t version, std::vector<Owner> owners)
{
    routes.publish(std::make_unique<const RouteTable>(version, std::vector<Route>{}, CallerLimits{},
                                                      OwnerDirectory(std::move(owners))));
}

HttpRequest requestWith(const std::string &credentials)
{
    HttpRequest request{"POST", "/a/", {{"Host", host}}, ""};
    if (!credentials.empty())
        request.headers.add("Authorization", credentials);
    return request;
}

CallHeaderNames headerNames()
{
    CallHeaderNames names;
    names.credentials = "Authorization";
    names.owner = "X-Owner";
    names.attemptId = "X-Id";
    return names;
}

} // namespace

TEST_CASE("A call is made in the name of the organisation that holds its token", "[Owners]")
{
    RouteDirectory routes;
    ConfigurationEvidence evidence(Milliseconds(5'000));
    GatewayMetrics metrics;
    unsigned reads = 0;
    // Stands for the store: the configuration that a read would find.
    std::function<bool()> read = [] { return false; };
    CallerAuthenticator authenticator(routes, evidence, headerNames(), metrics, [&](Duration) {
        reads += 1;
        return read();
    });
    const Route restricted;
    Route open;
    open.access = RouteAccess::Public;
    const auto authenticate = [&](const std::string &credentials, const Route *route) {
        return authenticator.authenticate(requestWith(credentials), route,
                                          EvidenceNeed::RecentlyConfirmed);
    };
    const auto statusOf = [&](const std::string &credentials, const Route *route) {
        const auto result = authenticate(credentials, route);
        const auto *refusal = std::get_if<CallerRefusal>(&result);
        return refusal == nullptr ? 0U : refusal->status;
    };
    const auto confirm = [&] { evidence.confirm(routes.version(), BootClock::now()); };

    SECTION("Without organisations no call needs a token")
    {
        routes.publish(std::make_unique<const RouteTable>(1, std::vector<Route>{}, CallerLimits{}));
        const auto identity = std::get<CallerIdentity>(authenticate("Bearer one", &restricted));
        CHECK_FALSE(identity.isRequired);
        CHECK_FALSE(identity.owner);
    }
    SECTION("With organisations")
    {
        publish(routes, 1, {ownerWith("first", {"one", "two"}), ownerWith("second", {"three"})});
        confirm();
        CHECK(std::get<CallerIdentity>(authenticate("Bearer two", &restricted)).name() == "first");
        CHECK(std::get<CallerIdentity>(authenticate("bearer three", &restricted)).name()
              == "second");

        SECTION("a call on a public route is anonymous, whatever token it has")
        {
            const auto identity = std::get<CallerIdentity>(authenticate("Bearer one", &open));
            CHECK(identity.isRequired);
            CHECK_FALSE(identity.owner);
        }
        SECTION("a call without a bearer token is refused")
        {
            CHECK(statusOf("", &restricted) == 401);
            CHECK(statusOf("Basic b25l", &restricted) == 401);
            CHECK(statusOf("Bearer  ", &restricted) == 401);
            CHECK(reads == 0);
        }
        SECTION("an unknown token is refused only after the newest configuration has been read")
        {
            SECTION("which may bring the token")
            {
                read = [&] {
                    publish(routes, 2, {ownerWith("third", {"four"})});
                    confirm();
                    return true;
                };
                CHECK(std::get<CallerIdentity>(authenticate("Bearer four", &restricted)).name()
                      == "third");
                CHECK(reads == 1);
            }
            SECTION("or not; then it is refused without further reads for some time")
            {
                read = [] { return true; };
                for (int i = 0; i < 50; ++i)
                    CHECK(statusOf("Bearer four", &restricted) == 401);
                CHECK(reads == 1);
            }
            SECTION("and not at all while nothing can be read")
            {
                CHECK(statusOf("Bearer four", &restricted) == 503);
                CHECK(metrics.callsUnauthorized.value() == 0);
            }
        }
        SECTION("a removed token is refused at once")
        {
            publish(routes, 2, {ownerWith("first", {"two"})});
            read = [] { return true; };
            CHECK(statusOf("Bearer one", &restricted) == 401);
            CHECK(statusOf("Bearer two", &restricted) == 0);
        }
    }
    SECTION("Without a recent confirmation of the configuration")
    {
        publish(routes, 1, {ownerWith("first", {"one"})});
        evidence.confirm(1, BootClock::now() - Milliseconds(5'000));

        SECTION("a call with a known token is refused, as the token may have been revoked")
        {
            CHECK(statusOf("Bearer one", &restricted) == 503);
            CHECK(metrics.callsUnconfirmed.value() == 1);
        }
        SECTION("a call that runs nothing at upstreams is served")
        {
            const auto result = authenticator.authenticate(requestWith("Bearer one"), nullptr,
                                                           EvidenceNeed::None);
            CHECK(std::get<CallerIdentity>(result).name() == "first");
        }
        SECTION("a public route is served")
        {
            CHECK(statusOf("", &open) == 0);
        }
    }
}
