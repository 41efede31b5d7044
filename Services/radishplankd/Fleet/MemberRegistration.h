#pragma once

#include <Catalogue/Catalogue.h>
#include <Store/Store.h>

namespace Radishplank {

/// Keeps one member's object in the store while the member lives.
class MemberRegistration
{
public:
    MemberRegistration(HttpObjectStore &store, std::string key);

    /// Writes the object, over whatever an earlier process of this name has left; goes on trying
    /// through an outage of the store, so it may suspend for long.
    void write(const boost::json::object &value);
    /// Removes the object; gives up after a few seconds.
    void remove();

private:
    HttpObjectStore &m_store;
    std::string m_key;
};

} // namespace Radishplank
