#include <Catalogue/Catalogue.h>
#include <Store/Store.h>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

std::string ownerJson(double weight)
{
    return R"({"tokenDigest":")" + std::string(64, 'a') + R"(","weight":)" + std::to_string(weight)
           + "}";
}

double ownerWeight(const ConfigurationReplica &replica)
{
    return replica.read([](const CatalogueSnapshot &catalogue) {
        const auto owner = catalogue.owner(OwnerId("lotka"));
        return owner == nullptr ? 0.0 : owner->weight;
    });
}

ObjectChange change(double weight, Version version)
{
    return {{"config/owners/lotka", ownerJson(weight), version}, false};
}

} // namespace

TEST_CASE("A configuration replica never reverts to an older version")
{
    ConfigurationReplica replica;
    REQUIRE(replica.apply(std::vector{change(2, 5)}, 5));

    SECTION("An older copy from a peer is ignored")
    {
        CHECK_FALSE(replica.apply(std::vector{change(1, 4)}, 4));
        CHECK(ownerWeight(replica) == 2);
        CHECK(replica.revision() == 5);
    }
    SECTION("An older copy does not restore a removed object")
    {
        replica.apply(std::vector{ObjectChange{{"config/owners/lotka", "", 6}, true}}, 6);
        CHECK(ownerWeight(replica) == 0);
        replica.apply(std::vector{change(2, 5)}, 6);
        CHECK(ownerWeight(replica) == 0);
    }
    SECTION("A listing without the object removes it")
    {
        replica.applyListing({}, 9);
        CHECK(ownerWeight(replica) == 0);
    }
    SECTION("An outdated listing without the object does not remove it")
    {
        replica.applyListing({}, 3);
        CHECK(ownerWeight(replica) == 2);
    }
    SECTION("After an invalid update, the last valid version stays in effect")
    {
        replica.apply(std::vector{ObjectChange{{"config/owners/lotka", "{", 7}, false}}, 7);
        CHECK(ownerWeight(replica) == 2);
        CHECK(replica.rejectedObjects() == 1);
    }
    SECTION("A lagging peer receives only the changes it misses")
    {
        replica.apply(std::vector{ObjectChange{{"config/owners/other", ownerJson(1), 8}, false}},
                      8);
        const auto missing = replica.changesSince(5);
        REQUIRE(missing.size() == 1);
        CHECK(missing[0].object.key == "config/owners/other");
    }
}

TEST_CASE("Replicas converge under random exchanges without ever reverting")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        RandomEngine random(seed);
        MemoryObjectStore store;
        std::vector<ConfigurationReplica> replicas(4);
        std::vector<double> lastWeights(replicas.size(), 0);
        Version version = noVersion;
        double weight = 0;
        const auto checkMonotonicWeights = [&] {
            for (std::size_t i = 0; i < replicas.size(); ++i) {
                const auto now = ownerWeight(replicas[i]);
                REQUIRE(now >= lastWeights[i]);
                lastWeights[i] = now;
            }
        };
        const auto step = [&] {
            auto &replica = replicas[randomBelow(random, replicas.size())];
            switch (randomBelow(random, 4)) {
            case 0:
                weight += 1;
                version = store.put("config/owners/lotka", ownerJson(weight), version).value();
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
                // The peer may lag, and its response may arrive after other changes.
                auto &peer = replicas[randomBelow(random, replicas.size())];
                replica.apply(peer.changesSince(replica.revision()), peer.revision());
                break;
            }
            }
            checkMonotonicWeights();
        };
        for (int i = 0; i < 60; ++i)
            step();
        const auto listing = listAll(store, "config/", ListContent::KeysAndValues);
        replicas[0].applyListing(listing.value().objects, listing.value().revision);
        for (std::size_t i = 1; i < replicas.size(); ++i) {
            replicas[i].apply(replicas[0].changesSince(replicas[i].revision()),
                              replicas[0].revision());
            REQUIRE(ownerWeight(replicas[i]) == weight);
        }
    }
}
