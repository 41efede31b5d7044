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
    /// Unique within its job; also names the item's attempts.
    std::string id;
    std::string path;
    HttpHeaders headers;
    /// The bytes that are sent to an upstream.
    std::string body;
    /// Tokens of the prompt and of the longest output.
    std::int64_t tokens = 0;
};

/// A job that lies in one object of the store, items and all.
struct SmallJob
{
    std::string id;
    /// The host and path that it was submitted to; they lead to its route.
    std::string host;
    std::string path;
    /// The entry process that runs its items.
    NodeId owner;
    /// Unix time in milliseconds.
    std::int64_t submittedAt = 0;
    std::vector<JobItem> items;

    /// Tells whether another submission has the same items.
    [[nodiscard]] bool hasSameItems(const SmallJob &other) const;
    [[nodiscard]] std::int64_t tokens() const;
};

enum class ItemState {
    Completed,  ///< Its output is whole.
    DeadLetter, ///< It has been given up.
};

/// The result of an item; its place in the sequence of results never changes.
struct ItemResult
{
    std::string item;
    ItemState state = ItemState::Completed;
    std::string output;

    bool operator==(const ItemResult &) const = default;
};

/// Results that were made durable by one write.
struct ResultSegment
{
    /// Unique to the write, so that a write in doubt can be told from another's.
    std::string writer;
    std::vector<ItemResult> results;
};

[[nodiscard]] std::string serialize(const SmallJob &job);
[[nodiscard]] Result<SmallJob> parseSmallJob(std::string_view text);
[[nodiscard]] std::string serialize(const ResultSegment &segment);
[[nodiscard]] Result<ResultSegment> parseResultSegment(std::string_view text);

} // namespace Radishplank
