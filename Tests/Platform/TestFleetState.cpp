#include <FleetHistory.h>
#include <FleetState.h>

#include <catch2/catch.hpp>

using namespace Radishplank;
using namespace Radishplank::Platform;

namespace {

StoredObject objectOf(unsigned number, unsigned change)
{
    return {"servers/i-" + std::to_string(number),
            R"({"service":"s1","address":"10.0.0.9:80","zone":"z","seq_no":)"
                    + std::to_string(change) + "}",
            change};
}

UpstreamId idOf(unsigned number)
{
    return UpstreamId("i-" + std::to_string(number));
}

} // namespace

TEST_CASE("A fleet state is decoded as it was encoded", "[FleetState]")
{
    FleetState state;
    state.configuration = R"({"version":7})";
    state.upstreamRevision = 30;
    state.removalsDoubtful = Milliseconds(40);
    state.upstreams = {objectOf(1, 2)};

    SECTION("with the whole list, as processes of earlier versions expect it")
    {
        const auto decoded = decodeFleetState(encodeFleetState(state));
        REQUIRE_FALSE(decoded.isError());
        CHECK(decoded.value().configuration == state.configuration);
        CHECK(decoded.value().upstreamRevision == 30);
        CHECK(decoded.value().removalsDoubtful == Milliseconds(40));
        REQUIRE(decoded.value().upstreams.size() == 1);
        CHECK(decoded.value().upstreams[0].value == objectOf(1, 2).value);
        CHECK_FALSE(decoded.value().delta);
        CHECK(encodeFleetState(state).find("since") == std::string::npos);
    }
    SECTION("with a delta, whose digest keeps all 64 bits")
    {
        state.delta = FleetState::Delta{20, {"servers/i-9"}, 0xfedc'ba98'7654'3211};
        const auto decoded = decodeFleetState(encodeFleetState(state));
        REQUIRE_FALSE(decoded.isError());
        REQUIRE(decoded.value().delta);
        CHECK(decoded.value().delta->since == 20);
        CHECK(decoded.value().delta->removed == std::vector<std::string>{"servers/i-9"});
        CHECK(decoded.value().delta->digest == 0xfedc'ba98'7654'3211);
    }
    SECTION("Entries that are not upstreams do not end the process")
    {
        const auto decoded
                = decodeFleetState(R"({"upstreamRevision":3,"since":2,"removed":["", 5, "x"],)"
                                   R"("upstreams":[7, {"key":""}, {"key":"ser"}, {"value":"v"}]})");
        REQUIRE_FALSE(decoded.isError());
        CHECK(decoded.value().upstreams.empty());
        CHECK(decoded.value().delta->removed.empty());
        CHECK(decodeFleetState("[]").isError());
        CHECK(decodeFleetState("").isError());
    }
}

TEST_CASE("A query names what the process has", "[FleetState]")
{
    CHECK(FleetQuery().target() == "/fleet");
    CHECK(FleetQuery{12, 7}.target() == "/fleet?since=12&configuration=7");
    const auto parsed = FleetQuery::parse("/fleet?since=12&configuration=7");
    CHECK(parsed.since == 12);
    CHECK(parsed.configuration == 7);

    SECTION("A query that cannot be read asks for everything")
    {
        for (const auto *target : {"/fleet", "/fleet?", "/fleet?since=", "/fleet?since=x",
                                   "/fleet?since=-1", "/fleet?since=99999999999999999999999"}) {
            CAPTURE(target);
            CHECK(FleetQuery::parse(target).since == noVersion);
        }
    }
}

TEST_CASE("The history names the upstreams that changed after a revision", "[FleetState]")
{
    FleetHistory history(3);
    CHECK_FALSE(history.changedSince(0));
    history.restart(10);
    CHECK_FALSE(history.changedSince(9));
    CHECK(history.changedSince(10) == std::set<UpstreamId>());
    history.note(idOf(1), 11);
    history.note(idOf(2), 12);
    history.note(idOf(1), 12);
    CHECK(history.changedSince(10) == std::set<UpstreamId>{idOf(1), idOf(2)});
    CHECK(history.changedSince(12) == std::set<UpstreamId>());
    CHECK(history.changedSince(50) == std::set<UpstreamId>());

    SECTION("but not back to changes that it has dropped, which a peer would miss for good")
    {
        history.note(idOf(3), 13);
        CHECK_FALSE(history.changedSince(10));
        CHECK(history.changedSince(11) == std::set<UpstreamId>{idOf(1), idOf(2), idOf(3)});
        // Two of the three changes of one revision are left.
        history.note(idOf(4), 14);
        CHECK_FALSE(history.changedSince(11));
        CHECK(history.changedSince(12) == std::set<UpstreamId>{idOf(3), idOf(4)});
    }
}

TEST_CASE("Deltas lead to the list of the sender, whatever was missed", "[FleetState]")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        RandomEngine random(seed);
        FleetHistory history(40);
        UpstreamObjects sender;
        UpstreamObjects receiver;
        Version receiverRevision = noVersion;
        history.restart(1);
        unsigned deltas = 0;
        unsigned wholeLists = 0;
        for (unsigned revision = 2; revision < 2'000; ++revision) {
            const auto number = static_cast<unsigned>(randomBelow(random, 100));
            if (randomBelow(random, 4) == 0)
                sender.erase(idOf(number));
            else
                sender[idOf(number)] = objectOf(number, revision);
            history.note(idOf(number), revision);
            // Usually soon after, sometimes only when the history no longer has the changes.
            if (randomBelow(random, revision % 50 == 0 ? 100 : 5) != 0)
                continue;
            const auto changed = history.changedSince(receiverRevision);
            receiverRevision = revision;
            if (!changed) {
                wholeLists += 1;
                receiver = sender;
                continue;
            }
            deltas += 1;
            FleetState state;
            state.delta = FleetState::Delta{receiverRevision, {}, upstreamDigest(sender)};
            for (const auto &id : *changed) {
                if (const auto found = sender.find(id); found != sender.end())
                    state.upstreams.push_back(found->second);
                else
                    state.delta->removed.push_back("servers/" + id.text());
            }
            REQUIRE(isDeltaComplete(receiver, state));

            // A receiver whose list was another one notices it.
            auto other = receiver;
            other[idOf(1'000)] = objectOf(1'000, 1);
            REQUIRE_FALSE(isDeltaComplete(other, state));
            for (const auto &object : state.upstreams)
                receiver[UpstreamId(object.key.substr(8))] = object;
            for (const auto &key : state.delta->removed)
                receiver.erase(UpstreamId(key.substr(8)));
            REQUIRE(upstreamDigest(receiver) == upstreamDigest(sender));
        }
        CHECK(deltas > 100);
        CHECK(wholeLists >= 1);
    }
}
