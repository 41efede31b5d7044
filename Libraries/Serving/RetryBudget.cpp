#include <Serving/RetryBudget.h>

#include <algorithm>

namespace Radishplank {

RetryBudget::RetryBudget(double share, double reserve)
    : m_share(share)
    , m_reserve(reserve)
    , m_available(reserve)
{
}

void RetryBudget::noteSuccess()
{
    const std::scoped_lock lock(m_mutex);
    m_available = std::min(m_reserve, m_available + m_share);
}

bool RetryBudget::takeRetry(SlotAvailability availability)
{
    if (availability == SlotAvailability::Free)
        return true;
    const std::scoped_lock lock(m_mutex);
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

double RetryBudget::available() const
{
    const std::scoped_lock lock(m_mutex);
    return m_available;
}

} // namespace Radishplank
