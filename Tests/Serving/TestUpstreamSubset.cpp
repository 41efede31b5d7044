#include <Core/Core.h>
#include <Serving/Serving.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace Radishplank;

namespace {

constexpr unsigned zones = 6;

std::uint64_t zoneHash(unsigned zone)
{
    return stableHash("zone" + std::to_string(zone));
}

/// A fleet whose processes and upstreams are spread over six zones.
struct Model
{
    std::map<std::string, unsigned> processes;
    /// Zone of each upstream, by service and name.
    std::map<std::pair<std::string, std::string>, unsigned> upstreams;

    Model(std::size_t count, unsigned seed)
    {
        RandomEngine random(seed);
        for (std::size_t i = 0; i < count; ++i)
            addProcess(random, static_cast<unsigned>(i % zones));
        for (std::size_t i = 0; i < 10 * count; ++i)
            addUpstream(random, i % 3 == 0 ? "small" : "large",
                        static_cast<unsigned>(i / 3 % zones));
        for (unsigned i = 0; i < 20; ++i)
            addUpstream(random, "rare", i % zones);
    }

    void addProcess(RandomEngine &random, unsigned zone)
    {
        processes["entry" + std::to_string(random())] = zone;
    }
    void addUpstream(RandomEngine &random, const std::string &service, unsigned zone)
    {
        upstreams[{service, "i-" + std::to_string(random())}] = zone;
    }

    [[nodiscard]] unsigned cells() const { return FleetPartition::cellCount(processes.size()); }
    [[nodiscard]] std::map<std::string, CellPosition> positions() const
    {
        std::vector<CellEntry> entries;
        for (const auto &[name, zone] : processes)
            entries.push_back({stableHash(name), zoneHash(zone)});
        const auto all = FleetPartition::positions(entries);
        std::map<std::string, CellPosition> result;
        std::size_t index = 0;
        for (const auto &[name, zone] : processes)
            result[name] = all[index++];
        return result;
    }
    [[nodiscard]] UpstreamSubset subset() const
    {
        std::vector<SubsetUpstream> all;
        for (const auto &[key, zone] : upstreams)
            all.push_back({stableHash(key.second), stableHash(key.first), zoneHash(zone)});
        return {cells(), all};
    }
    /// Returns the upstreams of a service that each process uses.
    [[nodiscard]] std::map<std::string, std::set<std::string>>
    used(const std::string &service) const
    {
        std::map<std::string, std::set<std::string>> result;
        const auto current = subset();
        const auto at = positions();
        for (const auto &[name, zone] : processes) {
            for (const auto &[key, upstreamZone] : upstreams) {
                if (key.first == service && current.isUsedBy(at.at(name), stableHash(key.second)))
                    result[name].insert(key.second);
            }
        }
        return result;
    }
};

struct Range
{
    std::size_t least = SIZE_MAX;
    std::size_t most = 0;

    void add(std::size_t value)
    {
        least = std::min(least, value);
        most = std::max(most, value);
    }
};

/// Returns how many of the processes in both maps use other upstreams, as a share of all pairs.
double changedShare(const std::map<std::string, std::set<std::string>> &before,
                    const std::map<std::string, std::set<std::string>> &after)
{
    double changed = 0;
    double all = 0;
    for (const auto &[name, upstreams] : before) {
        const auto found = after.find(name);
        if (found == after.end())
            continue;
        for (const auto &upstream : upstreams)
            changed += found->second.contains(upstream) ? 0 : 1;
        all += static_cast<double>(upstreams.size());
    }
    return changed / all;
}

void checkEvenness(std::size_t count)
{
    CAPTURE(count);
    const Model model(count, 5);
    for (const auto *service : {"small", "large"}) {
        CAPTURE(service);
        std::map<std::string, std::size_t> users;
        Range subsetSizes;
        Range zoneSizes;
        for (const auto &[name, upstreams] : model.used(service)) {
            subsetSizes.add(upstreams.size());
            std::map<unsigned, std::size_t> byZone;
            for (const auto &upstream : upstreams) {
                users[upstream] += 1;
                byZone[model.upstreams.at({service, upstream})] += 1;
            }
            REQUIRE(byZone.size() == zones);
            for (const auto &[zone, size] : byZone)
                zoneSizes.add(size);
        }
        Range userCounts;
        for (const auto &[upstream, processes] : users)
            userCounts.add(processes);
        std::size_t total = 0;
        for (const auto &[key, zone] : model.upstreams)
            total += key.first == service ? 1 : 0;
        CHECK(users.size() == total);
        // At most one more or less in each zone.
        CHECK(subsetSizes.most - subsetSizes.least <= zones);
        CHECK(zoneSizes.most - zoneSizes.least <= 2);
        CHECK(userCounts.most - userCounts.least <= zones);
        CHECK(userCounts.least
              >= std::min<std::size_t>(count, FleetPartition::minProcesses - zones));
        if (model.cells() == 1)
            continue;
        CHECK(subsetSizes.least >= FleetPartition::minUpstreams);
        // Look-ups of a choice do not grow with the fleet: 10 upstreams for each of 63 processes.
        CHECK(subsetSizes.most <= 630 + zones);
    }
}

} // namespace

