#pragma once

#include <Store/ObjectStore.h>

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace Radishplank {

/// An object store in the memory of one process, for tests and for the platform stand-in.
class MemoryObjectStore
{
public:
    Result<StoredObject> get(std::string_view key);
    Result<Version> put(std::string_view key, std::string value, Version expected);
    Result<void> remove(std::string_view key, Version expected);
    Result<ObjectPage> list(std::string_view prefix, std::string_view after, ListContent content);
    /// Returns at once with what has changed; the wait is left to the caller.
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
