#pragma once

#include <Catalogue/Catalogue.h>
#include <Store/Store.h>

namespace Radishplank {

/// Registers a member in the store and removes its object on shutdown.
class MemberRegistration
{
public:
    MemberRegistration(HttpObjectStore &store, std::string key);

    /// Writes the object and overwrites what an earlier process of this name has left. Retries
    /// during an outage of the store, so the calling fiber may be suspended for a long time.
    void write(const boost::json::object &value);
    /// Removes the object; gives up after a few seconds.
    void remove();

private:
    HttpObjectStore &m_store;
    std::string m_key;
};

} // namespace Radishplank
