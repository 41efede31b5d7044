#pragma once

#include <Core/Core.h>
#include <Net/HttpMessage.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// One request of a small job.
struct JobItem
{
    /// Unique within its job; also sent as the id of the item's attempts.
    std::string id;
    std::string path;
    HttpHeaders headers;
    /// Request body as sent to an upstream.
    std::string body;
    /// Prompt tokens plus the maximum number of output tokens.
    std::int64_t tokens = 0;
};

/// InvalidInput if an item cannot be sent as a request; the message begins with the name of the
/// field that is not valid.
[[nodiscard]] Result<void> checkItem(const JobItem &item);

/// A job that is stored with all its items in a single object.
struct SmallJob
{
    std::string id;
    /// Host and path of the submission; they select the route.
    std::string host;
    std::string path;
    /// The entry process that owns the job and runs its items.
    NodeId owner;
    /// Name of the organisation that submitted the job; empty if calls need no credentials.
    std::string organisation;
    /// Unix time in milliseconds.
    std::int64_t submittedAt = 0;
    std::vector<JobItem> items;

    /// Returns whether another submission is of the same organisation and has the same items.
    [[nodiscard]] bool hasSameItems(const SmallJob &other) const;
    [[nodiscard]] std::int64_t tokens() const;
};

enum class ItemState {
    Completed,  ///< Its output is complete.
    DeadLetter, ///< It was given up.
};

/// The result of an item; its position in the job's results never changes.
struct ItemResult
{
    std::string item;
    ItemState state = ItemState::Completed;
    std::string output;

    bool operator==(const ItemResult &) const = default;
};

/// Results that are persisted by one write.
struct ResultSegment
{
    /// Unique to the write, so that a writer can recognize its own write after an unknown outcome.
    std::string writer;
    std::vector<ItemResult> results;
};

[[nodiscard]] std::string serialize(const SmallJob &job);
[[nodiscard]] Result<SmallJob> parseSmallJob(std::string_view text);
[[nodiscard]] std::string serialize(const ResultSegment &segment);
[[nodiscard]] Result<ResultSegment> parseResultSegment(std::string_view text);

} // namespace Radishplank
