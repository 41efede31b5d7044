#pragma once

#include <Control/ControlMessages.h>

#include <memory>
#include <string>

namespace Radishplank {

/// Makes and serves the control calls of one process over Cap'n Proto RPC on a dedicated thread.
///
/// Each outgoing call has a deadline. A connection on which a call fails or times out is dropped,
/// and the next call opens a new one. The call methods suspend the calling fiber.
class ControlThread
{
public:
    /// Listens for control calls; port 0 selects a free port.
    static Result<std::unique_ptr<ControlThread>> start(const Endpoint &listen, std::string secret,
                                                        ControlHandler &handler);
    ~ControlThread();
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    [[nodiscard]] Endpoint endpoint() const;
    [[nodiscard]] const Counter &callsMade() const;
    [[nodiscard]] const Counter &callsFailed() const;

    Result<LoadReport> observe(const Endpoint &agent, Milliseconds timeout);
    Result<AttemptFate> cancelAttempt(const Endpoint &agent, const AttemptId &attempt,
                                      const std::string &incarnation, Milliseconds timeout);
    Result<ExchangeResponse> exchange(const Endpoint &peer, const ExchangeRequest &request,
                                      Milliseconds timeout);
    Result<std::vector<LimitShare>> lend(const Endpoint &peer, const LendRequest &request,
                                         Milliseconds timeout);
    Result<std::vector<PoolDemand>> demand(const Endpoint &peer, Milliseconds timeout);

private:
    struct Implementation;
    explicit ControlThread(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Radishplank
