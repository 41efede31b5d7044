#pragma once

#include <Control/Control.capnp.h>
#include <Control/ControlMessages.h>

#include <functional>
#include <string>

namespace Radishplank {

/// Serves the control calls of one peer.
class ControlServer final : public Rpc::Control::Server
{
public:
    explicit ControlServer(ControlHandler &handler)
        : m_handler(handler)
    {
    }

    kj::Promise<void> observe(ObserveContext context) override;
    kj::Promise<void> cancelAttempt(CancelAttemptContext context) override;
    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> lend(LendContext context) override;
    kj::Promise<void> demand(DemandContext context) override;

private:
    ControlHandler &m_handler;
};

/// Returns the control interface to a caller with the cluster secret.
class GateServer final : public Rpc::Gate::Server
{
public:
    /// Calls onOpened once a caller has sent the correct secret.
    GateServer(std::string secretDigest, ControlHandler &handler, std::function<void()> onOpened);

    kj::Promise<void> open(OpenContext context) override;

private:
    std::string m_secretDigest;
    ControlHandler &m_handler;
    std::function<void()> m_onOpened;
};

} // namespace Radishplank
