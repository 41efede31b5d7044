#pragma once

#include <Catalogue/CatalogueObjects.h>
#include <Catalogue/OwnerDirectory.h>
#include <Store/ObjectStore.h>

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// Immutable snapshot of the catalogue and the cluster members at one revision of the store.
class CatalogueSnapshot
{
public:
    /// Builds a snapshot; invalid objects are skipped and reported in the findings.
    static std::unique_ptr<const CatalogueSnapshot> build(std::span<const StoredObject> objects,
                                                          Version revision, Findings &findings);

    [[nodiscard]] Version revision() const { return m_revision; }
    /// Returns the owner whose token has this digest, or null.
    [[nodiscard]] std::shared_ptr<const Owner> ownerByTokenDigest(std::string_view digest) const;
    [[nodiscard]] std::shared_ptr<const Owner> owner(const OwnerId &id) const;
    /// Returns an entry of the owner, or null; shared, so that a request can outlive the snapshot.
    [[nodiscard]] std::shared_ptr<const Entry> entry(const OwnerId &owner,
                                                     const EntryName &name) const;
    [[nodiscard]] std::vector<std::shared_ptr<const Entry>> entriesOf(const OwnerId &owner) const;
    [[nodiscard]] const std::vector<std::shared_ptr<const Owner>> &owners() const
    {
        return m_owners.all();
    }
    [[nodiscard]] std::span<const AgentMember> agents() const { return m_agents; }
    [[nodiscard]] std::span<const NodeMember> nodes() const { return m_nodes; }
    [[nodiscard]] const std::vector<NodeId> &nodeIds() const { return m_nodeIds; }
    /// Returns the rank of an entry process for a key by rendezvous hashing; 0 is the first.
    [[nodiscard]] std::size_t nodeRank(const NodeId &node, std::string_view key) const;

private:
    void add(const StoredObject &object, const boost::json::object &fields,
             std::vector<Owner> &owners, Findings &findings);

    Version m_revision = noVersion;
    OwnerDirectory m_owners;
    std::unordered_map<std::string, std::shared_ptr<const Entry>> m_entries;
    std::vector<AgentMember> m_agents;
    std::vector<NodeMember> m_nodes;
    std::vector<NodeId> m_nodeIds;
};

} // namespace Radishplank
