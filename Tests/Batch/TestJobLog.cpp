#include <Batch/Batch.h>

#include "../Store/FaultyStore.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace Radishplank;

namespace {

struct NoPause
{
    void operator()(Milliseconds) const {}
};

using Log = JobLog<FaultyStore, NoPause>;

SmallJob job(const std::string &owner = "entry1")
{
    SmallJob result;
    result.id = "job1";
    result.host = "example";
    result.path = "/jobs/job1";
    result.owner = NodeId(owner);
    result.submittedAt = 1'700'000'000'000;
    result.items.push_back({"item1", "/x", {{"Name", "value"}}, std::string("\0\xff body", 7)});
    result.items.push_back({"item2", "/y", {}, ""});
    return result;
}

ResultSegment segmentOf(const std::string &writer, const std::string &item)
{
    return {writer, {{item, ItemState::Completed, "output of " + item}}};
}

} // namespace

TEST_CASE("A small job survives serialization", "[SmallJob]")
{
    const auto parsed = parseSmallJob(serialize(job()));
    REQUIRE_FALSE(parsed.isError());
    CHECK(parsed.value().hasSameItems(job()));
    CHECK(parsed.value().owner == NodeId("entry1"));
    CHECK(parsed.value().submittedAt == job().submittedAt);
    CHECK(parseSmallJob("{}").isError());
    CHECK(parseSmallJob("[").isError());
}

TEST_CASE("Base64 round-trips, and malformed Base64 is rejected", "[Base64]")
{
    for (std::size_t length = 0; length < 20; ++length) {
        const std::string bytes(length, '\xf0');
        const auto decoded = decodeBase64(encodeBase64(bytes));
        REQUIRE_FALSE(decoded.isError());
        CHECK(decoded.value() == bytes);
    }
    CHECK(decodeBase64("abc").isError());
    CHECK(decodeBase64("ab!=").isError());
}

TEST_CASE("A job is stored only once", "[JobLog]")
{
    MemoryObjectStore memory;
    FaultyStore store(memory);
    Log log(store, NoPause(), Milliseconds(50));

    SECTION("under the owner of its first submission")
    {
        REQUIRE_FALSE(log.accept(job("entry1")).isError());
        const auto again = log.accept(job("entry2"));
        REQUIRE_FALSE(again.isError());
        CHECK(again.value().owner == NodeId("entry1"));
    }
    SECTION("and other items under the same id conflict")
    {
        REQUIRE_FALSE(log.accept(job()).isError());
        auto other = job();
        other.items[1].body = "changed";
        CHECK(log.accept(other).error().kind == ErrorKind::Conflict);
    }
    SECTION("also if the store's response is lost")
    {
        int calls = 0;
        store.nextFault = [&] {
            return calls++ == 0 ? FaultyStore::Fault::LostResponse : FaultyStore::Fault::None;
        };
        REQUIRE_FALSE(log.accept(job()).isError());
        CHECK(log.load("job1").value().job.hasSameItems(job()));
    }
    SECTION("During an outage the outcome is unknown")
    {
        store.nextFault = [] { return FaultyStore::Fault::Outage; };
        CHECK(log.accept(job()).error().kind == ErrorKind::Unavailable);
    }
    SECTION("A stored job is not reported as refused if the store refuses to read it")
    {
        const auto acceptWith = [&](std::vector<FaultyStore::Fault> faults) {
            store.nextFault = [&, faults = std::deque(faults.begin(), faults.end())]() mutable {
                if (faults.empty())
                    return FaultyStore::Fault::Refusal;
                const auto fault = faults.front();
                faults.pop_front();
                return fault;
            };
            return log.accept(job());
        };
        SECTION("after the response to its write was lost")
        {
            const auto accepted
                    = acceptWith({FaultyStore::Fault::LostResponse, FaultyStore::Fault::None});
            CHECK(accepted.error().kind == ErrorKind::Unavailable);
        }
        SECTION("after another process has stored it")
        {
            REQUIRE_FALSE(log.accept(job("entry2")).isError());
            const auto accepted = acceptWith({FaultyStore::Fault::None});
            CHECK(accepted.error().kind == ErrorKind::Unavailable);
        }
    }
}

