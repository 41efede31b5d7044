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

/// One attempt at an agent: what it is, whether it may run, and the lines of its answer.
///
/// The answer belongs to the attempt, not to a connection, so a reader may come back on a new
/// connection and read on where it stopped. Safe from any fiber.
class Attempt
{
public:
    explicit Attempt(AttemptRequest order);

    [[nodiscard]] const AttemptRequest &order() const { return m_order; }
    Ticket ticket = 0;

    /// Lets the attempt start.
    void grant();
    /// Waits until the attempt may start; returns why it must not, if so.
    StopReason waitForGrant();
    /// Asks the attempt to stop; the first reason stands. Returns true if it was running.
    bool requestStop(StopReason reason);
    [[nodiscard]] StopReason stopReason();

    void append(const AttemptMessage &line);
    void end(const EndMessage &line);
    [[nodiscard]] bool hasEnded();
    /// Waits until the attempt has ended, at most for the given time.
    void waitForEnd(Milliseconds wait);

    struct Lines
    {
        std::string text;
        std::size_t count = 0;
        bool isLast = false;
    };
    /// Waits for lines beyond the given number, at most for the given time.
    Lines waitForLines(std::size_t from, Milliseconds wait);

    void attachReader();
    void detachReader();
    /// Returns since when nobody has read the answer, or nothing while somebody does.
    [[nodiscard]] std::optional<TimePoint> unreadSince() const;

private:
    AttemptRequest m_order;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    bool m_isGranted = false;
    bool m_hasEnded = false;
    StopReason m_stopReason = StopReason::None;
    std::vector<std::string> m_lines;
    // Read while the agent's lock is held, so these must not need a lock that suspends.
    std::atomic<std::size_t> m_readers{0};
    std::atomic<TimePoint> m_unreadSince;
};

using AttemptPointer = std::shared_ptr<Attempt>;

} // namespace Radishplank
