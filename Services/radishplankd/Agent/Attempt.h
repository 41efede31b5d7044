#pragma once

#include <Serving/Serving.h>

#include <atomic>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Radishplank {

enum class StopReason { None, Preempted, Cancelled, DeadlinePassed };

/// One attempt on an agent: its order, its scheduling state and the lines of its response.
///
/// The response lines belong to the attempt rather than to a connection, so a reader can reconnect
/// and resume at the line where it stopped. Safe to use from any fiber.
class Attempt
{
public:
    explicit Attempt(AttemptRequest order);

    [[nodiscard]] const AttemptRequest &order() const { return m_order; }
    Ticket ticket = 0;

    /// Allows the attempt to start.
    void grant();
    /// Waits until the attempt may start or must stop; returns the stop reason, or None if it may
    /// start.
    StopReason waitForGrant();
    /// Requests a stop; the first reason given is kept. Returns true if this is the first request
    /// and the attempt was running.
    bool requestStop(StopReason reason);
    [[nodiscard]] StopReason stopReason();

    void append(const AttemptMessage &line);
    void end(const EndMessage &line);
    [[nodiscard]] bool hasEnded();
    /// Waits until the attempt has ended or the timeout has passed.
    void waitForEnd(Milliseconds wait);

    struct Lines
    {
        std::string text;
        std::size_t count = 0;
        bool isLast = false;
    };
    /// Waits until there are lines from index `from` on, the attempt has ended or the timeout has
    /// passed; returns the lines from that index.
    Lines waitForLines(std::size_t from, Milliseconds wait);

    void attachReader();
    void detachReader();
    /// Returns the time since which no reader is attached, or nothing while one is.
    [[nodiscard]] std::optional<TimePoint> unreadSince() const;

private:
    AttemptRequest m_order;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    bool m_isGranted = false;
    bool m_hasEnded = false;
    StopReason m_stopReason = StopReason::None;
    std::vector<std::string> m_lines;
    // Atomic because the agent reads these while it holds its mutex, when a fiber must not suspend.
    std::atomic<std::size_t> m_readers{0};
    std::atomic<TimePoint> m_unreadSince;
};

using AttemptPointer = std::shared_ptr<Attempt>;

} // namespace Radishplank
