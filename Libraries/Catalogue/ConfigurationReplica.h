#pragma once

#include <Catalogue/CatalogueSnapshot.h>

#include <map>
#include <mutex>

namespace Radishplank {

/// This process's copy of every object under the configuration prefix.
///
/// Versions only rise: an object is replaced by a higher version of itself and by nothing else,
/// whichever way and in whichever order copies arrive. A removed object is kept as a removal, so
/// that an old copy cannot bring it back. An object that is not valid is not adopted, and the
/// last valid version of it stays in force. Safe from any thread.
class ConfigurationReplica
{
public:
    ConfigurationReplica();

    /// Takes changes from the store's watch or from a peer; all up to the revision are included.
    /// Returns true if anything changed.
    bool apply(std::span<const ObjectChange> changes, Version revision);
    /// Takes a full listing: what it lacks was removed at or before the revision.
    bool applyListing(std::span<const StoredObject> objects, Version revision);

    /// What two replicas compare; both that hold the same objects have the same digest.
    struct Summary
    {
        /// Every change up to this revision is included, as far as it was told.
        Version revision = noVersion;
        std::uint64_t digest = 0;
    };
    [[nodiscard]] Summary summary() const;
    [[nodiscard]] Version revision() const { return summary().revision; }
    /// Returns what a peer lacks that is complete up to the given revision.
    [[nodiscard]] std::vector<ObjectChange> changesSince(Version revision) const;
    /// Calls the function with the snapshot in force; the function must not suspend.
    template<typename Function>
    auto read(Function &&function) const
    {
        return m_snapshot.read(std::forward<Function>(function));
    }
    [[nodiscard]] std::uint64_t refusedObjects() const { return m_refused.value(); }

private:
    bool adopt(const ObjectChange &change);
    void rebuild();

    mutable std::mutex m_mutex;
    std::map<std::string, ObjectChange> m_objects;
    Version m_revision = noVersion;
    std::uint64_t m_digest = 0;
    Counter m_refused;
    RcuPointer<CatalogueSnapshot> m_snapshot;
};

} // namespace Radishplank
