#pragma once

#include <Catalogue/Catalogue.h>
#include <Gateway/Route.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// The routes and organisations of one version of the configuration. Immutable.
class RouteTable
{
public:
    /// Without `owners`, calls need no credentials.
    RouteTable(std::uint64_t version, std::vector<Route> routes, CallerLimits limits,
               std::optional<OwnerDirectory> owners = {});

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const CallerLimits &limits() const { return m_limits; }
    [[nodiscard]] std::size_t size() const { return m_routes.size(); }
    [[nodiscard]] const std::optional<OwnerDirectory> &owners() const { return m_owners; }
    /// Returns the route of the host with the longest matching path prefix, or null. Ignores the
    /// port of the host and the query of the path.
    [[nodiscard]] std::shared_ptr<const Route> find(std::string_view host,
                                                    std::string_view path) const;
    /// Returns the route with this name, or null.
    [[nodiscard]] std::shared_ptr<const Route> findByName(std::string_view name) const;

private:
    std::uint64_t m_version;
    CallerLimits m_limits;
    std::optional<OwnerDirectory> m_owners;
    /// Keyed by the concatenation of host and path prefix.
    std::unordered_map<std::string, std::shared_ptr<const Route>> m_routes;
};

/// Holds the newest route table. Every request reads it; a single writer replaces it.
class RouteDirectory
{
public:
    /// Replaces the table. Returns false and ignores the new table if its version is not newer.
    bool publish(std::unique_ptr<const RouteTable> table);

    /// Returns whether a configuration has been loaded.
    [[nodiscard]] bool isConfigured() const { return version() != 0; }
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] CallerLimits limits() const;
    [[nodiscard]] std::shared_ptr<const Route> find(std::string_view host,
                                                    std::string_view path) const;
    [[nodiscard]] std::shared_ptr<const Route> findByName(std::string_view name) const;
    /// Returns whether calls need credentials, except on public routes.
    [[nodiscard]] bool hasOwners() const;
    /// Returns the owner of a token, given its SHA-256 digest in hexadecimal, or null.
    [[nodiscard]] std::shared_ptr<const Owner> ownerByDigest(std::string_view digest) const;
    /// Returns the owner with this id, or null.
    [[nodiscard]] std::shared_ptr<const Owner> owner(const OwnerId &id) const;
    /// Returns all owners; none if calls need no credentials.
    [[nodiscard]] std::vector<std::shared_ptr<const Owner>> owners() const;

private:
    RcuPointer<RouteTable> m_table{
            std::make_unique<const RouteTable>(0, std::vector<Route>{}, CallerLimits{})};
};

} // namespace Radishplank
