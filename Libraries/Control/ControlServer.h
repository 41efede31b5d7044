#pragma once

#include <Control/Control.capnp.h>
#include <Control/ControlMessages.h>

#include <functional>
#include <string>

namespace Radishplank {

/// Answers the control calls of one peer.
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

/// Hands out the control interface to whoever has the cluster's secret.
class GateServer final : public Rpc::Gate::Server
{
public:
    /// Calls onOpened once the secret has been given.
    GateServer(std::string secretDigest, ControlHandler &handler, std::function<void()> onOpened);

    kj::Promise<void> open(OpenContext context) override;

private:
    std::string m_secretDigest;
    ControlHandler &m_handler;
    std::function<void()> m_onOpened;
};

} // namespace Radishplank
