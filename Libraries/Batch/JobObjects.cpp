#include <Batch/JobObjects.h>

#include <array>
#include <numeric>
#include <utility>

namespace Radishplank {

namespace {

constexpr std::string_view jobPrefix = "batch/";
constexpr std::size_t maxNameLength = 100;
constexpr std::array<std::pair<JobState, std::string_view>, 4> stateNames{{
        {JobState::Accepted, "accepted"},
        {JobState::Cancelling, "cancelling"},
        {JobState::Cancelled, "cancelled"},
        {JobState::Completed, "completed"},
}};

std::string paddedNumber(std::size_t number)
{
    // Keys sort as text, so numbers are zero-padded; a job has far fewer than a million shards.
    constexpr std::size_t width = 6;
    const auto text = std::to_string(number);
    return std::string(width - std::min(width, text.size()), '0') + text;
}

} // namespace

std::string JobKey::prefix() const
{
    return std::string(jobPrefix) + owner.text() + "/" + name.text() + "/";
}

std::string JobKey::shardKey(std::size_t shard) const
{
    return shardPrefix() + paddedNumber(shard);
}

std::string JobKey::segmentKey(std::size_t shard, std::uint64_t fencing, std::size_t number) const
{
    return prefix() + "segment/" + paddedNumber(shard) + "/" + std::to_string(fencing) + "-"
           + std::to_string(number);
}

std::string JobKey::activeKey() const
{
    return std::string(activeJobPrefix) + owner.text() + "/" + name.text();
}

Result<JobKey> JobKey::fromActiveKey(std::string_view key)
{
    const auto rest = key.substr(std::min(key.size(), activeJobPrefix.size()));
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos)
        return Error{ErrorKind::InvalidInput, "not the key of an active job"};
    return JobKey{OwnerId(std::string(rest.substr(0, slash))),
                  JobName(std::string(rest.substr(slash + 1)))};
}

std::size_t JobManifest::itemCount() const
{
    return std::accumulate(shardItems.begin(), shardItems.end(), std::size_t{0});
}

std::string JobManifest::partPrefix(const JobKey &job) const
{
    return job.prefix() + "part/" + upload + "/";
}

std::string JobManifest::partKey(const JobKey &job, std::size_t shard) const
{
    return partPrefix(job) + paddedNumber(shard);
}

std::string_view jobStateName(JobState state)
{
    for (const auto &[each, name] : stateNames) {
        if (each == state)
            return name;
    }
    return "";
}

std::string serialize(const JobManifest &manifest)
{
    boost::json::array shardItems;
    for (const auto items : manifest.shardItems)
        shardItems.emplace_back(items);
    return boost::json::serialize(boost::json::object{{"digest", manifest.digest},
                                                      {"entry", manifest.entry.text()},
                                                      {"dueAt", manifest.dueAt},
                                                      {"acceptedAt", manifest.acceptedAt},
                                                      {"upload", manifest.upload},
                                                      {"shardItems", std::move(shardItems)},
                                                      {"state", jobStateName(manifest.state)},
                                                      {"writer", makeUniqueId("writer")}});
}

Result<JobManifest> parseManifest(std::string_view text)
{
    const auto object = TRY(parseJsonObject(text));
    Findings findings;
    JsonReader reader(object, "manifest", findings);
    JobManifest manifest;
    manifest.digest = reader.requiredText("digest");
    manifest.entry = EntryName(reader.requiredText("entry"));
    manifest.dueAt = integerField(object, "dueAt", 0);
    manifest.acceptedAt = integerField(object, "acceptedAt", 0);
    manifest.upload = reader.requiredText("upload");
    const auto state = reader.requiredText("state");
    for (const auto &[each, name] : stateNames) {
        if (name == state)
            manifest.state = each;
    }
    const auto *shardItems = object.if_contains("shardItems");
    if (shardItems == nullptr || !shardItems->is_array())
        findings.add("manifest.shardItems", "is required");
    else
        for (const auto &items : shardItems->as_array())
            manifest.shardItems.push_back(
                    items.is_int64() ? static_cast<std::size_t>(items.as_int64()) : 0);
    if (!findings.isEmpty())
        return findings.toError();
    return manifest;
}

std::string serialize(const ShardProgress &progress)
{
    boost::json::array segments;
    for (const auto &segment : progress.segments)
        segments.emplace_back(segment);
    return boost::json::serialize(boost::json::object{{"holder", progress.holder},
                                                      {"fencing", progress.fencing},
                                                      {"done", progress.done.text()},
                                                      {"started", progress.started.text()},
                                                      {"segments", std::move(segments)},
                                                      {"failed", progress.failed},
                                                      {"closed", progress.isClosed},
                                                      {"writer", makeUniqueId("writer")}});
}

Result<ShardProgress> parseProgress(std::string_view text, std::size_t items)
{
    const auto object = TRY(parseJsonObject(text));
    Findings findings;
    JsonReader reader(object, "shard", findings);
    ShardProgress progress;
    progress.holder = reader.text("holder", "");
    progress.fencing = static_cast<std::uint64_t>(integerField(object, "fencing", 0));
    progress.segments = reader.texts("segments");
    progress.failed = static_cast<std::size_t>(integerField(object, "failed", 0));
    progress.isClosed = reader.boolean("closed", false);
    const auto done = reader.text("done", "");
    const auto started = reader.text("started", "");
    if (!findings.isEmpty())
        return findings.toError();
    progress.done = TRY(ItemSet::parse(done, items));
    progress.started = TRY(ItemSet::parse(started, items));
    return progress;
}

Result<void> checkJobName(std::string_view name)
{
    constexpr std::string_view allowed
            = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    if (name.empty() || name.size() > maxNameLength)
        return Error{ErrorKind::InvalidInput, "a job's name has 1 to 100 characters"};
    if (name.find_first_not_of(allowed) != std::string_view::npos)
        return Error{ErrorKind::InvalidInput,
                     "a job's name has letters, digits, '.', '_' and '-' only"};
    return {};
}

} // namespace Radishplank
