#pragma once

#include <Core/Clock.h>
#include <Core/Result.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// The store's revision at which an object was last written; increases monotonically store-wide.
using Version = std::uint64_t;

/// Expected version of an object that must not exist yet.
inline constexpr Version noVersion = 0;

/// Largest value that the store accepts.
inline constexpr std::size_t maxObjectBytes = 1'000'000;

struct StoredObject
{
    std::string key;
    std::string value;
    Version version = noVersion;
};

enum class ListContent { KeysOnly, KeysAndValues };

struct ObjectPage
{
    std::vector<StoredObject> objects;
    /// Revision of the store at which the page was read.
    Version revision = noVersion;
    bool isLast = true;
};

struct ObjectChange
{
    StoredObject object;
    bool isRemoval = false;
};

struct WatchBatch
{
    std::vector<ObjectChange> changes;
    /// Every change under the prefix up to this revision has been delivered.
    Version revision = noVersion;
};

/// The platform's object store.
///
/// A call that fails with Conflict or NotFound had no effect. After Unavailable or Timeout the
/// outcome is unknown: a write may have taken effect, or may still do so.
template<typename Type>
concept ObjectStore = requires(Type &store, std::string_view text, std::string value,
                               Version version, ListContent content, Milliseconds wait)
{
    {
        store.get(text)
        } -> std::same_as<Result<StoredObject>>;
    {
        store.put(text, value, version)
        } -> std::same_as<Result<Version>>;
    {
        store.remove(text, version)
        } -> std::same_as<Result<void>>;
    {
        store.list(text, text, content)
        } -> std::same_as<Result<ObjectPage>>;
    {
        store.watch(text, version, wait)
        } -> std::same_as<Result<WatchBatch>>;
};

/// A store that also serves cheaper reads from a replica that may lag by seconds.
template<typename Type>
concept SupportsReplicaReads = requires(Type &store, std::string_view key)
{
    {
        store.getFromReplica(key)
        } -> std::same_as<Result<StoredObject>>;
};

} // namespace Radishplank
