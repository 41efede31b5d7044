#include <Net/MemoryBudget.h>

#include <Core/Log.h>

#include <algorithm>
#include <malloc.h>

namespace Radishplank {

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;
/// Growth that counts as progress. Smaller steps would let a client that sends a byte now and then
/// keep its memory.
constexpr std::size_t progressBytes = std::size_t{64} * 1024;
/// Holders of no more than this may use the reserved bytes; most ordinary requests do.
constexpr std::size_t smallHolderBytes = std::size_t{192} * 1024;
/// Holders of more than this are large; no ordinary request is (up to 780 KB).
constexpr std::size_t largeHolderBytes = megabyte;
/// Added to the time without progress, so that sizes count among holders that progress steadily.
constexpr Milliseconds baseStall{50};
/// Connections that have not sent any request are closed before those that have.
constexpr int unusedFactor = 4;

/// The process without load, with the resident part of its program file (15 to 21 MB).
constexpr std::size_t processBytes = 24 * megabyte;
/// Some bodies of the largest legal size (4 MiB) fit in any case.
constexpr std::size_t minBudgetBytes = 10 * megabyte;
/// One answer of the largest legal size (8 MB) fits in any case.
constexpr std::size_t minAnswerBytes = 8 * megabyte;
/// The largest is what the kernel gives a new connection at first. Without a limit it grows to
/// megabytes, which count as memory of the machine before this process has read them.
constexpr std::size_t minReceiveBufferBytes = std::size_t{16} * 1024;
constexpr std::size_t maxReceiveBufferBytes = std::size_t{64} * 1024;
/// Connections for whose unread bytes a quarter of the memory is left.
constexpr std::size_t fullReceiveBuffers = 340;
constexpr int mappedBlockBytes = 64 * 1024;

/// Returns by how much a holder is in the way: what it holds, times how long it has not progressed.
double burden(std::size_t bytes, Duration stalled)
{
    return static_cast<double>(bytes)
           * std::chrono::duration<double>(std::max<Duration>(stalled, Duration(0)) + baseStall)
                     .count();
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
}

} // namespace

MemoryLimits MemoryLimits::forMachine(std::uint64_t memoryMegabytes, std::uint64_t descriptors)
{
    constexpr std::size_t percent = 100;
    // The rest of the descriptors is for connections to upstreams, peers and the store.
    constexpr std::size_t idlePercent = 60;
    constexpr std::size_t acceptedPercent = 75;
    MemoryLimits limits;
    if (memoryMegabytes > 0) {
        const auto memory = static_cast<std::size_t>(memoryMegabytes) * megabyte;
        // The rest is for unread bytes in the kernel and for requests that are taken apart.
        const auto free = std::max(memory, processBytes) - processBytes;
        limits.bytes = std::max(minBudgetBytes, free / 5 * 2);
        limits.reservedBytes = limits.bytes / 8;
        limits.largeHolderLimit = limits.bytes / 2;
        limits.answerBytes = std::max(minAnswerBytes, limits.bytes / 2);
        const auto bufferBytes = std::clamp(memory / 4 / fullReceiveBuffers, minReceiveBufferBytes,
                                            maxReceiveBufferBytes);
        limits.receiveBufferBytes = static_cast<int>(bufferBytes);
        limits.connections = std::max<std::size_t>(memory / 4 / bufferBytes, 1);
        limits.maxConnections = limits.connections + limits.connections / 4;
    }
    if (descriptors > 0) {
        const auto count = static_cast<std::size_t>(descriptors);
        limits.connections = std::min(limits.connections, count * idlePercent / percent);
        limits.maxConnections = std::min(limits.maxConnections, count * acceptedPercent / percent);
    }
    return limits;
}

MemoryBudget &MemoryBudget::ofProcess()
{
    // Never destroyed: connections of detached threads use it until the process exits.
    static auto *budget = new MemoryBudget;
    return *budget;
}

void MemoryBudget::limitProcess(std::uint64_t memoryMegabytes, std::uint64_t descriptors)
{
    // Blocks of this size are returned to the system once they are freed. By default the allocator
    // raises the threshold with each freed block, and then keeps megabytes of freed bodies.
    if (memoryMegabytes > 0)
        (void)::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ofProcess().setLimits(MemoryLimits::forMachine(memoryMegabytes, descriptors));
}

void MemoryBudget::setLimits(const MemoryLimits &limits)
{
    const std::scoped_lock lock(m_mutex);
    m_limits = limits;
}

MemoryLimits MemoryBudget::limits() const
{
    const std::scoped_lock lock(m_mutex);
    return m_limits;
}

std::size_t MemoryBudget::heldBytes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_heldBytes;
}

std::size_t MemoryBudget::connections() const
{
    const std::scoped_lock lock(m_mutex);
    return m_connections;
}

bool MemoryBudget::isClosingConnections() const
{
    const std::scoped_lock lock(m_mutex);
    return m_evictedConnections > 0 && m_connections > m_limits.connections;
}

void MemoryBudget::renderPrometheus(std::string &text) const
{
    renderGauge(text, "radishplank_buffer_bytes_held", static_cast<double>(heldBytes()));
    renderGauge(text, "radishplank_connections_accepted", static_cast<double>(connections()));
    renderCounter(text, "radishplank_requests_refused_for_memory_total", requestsRefused);
    renderCounter(text, "radishplank_connections_closed_for_memory_total", connectionsClosed);
    renderCounter(text, "radishplank_connections_closed_for_descriptors_total",
                  idleConnectionsClosed);
    renderCounter(text, "radishplank_connections_refused_total", connectionsRefused);
}

