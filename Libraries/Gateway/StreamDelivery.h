#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <string>
#include <string_view>

namespace Radishplank {

/// Limits on what callers that read slowly can hold.
struct StreamDeliveryLimits
{
    /// Bytes of one stream that its caller has not read.
    std::size_t bytes = std::size_t{256} * 1024;
    /// Bytes of all streams above which each is limited to `bytesWhenScarce`.
    std::size_t totalBytes = std::size_t{8} * 1024 * 1024;
    std::size_t bytesWhenScarce = std::size_t{8} * 1024;
    /// How long a stream above its limit may block the upstream.
    Milliseconds blockTime{1'000};
};

/// Writes a stream to its caller in a fiber of its own, so that an upstream neither waits for a
/// caller that reads slowly nor keeps a slot until that has read the end. Used by one fiber.
class StreamDelivery
{
public:
    explicit StreamDelivery(HttpExchange &exchange, const StreamDeliveryLimits &limits = {});
    /// Waits until the rest has been written, unless the caller does not read it.
    ~StreamDelivery();
    StreamDelivery(const StreamDelivery &) = delete;
    StreamDelivery &operator=(const StreamDelivery &) = delete;

    /// Adds bytes to the stream. Waits only above the limit; Timeout if the caller has not read
    /// enough meanwhile, otherwise the error of an earlier write.
    Result<void> write(std::string_view bytes);
    /// Writes the rest and the end of the stream, and waits until that is done.
    Result<void> finish();

    /// Returns the unread bytes of all streams of the process.
    [[nodiscard]] static std::size_t totalUnreadBytes();

private:
    void run();
    [[nodiscard]] std::size_t unreadBytes() const { return m_pending.size() + m_writing.size(); }
    [[nodiscard]] std::size_t limit() const;
    void count(std::size_t added, std::size_t removed) const;

    HttpExchange &m_exchange;
    const StreamDeliveryLimits m_limits;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    std::string m_pending;
    std::string m_writing;
    bool m_isEnding = false;
    bool m_isStopped = false;
    bool m_isUnread = false;
    Result<void> m_result;
    boost::fibers::fiber m_fiber;
};

} // namespace Radishplank
