#include "Agent/Attempt.h"

namespace Radishplank {

Attempt::Attempt(AttemptRequest order)
    : m_order(std::move(order))
    , m_unreadSince(SteadyClock().now())
{
}

void Attempt::grant()
{
    const std::scoped_lock lock(m_mutex);
    m_isGranted = true;
    m_changed.notify_all();
}

StopReason Attempt::waitForGrant()
{
    std::unique_lock lock(m_mutex);
    const bool isReady = m_changed.wait_until(lock, m_order.deadline, [this] {
        return m_isGranted || m_stopReason != StopReason::None;
    });
    if (!isReady && m_stopReason == StopReason::None)
        m_stopReason = StopReason::DeadlinePassed;
    return m_stopReason;
}

bool Attempt::requestStop(StopReason reason)
{
    const std::scoped_lock lock(m_mutex);
    if (m_hasEnded || m_stopReason != StopReason::None)
        return false;
    m_stopReason = reason;
    m_changed.notify_all();
    return m_isGranted;
}

StopReason Attempt::stopReason()
{
    const std::scoped_lock lock(m_mutex);
    return m_stopReason;
}

void Attempt::append(const AttemptMessage &line)
{
    auto text = serializeAttemptMessage(line);
    const std::scoped_lock lock(m_mutex);
    m_lines.push_back(std::move(text));
    m_changed.notify_all();
}

void Attempt::end(const EndMessage &line)
{
    auto text = serializeAttemptMessage(line);
    const std::scoped_lock lock(m_mutex);
    m_lines.push_back(std::move(text));
    m_hasEnded = true;
    m_changed.notify_all();
}

bool Attempt::hasEnded()
{
    const std::scoped_lock lock(m_mutex);
    return m_hasEnded;
}

void Attempt::waitForEnd(Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [this] { return m_hasEnded; });
}

Attempt::Lines Attempt::waitForLines(std::size_t from, Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_lines.size() > from || m_hasEnded; });
    Lines lines;
    for (std::size_t i = from; i < m_lines.size(); ++i) {
        lines.text += m_lines[i];
        lines.count += 1;
    }
    lines.isLast = m_hasEnded;
    return lines;
}

void Attempt::attachReader()
{
    m_readers += 1;
}

void Attempt::detachReader()
{
    m_unreadSince = SteadyClock().now();
    m_readers -= 1;
}

std::optional<TimePoint> Attempt::unreadSince() const
{
    if (m_readers > 0)
        return {};
    return m_unreadSince;
}

} // namespace Radishplank
