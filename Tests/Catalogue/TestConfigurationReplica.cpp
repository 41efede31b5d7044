#include <Catalogue/Catalogue.h>
#include <Store/Store.h>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

std::string ownerText(double weight)
{
    return R"({"tokenDigest":")" + std::string(64, 'a') + R"(","weight":)" + std::to_string(weight)
           + "}";
}

double weightIn(const ConfigurationReplica &replica)
{
    return replica.read([](const CatalogueSnapshot &catalogue) {
        const auto *owner = catalogue.owner(OwnerId("lotka"));
        return owner == nullptr ? 0.0 : owner->weight;
    });
}

ObjectChange change(double weight, Version version)
{
    return {{"config/owners/lotka", ownerText(weight), version}, false};
}

} // namespace

TEST_CASE("A replica of the configuration never goes back")
{
    ConfigurationReplica replica;
    REQUIRE(replica.apply(std::vector{change(2, 5)}, 5));

    SECTION("An older copy from a peer changes nothing")
    {
        CHECK_FALSE(replica.apply(std::vector{change(1, 4)}, 4));
        CHECK(weightIn(replica) == 2);
        CHECK(replica.revision() == 5);
    }
    SECTION("A removal outlasts an older copy of the object")
    {
        replica.apply(std::vector{ObjectChange{{"config/owners/lotka", "", 6}, true}}, 6);
        CHECK(weightIn(replica) == 0);
        replica.apply(std::vector{change(2, 5)}, 6);
        CHECK(weightIn(replica) == 0);
    }
    SECTION("A listing that lacks the object removes it")
    {
        replica.applyListing({}, 9);
        CHECK(weightIn(replica) == 0);
    }
    SECTION("An old listing that lacks the object does not")
    {
        replica.applyListing({}, 3);
        CHECK(weightIn(replica) == 2);
    }
    SECTION("An object that is not valid leaves the last valid one in force")
    {
        replica.apply(std::vector{ObjectChange{{"config/owners/lotka", "{", 7}, false}}, 7);
        CHECK(weightIn(replica) == 2);
        CHECK(replica.refusedObjects() == 1);
    }
    SECTION("A peer that lags gets just what it lacks")
    {
        replica.apply(std::vector{ObjectChange{{"config/owners/other", ownerText(1), 8}, false}},
                      8);
        const auto lacking = replica.changesSince(5);
        REQUIRE(lacking.size() == 1);
        CHECK(lacking[0].object.key == "config/owners/other");
    }
}

TEST_CASE("Replicas agree after any order of exchanges, and none ever goes back")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        RandomEngine random(seed);
        MemoryObjectStore store;
        std::vector<ConfigurationReplica> replicas(4);
        std::vector<double> lastWeights(replicas.size(), 0);
        Version version = noVersion;
        double weight = 0;
        const auto noteWeights = [&] {
            for (std::size_t i = 0; i < replicas.size(); ++i) {
                const auto now = weightIn(replicas[i]);
                REQUIRE(now >= lastWeights[i]);
                lastWeights[i] = now;
            }
        };
        const auto step = [&] {
            auto &replica = replicas[randomBelow(random, replicas.size())];
            switch (randomBelow(random, 4)) {
            case 0:
                weight += 1;
                version = store.put("config/owners/lotka", ownerText(weight), version).value();
                break;
            case 1: {
                const auto listing = listAll(store, "config/", ListContent::KeysAndValues);
                replica.applyListing(listing.value().objects, listing.value().revision);
                break;
            }
            case 2: {
                const auto batch = store.watch("config/", replica.revision(), Milliseconds(0));
                replica.apply(batch.value().changes, batch.value().revision);
                break;
            }
            default: {
                // The peer may be behind, and its answer may come after other changes.
                auto &peer = replicas[randomBelow(random, replicas.size())];
                replica.apply(peer.changesSince(replica.revision()), peer.revision());
                break;
            }
            }
            noteWeights();
        };
        for (int i = 0; i < 60; ++i)
            step();
        const auto listing = listAll(store, "config/", ListContent::KeysAndValues);
        replicas[0].applyListing(listing.value().objects, listing.value().revision);
        for (std::size_t i = 1; i < replicas.size(); ++i) {
            replicas[i].apply(replicas[0].changesSince(replicas[i].revision()),
                              replicas[0].revision());
            REQUIRE(weightIn(replicas[i]) == weight);
        }
    }
}
