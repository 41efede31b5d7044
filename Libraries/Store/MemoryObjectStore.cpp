#include <Store/MemoryObjectStore.h>

namespace Radishplank {

namespace {

constexpr std::size_t maxHistoryChanges = 20'000;
constexpr std::size_t maxPageBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t maxPageObjects = 1'000;

Error conflict(std::string_view key, Version current, Version expected)
{
    return {ErrorKind::Conflict, std::string(key) + " is at version " + std::to_string(current)
                                         + ", not " + std::to_string(expected)};
}

} // namespace

Result<StoredObject> MemoryObjectStore::get(std::string_view key)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return Error{ErrorKind::NotFound, std::string(key) + " does not exist"};
    return found->second;
}

Result<Version> MemoryObjectStore::put(std::string_view key, std::string value, Version expected)
{
    const std::scoped_lock lock(m_mutex);
    if (value.size() > maxObjectBytes)
        return Error{ErrorKind::TooLarge, std::string(key) + " is larger than 1 MB"};
    const auto found = m_objects.find(key);
    const Version current = found == m_objects.end() ? noVersion : found->second.version;
    if (current != expected)
        return conflict(key, current, expected);
    StoredObject object{std::string(key), std::move(value), ++m_revision};
    m_history.push_back({object, false});
    if (m_history.size() > maxHistoryChanges)
        m_history.pop_front();
    m_objects.insert_or_assign(object.key, std::move(object));
    return m_revision;
}

Result<void> MemoryObjectStore::remove(std::string_view key, Version expected)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return Error{ErrorKind::NotFound, std::string(key) + " does not exist"};
    if (found->second.version != expected)
        return conflict(key, found->second.version, expected);
    m_history.push_back({{found->first, "", ++m_revision}, true});
    m_objects.erase(found);
    return {};
}

Result<ObjectPage> MemoryObjectStore::list(std::string_view prefix, std::string_view after,
                                           ListContent content)
{
    const std::scoped_lock lock(m_mutex);
    ObjectPage page;
    page.revision = m_revision;
    std::size_t bytes = 0;
    auto position = after.empty() ? m_objects.lower_bound(prefix) : m_objects.upper_bound(after);
    for (; position != m_objects.end() && position->first.starts_with(prefix); ++position) {
        if (bytes > maxPageBytes || page.objects.size() == maxPageObjects) {
            page.isLast = false;
            break;
        }
        auto object = position->second;
        if (content == ListContent::KeysOnly)
            object.value.clear();
        bytes += object.key.size() + object.value.size();
        page.objects.push_back(std::move(object));
    }
    return page;
}

Result<WatchBatch> MemoryObjectStore::watch(std::string_view prefix, Version since, Milliseconds)
{
    const std::scoped_lock lock(m_mutex);
    const Version oldest = m_history.empty() ? m_revision + 1 : m_history.front().object.version;
    if (since + 1 < oldest && since < m_revision)
        return Error{ErrorKind::NotFound, "the history no longer reaches back to that revision"};
    WatchBatch batch;
    batch.revision = m_revision;
    for (const auto &change : m_history) {
        if (change.object.version > since && change.object.key.starts_with(prefix))
            batch.changes.push_back(change);
    }
    return batch;
}

Version MemoryObjectStore::revision()
{
    const std::scoped_lock lock(m_mutex);
    return m_revision;
}

} // namespace Radishplank