void MemoryBudget::add(MemoryAccount &account)
{
    const std::scoped_lock lock(m_mutex);
    m_accounts.insert(&account);
}

void MemoryBudget::remove(MemoryAccount &account)
{
    const std::scoped_lock lock(m_mutex);
    setHeld(account, 0);
    if (account.m_isConnection) {
        m_connections -= 1;
        if (account.m_isEvicted)
            m_evictedConnections -= 1;
    }
    m_accounts.erase(&account);
}

void MemoryBudget::setHeld(MemoryAccount &account, std::size_t bytes)
{
    m_heldBytes = m_heldBytes - account.m_bytes + bytes;
    if (account.m_isEvicted)
        m_evictedBytes = m_evictedBytes - account.m_bytes + bytes;
    account.m_bytes = bytes;
}

bool MemoryBudget::hold(MemoryAccount &account, std::size_t bytes, bool mayFail, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto before = account.m_bytes;
    setHeld(account, bytes);
    if (bytes <= before)
        return true;
    if (bytes / progressBytes != before / progressBytes)
        account.m_progressedAt = now;
    if (account.m_isEvicted)
        return !mayFail;
    auto limit = m_limits.bytes;
    if (bytes > smallHolderBytes)
        limit -= m_limits.reservedBytes;
    if (bytes > largeHolderBytes)
        limit = std::min(limit, m_limits.largeHolderLimit);
    while (m_heldBytes - m_evictedBytes > limit) {
        auto *worst = worstHolder(now);
        if (worst == nullptr)
            return !mayFail;
        evict(*worst, true, now);
        if (worst == &account)
            return !mayFail;
    }
    return true;
}

bool MemoryBudget::connect(MemoryAccount &account, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_connections >= m_limits.maxConnections) {
        connectionsRefused.increase();
        logDecision("connection-limited", {{"action", "refused"},
                                           {"reason", "connections"},
                                           {"heldBytes", "0"},
                                           {"stalledMs", "0"},
                                           {"totalBytes", std::to_string(m_heldBytes)},
                                           {"connections", std::to_string(m_connections)}});
        return false;
    }
    account.m_isConnection = true;
    m_connections += 1;
    while (m_connections - m_evictedConnections > m_limits.connections) {
        auto *idle = longestIdle(now);
        if (idle == nullptr || idle == &account)
            break;
        evict(*idle, false, now);
    }
    return true;
}

bool MemoryBudget::enter(MemoryAccount &account, HolderStage stage, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (account.m_isEvicted)
        return false;
    account.m_isUsed = account.m_isUsed || stage == HolderStage::Running;
    account.m_stage = stage;
    account.m_progressedAt = now;
    return true;
}

MemoryAccount *MemoryBudget::worstHolder(TimePoint now) const
{
    MemoryAccount *worst = nullptr;
    double worstBurden = 0;
    for (auto *account : m_accounts) {
        if (account->m_isEvicted || account->m_stage == HolderStage::Running)
            continue;
        const auto each = burden(account->m_bytes, now - account->m_progressedAt);
        if (each <= worstBurden)
            continue;
        worst = account;
        worstBurden = each;
    }
    return worst;
}

MemoryAccount *MemoryBudget::longestIdle(TimePoint now) const
{
    MemoryAccount *longest = nullptr;
    Duration longestTime{-1};
    for (auto *account : m_accounts) {
        if (account->m_isEvicted || !account->m_isConnection
            || account->m_stage != HolderStage::Idle)
            continue;
        const auto time = (now - account->m_progressedAt) * (account->m_isUsed ? 1 : unusedFactor);
        if (time <= longestTime)
            continue;
        longest = account;
        longestTime = time;
    }
    return longest;
}

void MemoryBudget::evict(MemoryAccount &account, bool isForMemory, TimePoint now)
{
    const bool isRefusal = account.m_stage == HolderStage::Receiving;
    if (isRefusal)
        requestsRefused.increase();
    else if (isForMemory)
        connectionsClosed.increase();
    else
        idleConnectionsClosed.increase();
    logDecision("connection-limited",
                {{"action", isRefusal ? "request refused" : "closed"},
                 {"reason", isForMemory ? "memory" : "connections"},
                 {"heldBytes", std::to_string(account.m_bytes)},
                 {"stalledMs", millisecondsText(now - account.m_progressedAt)},
                 {"totalBytes", std::to_string(m_heldBytes)},
                 {"connections", std::to_string(m_connections)}});
    account.m_isEvicted = true;
    m_evictedBytes += account.m_bytes;
    if (account.m_isConnection)
        m_evictedConnections += 1;
    if (account.m_evict)
        account.m_evict();
}

MemoryAccount::MemoryAccount(MemoryBudget &budget, std::function<void()> evict)
    : m_budget(budget)
    , m_evict(std::move(evict))
{
    m_budget.add(*this);
}

MemoryAccount::~MemoryAccount()
{
    m_budget.remove(*this);
}

bool MemoryAccount::isEvicted() const
{
    const std::scoped_lock lock(m_budget.m_mutex);
    return m_isEvicted;
}

void MemoryAccount::keep()
{
    const std::scoped_lock lock(m_budget.m_mutex);
    if (!m_isEvicted)
        return;
    m_isEvicted = false;
    m_budget.m_evictedBytes -= m_bytes;
    if (m_isConnection)
        m_budget.m_evictedConnections -= 1;
}

} // namespace Radishplank
