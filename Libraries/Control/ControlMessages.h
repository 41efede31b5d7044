#pragma once

#include <Core/Core.h>
#include <Store/ObjectStore.h>

#include <string>
#include <vector>

namespace Radishplank {

/// The load of an agent; counts are streams.
struct LoadReport
{
    /// Random number that identifies one run of the agent.
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t onlineRunning = 0;
    std::uint32_t onlineQueued = 0;
    std::uint32_t batchRunning = 0;
    std::uint32_t batchQueued = 0;
    bool isAccepting = false;
};

/// How far an attempt had progressed when it was cancelled.
enum class AttemptFate {
    NeverBegan, ///< It was not sent to any upstream, and its agent will never send it to one.
    Began,      ///< An upstream has, or may have, processed it.
    Unknown,    ///< The agent has no record of it, because it has restarted since.
};

/// A crash of an upstream for which one request is the only possible cause.
struct CrashNotice
{
    std::string fingerprint;
    AttemptId attempt;
    Milliseconds age{0};
};

struct ExchangeRequest
{
    NodeId node;
    Version revision = noVersion;
    std::vector<CrashNotice> crashes;
};

struct ExchangeResponse
{
    Version revision = noVersion;
    std::vector<ObjectChange> changes;
    std::vector<CrashNotice> crashes;
    /// Digest of all objects that the responding process has at its revision.
    std::uint64_t digest = 0;
    /// Time since the responding process was last known to be in sync with the store.
    Milliseconds staleness{0};
};

/// A share of one limit that is requested, or lent.
struct LimitShare
{
    std::string key;
    double requestsPerSecond = 0;
    /// In a request: slots needed beyond slotsHeld. In a response: slots that may be in use,
    /// including slotsHeld.
    std::int64_t slots = 0;
    std::int64_t slotsHeld = 0;
    /// Sequence number of the request for slots; 0 if it requests none.
    std::uint64_t sequence = 0;
};

struct LendRequest
{
    NodeId node;
    std::vector<LimitShare> wanted;
};

/// The demand for one pool at one entry process since the process started; counters only increase.
struct PoolDemand
{
    std::string pool;
    /// Total time spent by online calls.
    double slotSeconds = 0;
    /// Online calls refused for lack of capacity.
    std::uint64_t refused = 0;
    std::uint64_t answered = 0;
    /// Whether batch items are waiting for the pool.
    bool hasBatch = false;
};

/// Handles the control calls that a process receives. Runs on the control thread, so it must not
/// block.
class ControlHandler
{
public:
    ControlHandler() = default;
    virtual ~ControlHandler() = default;
    ControlHandler(const ControlHandler &) = delete;
    ControlHandler &operator=(const ControlHandler &) = delete;

    virtual Result<LoadReport> observe();
    virtual Result<AttemptFate> cancelAttempt(const AttemptId &attempt,
                                              const std::string &incarnation);
    virtual Result<ExchangeResponse> exchange(const ExchangeRequest &request);
    virtual Result<std::vector<LimitShare>> lend(const LendRequest &request);
    virtual Result<std::vector<PoolDemand>> demand();
};

} // namespace Radishplank
