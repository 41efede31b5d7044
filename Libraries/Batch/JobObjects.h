#pragma once

#include <Batch/ItemSet.h>
#include <Core/Core.h>
#include <Store/Store.h>

#include <string>
#include <vector>

namespace Radishplank {

/// Identifies a job across all owners.
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
    /// Parses a key under activeJobPrefix.
    static Result<JobKey> fromActiveKey(std::string_view key);
};

/// Key prefix of the index of jobs that may still have work; each has a small object of its own.
inline constexpr std::string_view activeJobPrefix = "active/";

enum class JobState { Accepted, Cancelling, Cancelled, Completed };

/// The root object of a job; the job exists once its manifest is stored.
struct JobManifest
{
    std::string digest;
    EntryName entry;
    /// Milliseconds since the Unix epoch.
    std::int64_t dueAt = 0;
    std::int64_t acceptedAt = 0;
    /// Id of the upload whose parts hold the items of the job.
    std::string upload;
    /// Number of items in each shard; shard and part of the same number hold the same items.
    std::vector<std::size_t> shardItems;
    JobState state = JobState::Accepted;

    [[nodiscard]] std::size_t itemCount() const;
    [[nodiscard]] std::string partPrefix(const JobKey &job) const;
    [[nodiscard]] std::string partKey(const JobKey &job, std::size_t shard) const;
};

/// Progress of a shard, and the holder of its lease.
struct ShardProgress
{
    /// Empty if no process holds the shard.
    std::string holder;
    /// Fencing token: rises with each claim and is part of segment keys.
    std::uint64_t fencing = 0;
    ItemSet done;
    /// Non-idempotent items that may have been sent to an upstream, so they must not run again.
    ItemSet started;
    std::vector<std::string> segments;
    std::size_t failed = 0;
    /// Set when the job is cancelled; no outcome may be added afterwards.
    bool isClosed = false;

    [[nodiscard]] bool isComplete() const { return done.count() == done.size(); }
};

[[nodiscard]] std::string_view jobStateName(JobState state);
[[nodiscard]] std::string serialize(const JobManifest &manifest);
Result<JobManifest> parseManifest(std::string_view text);
/// Adds a unique writer token, so that a writer can tell its own write from any other.
[[nodiscard]] std::string serialize(const ShardProgress &progress);
Result<ShardProgress> parseProgress(std::string_view text, std::size_t items);

/// Validates the name of a job.
Result<void> checkJobName(std::string_view name);

} // namespace Radishplank
