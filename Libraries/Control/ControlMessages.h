#pragma once

#include <Core/Core.h>
#include <Store/ObjectStore.h>

#include <string>
#include <vector>

namespace Radishplank {

/// What an agent tells of itself; counts are streams.
struct LoadReport
{
    /// Drawn anew with each start of the agent.
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t onlineRunning = 0;
    std::uint32_t onlineQueued = 0;
    std::uint32_t batchRunning = 0;
    std::uint32_t batchQueued = 0;
    bool isAccepting = false;
};

/// How far an attempt had come when it was cancelled.
enum class AttemptFate {
    NeverBegan, ///< No upstream has seen it, and its agent will never hand it to one.
    Began,      ///< An upstream has, or may have, worked on it.
    Unknown,    ///< The agent cannot tell, because it has restarted since.
};

/// A crash of an upstream in which a request was the only suspect.
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
    /// Of all objects that the answering process has at its revision.
    std::uint64_t digest = 0;
    /// How long ago the answering process was known to be in step with the store.
    Milliseconds staleness{0};
};

/// A part of one limit that is asked for, or lent.
struct LimitShare
{
    std::string key;
    double requestsPerSecond = 0;
    /// Asked: slots wanted beyond those held. Lent: slots that may be in use, those held included.
    std::int64_t slots = 0;
    std::int64_t slotsHeld = 0;
    /// Numbers the asks for slots; 0 if none are asked for.
    std::uint64_t sequence = 0;
};

struct LendRequest
{
    NodeId node;
    std::vector<LimitShare> wanted;
};

/// What was asked of one pool at one entry process since it started; only ever rises.
struct PoolDemand
{
    std::string pool;
    /// Time that online calls have spent, all together.
    double slotSeconds = 0;
    /// Online calls that found no place.
    std::uint64_t refused = 0;
    std::uint64_t answered = 0;
    /// Whether batch items wait for the pool.
    bool hasBatch = false;
};

/// What a process answers to control calls; called on the control thread, so it must not block.
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
