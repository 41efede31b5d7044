#include <Gateway/RouteTable.h>

#include <boost/algorithm/string/case_conv.hpp>

namespace Radishplank {

namespace {

std::string hostKey(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    return boost::algorithm::to_lower_copy(std::string(host));
}

} // namespace

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes, CallerLimits limits,
                       std::optional<OwnerDirectory> owners)
    : m_version(version)
    , m_limits(limits)
    , m_owners(std::move(owners))
{
    for (auto &route : routes) {
        auto key = hostKey(route.host) + route.pathPrefix;
        m_routes[std::move(key)] = std::make_shared<const Route>(std::move(route));
    }
}

std::shared_ptr<const Route> RouteTable::find(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    const auto key = hostKey(host);
    // Prefixes end with a slash, so only positions of slashes need to be tried.
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found = m_routes.find(key + std::string(path.substr(0, end + 1)));
        if (found != m_routes.end())
            return found->second;
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return {};
}

std::shared_ptr<const Route> RouteTable::findByName(std::string_view name) const
{
    for (const auto &[key, route] : m_routes) {
        if (route->name == name)
            return route;
    }
    return {};
}

bool RouteDirectory::publish(std::unique_ptr<const RouteTable> table)
{
    if (table->version() <= version())
        return false;
    m_table.publish(std::move(table));
    return true;
}

std::uint64_t RouteDirectory::version() const
{
    return m_table.read([](const RouteTable &table) { return table.version(); });
}

CallerLimits RouteDirectory::limits() const
{
    return m_table.read([](const RouteTable &table) { return table.limits(); });
}

std::shared_ptr<const Route> RouteDirectory::find(std::string_view host,
                                                  std::string_view path) const
{
    return m_table.read([&](const RouteTable &table) { return table.find(host, path); });
}

bool RouteDirectory::hasOwners() const
{
    return m_table.read([](const RouteTable &table) { return table.owners().has_value(); });
}

std::shared_ptr<const Owner> RouteDirectory::ownerByDigest(std::string_view digest) const
{
    return m_table.read([&](const RouteTable &table) {
        return table.owners() ? table.owners()->findByDigest(digest) : nullptr;
    });
}

std::shared_ptr<const Owner> RouteDirectory::owner(const OwnerId &id) const
{
    return m_table.read([&](const RouteTable &table) {
        return table.owners() ? table.owners()->find(id) : nullptr;
    });
}

std::vector<std::shared_ptr<const Owner>> RouteDirectory::owners() const
{
    return m_table.read([](const RouteTable &table) {
        return table.owners() ? table.owners()->all() : std::vector<std::shared_ptr<const Owner>>{};
    });
}

std::shared_ptr<const Route> RouteDirectory::findByName(std::string_view name) const
{
    return m_table.read([&](const RouteTable &table) { return table.findByName(name); });
}

} // namespace Radishplank
