#pragma once

#include <Catalogue/CatalogueSnapshot.h>

#include <map>
#include <mutex>

namespace Radishplank {

/// In-process replica of every object under the configuration prefix. Thread-safe.
///
/// Versions are monotonic: only a higher version replaces an object, whatever the source and order
/// of the updates. A removed object is kept as a tombstone, so that a stale copy cannot bring it
/// back. An invalid object is rejected, and its last valid version stays in effect.
class ConfigurationReplica
{
public:
    ConfigurationReplica();

    /// Applies changes from the store's watch or from a peer, complete up to the revision. Returns
    /// whether any object changed.
    bool apply(std::span<const ObjectChange> changes, Version revision);
    /// Applies a full listing: objects missing from it were removed at or before the revision.
    bool applyListing(std::span<const StoredObject> objects, Version revision);

    /// Summary for comparing two replicas; replicas with equal objects have equal digests.
    struct Summary
    {
        /// Every change received up to this revision is included.
        Version revision = noVersion;
        std::uint64_t digest = 0;
    };
    [[nodiscard]] Summary summary() const;
    [[nodiscard]] Version revision() const { return summary().revision; }
    /// Returns the changes after a revision, for a peer that is complete up to it.
    [[nodiscard]] std::vector<ObjectChange> changesSince(Version revision) const;
    /// Calls the function with the current snapshot; the function must not suspend its fiber.
    template<typename Function>
    auto read(Function &&function) const
    {
        return m_snapshot.read(std::forward<Function>(function));
    }
    [[nodiscard]] std::uint64_t rejectedObjects() const { return m_rejected.value(); }

private:
    bool applyChange(const ObjectChange &change);
    void rebuild();

    mutable std::mutex m_mutex;
    std::map<std::string, ObjectChange> m_objects;
    Version m_revision = noVersion;
    std::uint64_t m_digest = 0;
    Counter m_rejected;
    RcuPointer<CatalogueSnapshot> m_snapshot;
};

} // namespace Radishplank
