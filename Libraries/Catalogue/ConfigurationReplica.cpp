#include <Catalogue/ConfigurationReplica.h>

#include <algorithm>
#include <unordered_set>

namespace Radishplank {

namespace {

bool isValid(const StoredObject &object)
{
    const std::vector<StoredObject> singleObject{object};
    Findings findings;
    (void)CatalogueSnapshot::build(singleObject, object.version, findings);
    return findings.isEmpty();
}

} // namespace

ConfigurationReplica::ConfigurationReplica()
    : m_snapshot(std::make_unique<const CatalogueSnapshot>())
{
}

bool ConfigurationReplica::apply(std::span<const ObjectChange> changes, Version revision)
{
    const std::scoped_lock lock(m_mutex);
    bool hasChanged = false;
    for (const auto &change : changes)
        hasChanged = applyChange(change) || hasChanged;
    const bool hasAdvanced = revision > m_revision;
    m_revision = std::max(m_revision, revision);
    if (hasChanged || (hasAdvanced && !changes.empty()))
        rebuild();
    return hasChanged;
}

bool ConfigurationReplica::applyListing(std::span<const StoredObject> objects, Version revision)
{
    std::vector<ObjectChange> changes;
    std::unordered_set<std::string_view> listedKeys;
    for (const auto &object : objects) {
        changes.push_back({object, false});
        listedKeys.insert(object.key);
    }
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[key, known] : m_objects) {
            if (!listedKeys.contains(key) && !known.isRemoval && known.object.version <= revision)
                changes.push_back({{key, "", revision}, true});
        }
    }
    return apply(changes, revision);
}

ConfigurationReplica::Summary ConfigurationReplica::summary() const
{
    const std::scoped_lock lock(m_mutex);
    return {m_revision, m_digest};
}

std::vector<ObjectChange> ConfigurationReplica::changesSince(Version revision) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<ObjectChange> changes;
    for (const auto &[key, change] : m_objects) {
        if (change.object.version > revision)
            changes.push_back(change);
    }
    return changes;
}

bool ConfigurationReplica::applyChange(const ObjectChange &change)
{
    const auto found = m_objects.find(change.object.key);
    if (found != m_objects.end() && found->second.object.version >= change.object.version)
        return false;
    if (!change.isRemoval && !isValid(change.object)) {
        m_rejected.increase();
        logStateChange(
                "configuration-object-refused",
                {{"key", change.object.key}, {"version", std::to_string(change.object.version)}});
        return false;
    }
    m_objects.insert_or_assign(change.object.key, change);
    return true;
}

void ConfigurationReplica::rebuild()
{
    std::vector<StoredObject> objects;
    m_digest = 0;
    for (const auto &[key, change] : m_objects) {
        if (change.isRemoval)
            continue;
        objects.push_back(change.object);
        m_digest ^= stableHash(key, change.object.version);
    }
    Findings findings;
    m_snapshot.publish(CatalogueSnapshot::build(objects, m_revision, findings));
}

} // namespace Radishplank
