#include <Gateway/StreamDelivery.h>

#include <atomic>
#include <boost/fiber/fixedsize_stack.hpp>
#include <utility>

namespace Radishplank {

namespace {

/// The fiber only copies bytes to the connection.
constexpr std::size_t stackBytes = 64 * 1024;

std::atomic<std::size_t> totalBytes{0};

} // namespace

StreamDelivery::StreamDelivery(HttpExchange &exchange, const StreamDeliveryLimits &limits)
    : m_exchange(exchange)
    , m_limits(limits)
    , m_fiber(boost::fibers::launch::post, std::allocator_arg,
              boost::fibers::fixedsize_stack(stackBytes), [this] { run(); })
{
}

StreamDelivery::~StreamDelivery()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopped = true;
    }
    m_changed.notify_all();
    if (m_fiber.joinable())
        m_fiber.join();
}

Result<void> StreamDelivery::write(std::string_view bytes)
{
    std::unique_lock lock(m_mutex);
    if (m_result.isError())
        return m_result;
    m_pending += bytes;
    count(bytes.size(), 0);
    m_changed.notify_all();
    const bool isRead = m_changed.wait_for(lock, m_limits.blockTime, [this] {
        return m_result.isError() || unreadBytes() <= limit();
    });
    if (!isRead) {
        m_isUnread = true;
        return Error{ErrorKind::Timeout, "the caller does not read its stream"};
    }
    return m_result;
}

Result<void> StreamDelivery::finish()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isEnding = true;
    }
    m_changed.notify_all();
    m_fiber.join();
    return m_result;
}

std::size_t StreamDelivery::totalUnreadBytes()
{
    return totalBytes;
}

void StreamDelivery::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_result.isError()) {
        m_changed.wait(lock, [this] { return m_isStopped || m_isEnding || !m_pending.empty(); });
        if (m_isUnread || (m_isStopped && m_pending.empty()))
            break;
        const bool isEnd = m_pending.empty();
        m_writing = std::exchange(m_pending, {});
        lock.unlock();
        auto written = isEnd ? m_exchange.endStream() : m_exchange.writeStream(m_writing);
        lock.lock();
        m_result = std::move(written);
        count(0, m_writing.size());
        m_writing.clear();
        m_changed.notify_all();
        if (isEnd)
            break;
    }
    count(0, m_pending.size());
    m_pending.clear();
}

std::size_t StreamDelivery::limit() const
{
    return totalBytes > m_limits.totalBytes ? m_limits.bytesWhenScarce : m_limits.bytes;
}

void StreamDelivery::count(std::size_t added, std::size_t removed) const
{
    totalBytes += added;
    totalBytes -= removed;
}

} // namespace Radishplank