TEST_CASE("Results keep their positions", "[JobLog]")
{
    MemoryObjectStore memory;
    FaultyStore store(memory);
    Log log(store, NoPause(), Milliseconds(50));
    REQUIRE_FALSE(log.accept(job()).isError());
    REQUIRE_FALSE(log.append("job1", 0, segmentOf("writer1", "item2")).isError());

    SECTION("even if two processes believe they own the job")
    {
        CHECK(log.append("job1", 0, segmentOf("writer2", "item1")).error().kind
              == ErrorKind::Conflict);
        const auto loaded = log.load("job1");
        REQUIRE(loaded.value().results.size() == 1);
        CHECK(loaded.value().results[0].item == "item2");
        CHECK(loaded.value().segments == 1);
    }
    SECTION("Retrying an append after a lost response is idempotent")
    {
        CHECK_FALSE(log.append("job1", 0, segmentOf("writer1", "item2")).isError());
        CHECK(log.load("job1").value().results.size() == 1);
    }
    SECTION("The next owner appends after them")
    {
        REQUIRE_FALSE(log.takeOver("job1", NodeId("entry1"), NodeId("entry2")).isError());
        const auto loaded = log.loadFenced("job1", "fence").takeValue();
        REQUIRE_FALSE(log.append("job1", loaded.segments, segmentOf("w", "item1")).isError());
        const auto results = log.load("job1").value().results;
        REQUIRE(results.size() == 2);
        CHECK(results[0].item == "item2");
        CHECK(results[1].item == "item1");
    }
    SECTION("A fenced earlier owner cannot append")
    {
        const auto loaded = log.loadFenced("job1", "fence");
        REQUIRE_FALSE(loaded.isError());
        CHECK(loaded.value().segments == 2);
        CHECK(log.append("job1", 1, segmentOf("writer1", "item1")).error().kind
              == ErrorKind::Conflict);
        REQUIRE_FALSE(log.append("job1", 2, segmentOf("w", "item1")).isError());
        CHECK(log.load("job1").value().results.size() == 2);
    }
    SECTION("Only one of two concurrent takeovers succeeds")
    {
        CHECK_FALSE(log.takeOver("job1", NodeId("entry1"), NodeId("entry2")).isError());
        CHECK(log.takeOver("job1", NodeId("entry1"), NodeId("entry3")).error().kind
              == ErrorKind::Conflict);
        CHECK(log.load("job1").value().job.owner == NodeId("entry2"));
    }
    SECTION("Ending a job is final and idempotent")
    {
        CHECK_FALSE(log.load("job1").value().isEnded);
        CHECK_FALSE(log.end("job1").isError());
        CHECK_FALSE(log.end("job1").isError());
        CHECK(log.load("job1").value().isEnded);
    }
    SECTION("Removing a job leaves no objects")
    {
        CHECK_FALSE(log.remove("job1", 1).isError());
        CHECK(log.load("job1").error().kind == ErrorKind::NotFound);
        CHECK(memory.list("", "", ListContent::KeysOnly).value().objects.empty());
    }
}

TEST_CASE("A refused retry does not resolve an unknown outcome", "[ConfirmedWrite]")
{
    // The first write takes effect but its response is lost; the store then refuses the retry
    // without effect. The refusal must not be reported as the outcome of the write.
    struct RefusingStore
    {
        MemoryObjectStore memory;
        int calls = 0;
        Result<StoredObject> get(std::string_view key) { return memory.get(key); }
        Result<Version> put(std::string_view key, std::string value, Version expected)
        {
            if (calls++ > 0)
                return Error{ErrorKind::Refused, "nothing was done"};
            (void)memory.put(key, std::move(value), expected);
            return Error{ErrorKind::Timeout, "no answer"};
        }
        Result<void> remove(std::string_view key, Version expected)
        {
            return memory.remove(key, expected);
        }
        Result<ObjectPage> list(std::string_view prefix, std::string_view after,
                                ListContent content)
        {
            return memory.list(prefix, after, content);
        }
        Result<WatchBatch> watch(std::string_view prefix, Version since, Milliseconds wait)
        {
            return memory.watch(prefix, since, wait);
        }
    };
    RefusingStore store;
    int attempts = 0;
    const auto written = putConfirmed(
            store, "key", "value", noVersion, [](Milliseconds) {}, [&] { return ++attempts < 3; });
    REQUIRE(written.isError());
    CHECK(written.error().kind == ErrorKind::Unavailable);
}