TEST_CASE("A small fleet is not split", "[UpstreamSubset]")
{
    CHECK(FleetPartition::cellCount(0) == 1);
    CHECK(FleetPartition::cellCount(1) == 1);
    CHECK(FleetPartition::cellCount(64) == 1);
    CHECK(FleetPartition::cellCount(65) == 2);
    CHECK(FleetPartition::cellCount(127) == 2);
    CHECK(FleetPartition::cellCount(128) == 4);
    CHECK(FleetPartition::cellCount(300) == 8);
    CHECK(FleetPartition::cellCount(1'000) == 16);

    SECTION("and every process uses every upstream")
    {
        const Model model(30, 1);
        const auto subset = model.subset();
        for (const auto &[key, zone] : model.upstreams)
            CHECK(subset.isUsedBy(0xffff'ffff, stableHash(key.second)));
    }
}

TEST_CASE("Each upstream has about the same number of processes", "[UpstreamSubset]")
{
    // An upstream with more processes than others would be overloaded while others idle.
    for (const std::size_t count : {30, 100, 300})
        checkEvenness(count);
}

TEST_CASE("Each upstream has about the same number of processes in a fleet of a thousand",
          "[.large]")
{
    checkEvenness(1'000);
}

TEST_CASE("The upstreams of a service that has few are used by many cells", "[UpstreamSubset]")
{
    // Otherwise a process could be left with one or two upstreams, or none.
    const Model model(300, 2);
    for (const auto &[name, upstreams] : model.used("rare"))
        CHECK(upstreams.size() == 20);
    const auto subset = model.subset();
    CHECK(subset.isServiceShared(0, 0xffff'ffff, stableHash("rare")));
    CHECK_FALSE(subset.isServiceShared(0, 0xffff'ffff, stableHash("large")));
    CHECK(subset.isUsedBy(0, stableHash("an upstream that is not listed")));
}

TEST_CASE("Few assignments change when members come and go", "[UpstreamSubset]")
{
    // Every change costs new connections, and calls placed before loads are known there.
    for (const std::size_t count : {100, 300}) {
        CAPTURE(count);
        Model model(count, 3);
        RandomEngine random(9);
        const auto before = model.used("large");
        const auto zoneSize = static_cast<double>(count) / zones;

        SECTION("A process joins " + std::to_string(count))
        {
            double changed = 0;
            for (unsigned i = 0; i < 8; ++i) {
                auto joined = model;
                joined.addProcess(random, i % zones);
                changed += changedShare(before, joined.used("large")) / 8;
            }
            // On average half of the boundaries in the zone move over one process.
            CHECK(changed <= model.cells() / zoneSize / zones);
        }
        SECTION("A process is removed " + std::to_string(count))
        {
            auto reduced = model;
            reduced.processes.erase(reduced.processes.begin());
            CHECK(changedShare(before, reduced.used("large")) <= model.cells() / zoneSize / zones);
        }
        SECTION("Upstreams come and go " + std::to_string(count))
        {
            auto changed = model;
            changed.addUpstream(random, "large", 1);
            changed.addUpstream(random, "small", 2);
            changed.upstreams.erase(changed.upstreams.begin());
            CHECK(changedShare(before, changed.used("large")) <= 0.02);
        }
    }
}

TEST_CASE("A fleet that grows splits its cells", "[UpstreamSubset]")
{
    // If all assignments changed at once, no process would know the loads of its new upstreams.
    Model model(255, 4);
    const auto before = model.used("large");
    REQUIRE(model.cells() == 4);
    RandomEngine random(5);
    model.addProcess(random, 3);
    REQUIRE(model.cells() == 8);
    double added = 0;
    double all = 0;
    for (const auto &[name, upstreams] : model.used("large")) {
        const auto known = before.find(name);
        if (known == before.end())
            continue;
        for (const auto &upstream : upstreams)
            added += known->second.contains(upstream) ? 0 : 1;
        all += static_cast<double>(upstreams.size());
    }
    CHECK(added / all <= 0.05);
}
