#include <Batch/Batch.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

struct NoPause
{
    void operator()(Milliseconds) const {}
};

} // namespace

TEST_CASE("The sweep removes exactly the uploads that belong to no job")
{
    MemoryObjectStore store;
    const JobKey job{OwnerId("lotka"), JobName("league")};
    JobManifest manifest;
    manifest.digest = "digest";
    manifest.entry = EntryName("captions");
    manifest.upload = "upload-1";
    manifest.shardItems = {2, 2};
    JobStore<MemoryObjectStore, NoPause> jobs(store, NoPause{}, Duration::zero());
    UploadStore<MemoryObjectStore, NoPause> uploads(store, NoPause{}, Duration::zero());
    constexpr std::int64_t begunAt = 1'000;
    const auto upload = uploads.begin(job, manifest, begunAt);
    REQUIRE_FALSE(upload.isError());
    for (std::size_t shard = 0; shard < 2; ++shard)
        REQUIRE_FALSE(jobs.writePart(job, manifest, shard, "lines").isError());
    const auto partCount = [&] {
        return listAll(store, manifest.partPrefix(job), ListContent::KeysOnly)
                .value()
                .objects.size();
    };
    const auto recordCount = [&] {
        return listAll(store, uploadPrefix, ListContent::KeysOnly).value().objects.size();
    };

    SECTION("An upload that may still become a job is kept")
    {
        CHECK(uploads.sweep(begunAt).value() == 0);
        CHECK(partCount() == 2);
        CHECK(recordCount() == 1);
    }
    SECTION("An upload that is too old to become a job is discarded")
    {
        CHECK(uploads.sweep(begunAt + 1).value() == 1);
        CHECK(partCount() == 0);
        CHECK(recordCount() == 0);
    }
    SECTION("The parts of a job are kept even if the upload's record was not removed")
    {
        REQUIRE_FALSE(jobs.accept(job, manifest).isError());
        CHECK(uploads.sweep(begunAt + 1).value() == 0);
        CHECK(partCount() == 2);
        CHECK(recordCount() == 0);
    }
    SECTION("A second upload of an existing job is discarded, and the job's parts are kept")
    {
        REQUIRE_FALSE(jobs.accept(job, manifest).isError());
        auto second = manifest;
        second.upload = "upload-2";
        REQUIRE_FALSE(uploads.begin(job, second, begunAt).isError());
        REQUIRE_FALSE(jobs.writePart(job, second, 0, "lines").isError());
        CHECK(uploads.sweep(begunAt + 1).value() == 1);
        CHECK(partCount() == 2);
        CHECK(recordCount() == 0);
    }
}
