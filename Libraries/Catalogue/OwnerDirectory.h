#pragma once

#include <Catalogue/CatalogueObjects.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// The organisations of one version of the configuration, found by their credentials. Immutable.
class OwnerDirectory
{
public:
    OwnerDirectory() = default;
    explicit OwnerDirectory(std::vector<Owner> owners);

    /// Returns the owner of a token, given the token's SHA-256 digest in hexadecimal, or null.
    [[nodiscard]] std::shared_ptr<const Owner> findByDigest(std::string_view digest) const;
    /// Returns the owner with this id, or null.
    [[nodiscard]] std::shared_ptr<const Owner> find(const OwnerId &id) const;
    [[nodiscard]] const std::vector<std::shared_ptr<const Owner>> &all() const { return m_owners; }

private:
    struct Credential
    {
        std::string digest;
        std::shared_ptr<const Owner> owner;
    };

    std::vector<std::shared_ptr<const Owner>> m_owners;
    std::unordered_map<OwnerId, std::shared_ptr<const Owner>> m_ownersById;
    /// By hash of the digest.
    std::unordered_multimap<std::uint64_t, Credential> m_credentials;
};

} // namespace Radishplank
