#include <Catalogue/OwnerDirectory.h>

#include <openssl/crypto.h>

namespace Radishplank {

OwnerDirectory::OwnerDirectory(std::vector<Owner> owners)
{
    for (auto &each : owners) {
        auto owner = std::make_shared<const Owner>(std::move(each));
        for (const auto &digest : owner->tokenDigests)
            m_credentials.emplace(stableHash(digest), Credential{digest, owner});
        m_ownersById[owner->id] = owner;
        m_owners.push_back(std::move(owner));
    }
}

std::shared_ptr<const Owner> OwnerDirectory::findByDigest(std::string_view digest) const
{
    const auto [begin, end] = m_credentials.equal_range(stableHash(digest));
    for (auto entry = begin; entry != end; ++entry) {
        const auto &known = entry->second.digest;
        // The time of the comparison must not depend on how much of the digest matches.
        if (known.size() == digest.size()
            && CRYPTO_memcmp(known.data(), digest.data(), known.size()) == 0)
            return entry->second.owner;
    }
    return {};
}

std::shared_ptr<const Owner> OwnerDirectory::find(const OwnerId &id) const
{
    const auto found = m_ownersById.find(id);
    return found == m_ownersById.end() ? nullptr : found->second;
}

} // namespace Radishplank
