#pragma once

#include <Control/Control.capnp.h>
#include <Core/Core.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <string>

namespace Radishplank {

/// An outgoing connection and the control interface that the peer returns on it. Calls can be made
/// immediately and are sent once the connection is established. Used on the control thread only.
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
    Rpc::Control::Client authenticate(kj::Own<kj::AsyncIoStream> stream, const std::string &secret);

    // Declared first, so that it is destroyed after the interface, which sends over it.
    kj::Own<Link> m_link;
    Rpc::Control::Client m_control;
};

} // namespace Radishplank
