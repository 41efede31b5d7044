#include <Catalogue/CatalogueSnapshot.h>

#include <algorithm>

namespace Radishplank {

namespace {

std::string entryKey(const OwnerId &owner, const EntryName &name)
{
    return owner.text() + "/" + name.text();
}

} // namespace

std::unique_ptr<const CatalogueSnapshot>
CatalogueSnapshot::build(std::span<const StoredObject> objects, Version revision,
                         Findings &findings)
{
    auto snapshot = std::make_unique<CatalogueSnapshot>();
    snapshot->m_revision = revision;
    std::vector<Owner> owners;
    for (const auto &object : objects) {
        const auto fields = parseJsonObject(object.value);
        if (fields.isError()) {
            findings.add(object.key, fields.error().message);
            continue;
        }
        snapshot->add(object, fields.value(), owners, findings);
    }
    snapshot->m_owners = OwnerDirectory(std::move(owners));
    return snapshot;
}

std::shared_ptr<const Owner> CatalogueSnapshot::ownerByTokenDigest(std::string_view digest) const
{
    return m_owners.findByDigest(digest);
}

std::shared_ptr<const Owner> CatalogueSnapshot::owner(const OwnerId &id) const
{
    return m_owners.find(id);
}

std::shared_ptr<const Entry> CatalogueSnapshot::entry(const OwnerId &owner,
                                                      const EntryName &name) const
{
    const auto found = m_entries.find(entryKey(owner, name));
    return found == m_entries.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const Entry>> CatalogueSnapshot::entriesOf(const OwnerId &owner) const
{
    std::vector<std::shared_ptr<const Entry>> result;
    for (const auto &[key, entry] : m_entries) {
        if (entry->owner == owner)
            result.push_back(entry);
    }
    std::sort(result.begin(), result.end(),
              [](const auto &left, const auto &right) { return left->name < right->name; });
    return result;
}

std::size_t CatalogueSnapshot::nodeRank(const NodeId &node, std::string_view key) const
{
    const auto seed = stableHash(key);
    const auto nodeHash = stableHash(node.text(), seed);
    return static_cast<std::size_t>(
            std::count_if(m_nodeIds.begin(), m_nodeIds.end(), [&](const NodeId &each) {
                return stableHash(each.text(), seed) < nodeHash;
            }));
}

void CatalogueSnapshot::add(const StoredObject &object, const boost::json::object &fields,
                            std::vector<Owner> &owners, Findings &findings)
{
    const std::string_view key = object.key;
    Findings objectFindings;
    if (key.starts_with(ownerPrefix)) {
        auto owner = parseOwner(OwnerId(object.key.substr(ownerPrefix.size())), fields,
                                objectFindings);
        if (objectFindings.isEmpty())
            owners.push_back(std::move(owner));
    } else if (key.starts_with(entryPrefix)) {
        const auto names = object.key.substr(entryPrefix.size());
        const auto slash = names.find('/');
        const OwnerId owner(names.substr(0, slash));
        const EntryName name(slash == std::string::npos ? "" : names.substr(slash + 1));
        auto entry = parseEntry(owner, name, fields, objectFindings);
        if (objectFindings.isEmpty())
            m_entries[entryKey(owner, name)] = std::make_shared<const Entry>(std::move(entry));
    } else if (key.starts_with(agentPrefix)) {
        auto agent = parseAgent(UpstreamId(object.key.substr(agentPrefix.size())), fields,
                                objectFindings);
        if (objectFindings.isEmpty())
            m_agents.push_back(std::move(agent));
    } else if (key.starts_with(nodePrefix)) {
        auto node = parseNode(NodeId(object.key.substr(nodePrefix.size())), fields, objectFindings);
        if (objectFindings.isEmpty()) {
            m_nodeIds.push_back(node.id);
            m_nodes.push_back(std::move(node));
        }
    }
    for (const auto &finding : objectFindings.all())
        findings.add(finding.place, finding.message);
}

} // namespace Radishplank
