#include "Fleet/MemberRegistration.h"

#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr Milliseconds retryInterval{500};
constexpr int maxRemovalAttempts = 3;

} // namespace

MemberRegistration::MemberRegistration(HttpObjectStore &store, std::string key)
    : m_store(store)
    , m_key(std::move(key))
{
}

void MemberRegistration::write(const boost::json::object &value)
{
    const auto text = boost::json::serialize(value);
    while (true) {
        const auto current = m_store.get(m_key);
        const bool isAbsent = current.isError() && current.error().kind == ErrorKind::NotFound;
        if (!current.isError() && current.value().value == text)
            return;
        if (!current.isError() || isAbsent) {
            const auto expected = isAbsent ? noVersion : current.value().version;
            if (!m_store.put(m_key, text, expected).isError())
                return;
        }
        boost::this_fiber::sleep_for(retryInterval);
    }
}

void MemberRegistration::remove()
{
    for (int i = 0; i < maxRemovalAttempts; ++i) {
        const auto current = m_store.get(m_key);
        if (current.isError() && current.error().kind == ErrorKind::NotFound)
            return;
        if (!current.isError() && !m_store.remove(m_key, current.value().version).isError())
            return;
        boost::this_fiber::sleep_for(retryInterval);
    }
}

} // namespace Radishplank
