#pragma once

#include <Control/Control.capnp.h>
#include <Core/Core.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <string>

namespace Radishplank {

/// An outgoing connection and the interface that the peer hands out on it; lives on the control
/// thread. Calls may be made at once, and are sent when the connection is made.
class ControlPeer
{
public:
    ControlPeer(kj::Network &network, const Endpoint &endpoint, const std::string &secret);

    [[nodiscard]] Rpc::Control::Client &control() { return m_control; }

private:
    struct Link
    {
        explicit Link(kj::Own<kj::AsyncIoStream> linkStream);

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyVatNetwork network;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    };

    kj::Promise<Rpc::Control::Client> connect(kj::Network &network, const Endpoint &endpoint,
                                              std::string secret);
    Rpc::Control::Client openGate(kj::Own<kj::AsyncIoStream> stream, const std::string &secret);

    // Destroyed after the interface, whose messages go over it.
    kj::Own<Link> m_link;
    Rpc::Control::Client m_control;
};

} // namespace Radishplank
