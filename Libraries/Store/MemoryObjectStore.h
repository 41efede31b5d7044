#pragma once

#include <Store/ObjectStore.h>

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace Radishplank {

/// In-memory object store, for tests and for the platform stand-in.
class MemoryObjectStore
{
public:
    Result<StoredObject> get(std::string_view key);
    Result<Version> put(std::string_view key, std::string value, Version expected);
    Result<void> remove(std::string_view key, Version expected);
    Result<ObjectPage> list(std::string_view prefix, std::string_view after, ListContent content);
    /// Returns the changes so far without blocking; waiting is up to the caller.
    Result<WatchBatch> watch(std::string_view prefix, Version since, Milliseconds wait);

    [[nodiscard]] Version revision();

private:
    std::mutex m_mutex;
    Version m_revision = noVersion;
    std::map<std::string, StoredObject, std::less<>> m_objects;
    std::deque<ObjectChange> m_history;
};

static_assert(ObjectStore<MemoryObjectStore>);

} // namespace Radishplank
