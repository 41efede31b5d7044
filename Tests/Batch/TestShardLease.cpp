#include "../Store/FaultyStore.h"

#include <Batch/Batch.h>

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

using namespace Radishplank;

namespace {

struct NoPause
{
    void operator()(Milliseconds) const {}
};

const JobKey job{OwnerId("lotka"), JobName("league")};
constexpr std::size_t itemCount = 8;
const auto once = [] { return false; };

using Lease = ShardLease<FaultyStore>;

Lease::OutcomeBatch groupOf(std::initializer_list<std::size_t> items, const std::string &holder)
{
    Lease::OutcomeBatch group;
    for (const auto item : items) {
        group.items.push_back(item);
        group.lines += std::to_string(item) + " " + holder + "\n";
    }
    return group;
}

Result<Lease> claim(FaultyStore &store, const std::string &holder)
{
    return Lease::claim(store, job, 0, itemCount, holder, NoPause{}, once);
}

/// Counts the outcomes of each item in all segments that the shard's progress references.
std::map<std::size_t, int> outcomes(MemoryObjectStore &store)
{
    std::map<std::size_t, int> counts;
    const auto object = store.get(job.shardKey(0));
    if (object.isError())
        return counts;
    const auto progress = parseProgress(object.value().value, itemCount).takeValue();
    for (const auto &segment : progress.segments) {
        std::istringstream lines(store.get(segment).takeValue().value);
        std::size_t item = 0;
        std::string holder;
        while (lines >> item >> holder)
            counts[item] += 1;
    }
    return counts;
}

} // namespace

TEST_CASE("Only the holder of a shard's lease adds outcomes")
{
    MemoryObjectStore memory;
    FaultyStore store(memory);
    auto first = claim(store, "entry1").takeValue();
    REQUIRE_FALSE(first.commit(groupOf({0, 1}, "entry1"), NoPause{}, once).isError());

    SECTION("After another process has claimed it, the previous holder's outcomes do not count")
    {
        auto second = claim(store, "entry2").takeValue();
        CHECK(second.progress().done.count() == 2);
        const auto late = first.commit(groupOf({2}, "entry1"), NoPause{}, once);
        REQUIRE(late.isError());
        CHECK(late.error().kind == ErrorKind::Conflict);
        CHECK(first.recover().error().kind == ErrorKind::Conflict);
        REQUIRE_FALSE(second.commit(groupOf({2}, "entry2"), NoPause{}, once).isError());
        CHECK(outcomes(memory) == std::map<std::size_t, int>{{0, 1}, {1, 1}, {2, 1}});
    }
    SECTION("Of two concurrent claims, only the later one holds the lease")
    {
        auto second = claim(store, "entry2");
        auto third = claim(store, "entry3");
        REQUIRE_FALSE(second.isError());
        REQUIRE_FALSE(third.isError());
        CHECK(second.value().commit({}, NoPause{}, once).isError());
        CHECK_FALSE(third.value().commit({}, NoPause{}, once).isError());
    }
    SECTION("A write whose response was lost is recovered and does not count twice")
    {
        int calls = 0;
        // The segment is written; then the progress is written, but its response is lost.
        store.nextFault = [&] {
            return ++calls == 2 ? FaultyStore::Fault::LostResponse : FaultyStore::Fault::None;
        };
        const auto group = groupOf({2}, "entry1");
        CHECK(first.commit(group, NoPause{}, once).isError());
        REQUIRE_FALSE(first.recover().isError());
        CHECK(first.progress().done.contains(2));
        CHECK(outcomes(memory)[2] == 1);
    }
    SECTION("A closed shard accepts no outcomes and cannot be claimed")
    {
        auto progress
                = parseProgress(memory.get(job.shardKey(0)).value().value, itemCount).takeValue();
        progress.isClosed = true;
        REQUIRE_FALSE(memory.put(job.shardKey(0), serialize(progress),
                                 memory.get(job.shardKey(0)).value().version)
                              .isError());
        CHECK(first.commit(groupOf({3}, "entry1"), NoPause{}, once).isError());
        CHECK(first.recover().isError());
        CHECK(claim(store, "entry2").isError());
    }
}

TEST_CASE("Each item counts once under concurrent claims, stalled holders and store faults")
{
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        RandomEngine random(seed);
        MemoryObjectStore memory;
        FaultyStore store(memory);
        store.nextFault = [&] {
            switch (randomBelow(random, 8)) {
            case 0:
                return FaultyStore::Fault::Outage;
            case 1:
                return FaultyStore::Fault::LostResponse;
            default:
                return FaultyStore::Fault::None;
            }
        };
        std::vector<std::optional<Lease>> holders(3);
        const auto work = [&](std::optional<Lease> &holder, const std::string &name) {
            if (!holder) {
                auto claimed = claim(store, name);
                if (!claimed.isError())
                    holder.emplace(claimed.takeValue());
                return;
            }
            std::vector<std::size_t> remaining;
            for (std::size_t item = 0; item < itemCount; ++item) {
                if (!holder->progress().done.contains(item))
                    remaining.push_back(item);
            }
            if (remaining.empty())
                return;
            const auto item = remaining[randomBelow(random, remaining.size())];
            if (!holder->commit(groupOf({item}, name), NoPause{}, once).isError())
                return;
            const auto recovered = holder->recover();
            if (recovered.isError() && recovered.error().kind == ErrorKind::Conflict)
                holder.reset();
        };
        std::map<std::size_t, int> previous;
        for (int step = 0; step < 80; ++step) {
            const auto index = randomBelow(random, holders.size());
            work(holders[index], "entry" + std::to_string(index));
            const auto current = outcomes(memory);
            for (const auto &[item, count] : current)
                REQUIRE(count == 1);
            for (const auto &[item, count] : previous)
                REQUIRE(current.contains(item));
            previous = current;
        }
    }
}
