#pragma once

#include <Core/Clock.h>
#include <Core/Metrics.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <mutex>
#include <string>
#include <unordered_set>

namespace Radishplank {

class MemoryAccount;

/// What a holder of memory is doing, which decides whether it can be made to give memory back.
enum class HolderStage {
    Running,   ///< Its request has been handed on. Never evicted.
    Receiving, ///< Reads a request body; it can still be refused without having run.
    Idle,      ///< Waits for a request or its head.
    Sending,   ///< Waits until the client takes a response.
};

/// Limits on what all connections and calls of a process hold together.
struct MemoryLimits
{
    std::size_t bytes = std::numeric_limits<std::size_t>::max();
    /// Part of the bytes that is left to holders of little, such as ordinary requests.
    std::size_t reservedBytes = 0;
    /// Accepted connections above which idle ones are closed.
    std::size_t connections = std::numeric_limits<std::size_t>::max();
    /// Accepted connections above which new ones are closed.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    /// Receive buffer of an accepted connection in the kernel; 0 for the kernel's default.
    int receiveBufferBytes = 0;
    /// Part of the bytes that may be in use while a holder of more than 1 MiB grows. The rest is
    /// for ordinary requests, and for the copies of large ones on their way to an upstream.
    std::size_t largeHolderLimit = std::numeric_limits<std::size_t>::max();
    /// Limit on the answers that calls hold together.
    std::size_t answerBytes = std::numeric_limits<std::size_t>::max();

    /// Returns the limits for a machine with this memory in MB and this number of descriptors; 0
    /// if unknown.
    static MemoryLimits forMachine(std::uint64_t memoryMegabytes, std::uint64_t descriptors);
};

/// A budget of bytes and connections that many holders share. When it runs short, the holder that
/// holds most and progresses least has to give way. Thread-safe.
///
/// The budget of the process counts the connections of all servers and the bodies of all calls;
/// each server has another one for the bodies of its requests.
class MemoryBudget
{
public:
    explicit MemoryBudget(const MemoryLimits &limits = {})
        : m_limits(limits)
    {
    }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Returns the budget of this process; without limits until they are set.
    static MemoryBudget &ofProcess();

    /// Limits the budget of this process to a machine as in MemoryLimits::forMachine(). Called
    /// before servers listen.
    static void limitProcess(std::uint64_t memoryMegabytes, std::uint64_t descriptors);

    void setLimits(const MemoryLimits &limits);
    [[nodiscard]] MemoryLimits limits() const;
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::size_t connections() const;
    /// Returns whether there are more connections than wanted and some of them are about to close.
    [[nodiscard]] bool isClosingConnections() const;

    /// Requests refused with status 503, as they had not run.
    Counter requestsRefused;
    /// Idle connections and connections with an unread response that were closed for their memory.
    Counter connectionsClosed;
    /// Idle connections that were closed for their descriptors.
    Counter idleConnectionsClosed;
    /// New connections that were closed at once.
    Counter connectionsRefused;

    /// Appends the budget's metrics in the Prometheus text format.
    void renderPrometheus(std::string &text) const;

private:
    friend class MemoryAccount;

    void add(MemoryAccount &account);
    void remove(MemoryAccount &account);
    bool hold(MemoryAccount &account, std::size_t bytes, bool mayFail, TimePoint now);
    bool connect(MemoryAccount &account, TimePoint now);
    bool enter(MemoryAccount &account, HolderStage stage, TimePoint now);
    /// Returns the account to evict next; null if none can be evicted.
    MemoryAccount *worstHolder(TimePoint now) const;
    MemoryAccount *longestIdle(TimePoint now) const;
    void evict(MemoryAccount &account, bool isForMemory, TimePoint now);
    void setHeld(MemoryAccount &account, std::size_t bytes);

    mutable std::mutex m_mutex;
    MemoryLimits m_limits;
    std::unordered_set<MemoryAccount *> m_accounts;
    std::size_t m_heldBytes = 0;
    /// Bytes and connections of evicted accounts, which are about to be released.
    std::size_t m_evictedBytes = 0;
    std::size_t m_connections = 0;
    std::size_t m_evictedConnections = 0;
};

/// What one connection or call holds of a budget. Used by one thread; evicted by any.
class MemoryAccount
{
public:
    /// `evict` is called at most once in each eviction, on any thread, under the budget's lock: it
    /// may only arrange for the holder to give way.
    explicit MemoryAccount(MemoryBudget &budget, std::function<void()> evict = {});
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /// Counts this account as an accepted connection. Returns false if there are too many.
    [[nodiscard]] bool tryConnect(TimePoint now) { return m_budget.connect(*this, now); }
    /// Sets how many bytes are held, and evicts others if that is too much. Returns false if this
    /// account has to give way itself; it must then release what it holds.
    [[nodiscard]] bool tryHold(std::size_t bytes, TimePoint now)
    {
        return m_budget.hold(*this, bytes, true, now);
    }
    /// As above for bytes that cannot be given up.
    void hold(std::size_t bytes, TimePoint now) { m_budget.hold(*this, bytes, false, now); }
    /// Returns false if the account has been evicted, which stays so.
    [[nodiscard]] bool tryEnter(HolderStage stage, TimePoint now)
    {
        return m_budget.enter(*this, stage, now);
    }
    [[nodiscard]] bool isEvicted() const;
    /// Withdraws the eviction of an idle connection whose next request has arrived.
    void keep();

private:
    friend class MemoryBudget;

    MemoryBudget &m_budget;
    std::function<void()> m_evict;
    // The members below are guarded by the budget's lock.
    HolderStage m_stage = HolderStage::Running;
    std::size_t m_bytes = 0;
    /// When the stage began, or the held bytes last grew by a step.
    TimePoint m_progressedAt{};
    bool m_isConnection = false;
    bool m_isUsed = false;
    bool m_isEvicted = false;
};

} // namespace Radishplank
