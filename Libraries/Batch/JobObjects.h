#pragma once

#include <Batch/ItemSet.h>
#include <Core/Core.h>
#include <Store/Store.h>

#include <string>
#include <vector>

namespace Radishplank {

/// Names a job among all owners.
struct JobKey
{
    OwnerId owner;
    JobName name;

    auto operator<=>(const JobKey &) const = default;
    [[nodiscard]] std::string prefix() const;
    [[nodiscard]] std::string manifestKey() const { return prefix() + "manifest"; }
    [[nodiscard]] std::string shardPrefix() const { return prefix() + "shard/"; }
    [[nodiscard]] std::string shardKey(std::size_t shard) const;
    [[nodiscard]] std::string segmentKey(std::size_t shard, std::uint64_t fencing,
                                         std::size_t number) const;
    [[nodiscard]] std::string activeKey() const;
    /// Parses a key under the active prefix.
    static Result<JobKey> fromActiveKey(std::string_view key);
};

/// Every job that may still have work lies under this prefix, by a small object of its own.
inline constexpr std::string_view activeJobPrefix = "active/";

enum class JobState { Accepted, Cancelling, Cancelled, Completed };

/// The object that makes a job exist.
struct JobManifest
{
    std::string digest;
    EntryName entry;
    /// Milliseconds since the Unix epoch.
    std::int64_t dueAt = 0;
    std::int64_t acceptedAt = 0;
    /// Names the upload whose parts belong to the job.
    std::string upload;
    /// Number of items in each shard, which is also the number in each part.
    std::vector<std::size_t> shardItems;
    JobState state = JobState::Accepted;

    [[nodiscard]] std::size_t itemCount() const;
    [[nodiscard]] std::string partPrefix(const JobKey &job) const;
    [[nodiscard]] std::string partKey(const JobKey &job, std::size_t shard) const;
};

/// What has been done of a shard, and who may add to it.
struct ShardProgress
{
    /// Empty if nobody holds the shard.
    std::string holder;
    /// Rises with each claim; names of segments carry it.
    std::uint64_t fencing = 0;
    ItemSet done;
    /// Items that must run at most once and have been handed out.
    ItemSet started;
    std::vector<std::string> segments;
    std::size_t failed = 0;
    /// No outcome may be added any more, because the job is cancelled.
    bool isClosed = false;

    [[nodiscard]] bool isComplete() const { return done.count() == done.size(); }
};

[[nodiscard]] std::string_view jobStateName(JobState state);
[[nodiscard]] std::string serialize(const JobManifest &manifest);
Result<JobManifest> parseManifest(std::string_view text);
/// Each text is unique, so that a writer can tell its own write from any other.
[[nodiscard]] std::string serialize(const ShardProgress &progress);
Result<ShardProgress> parseProgress(std::string_view text, std::size_t items);

/// Returns nothing if the text can be the name of a job, else what is wrong with it.
Result<void> checkJobName(std::string_view name);

} // namespace Radishplank
