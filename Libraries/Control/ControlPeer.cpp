#include <Control/ControlPeer.h>

#include <Control/ControlCodec.h>

#include <capnp/message.h>

namespace Radishplank {

namespace {

/// A response can carry the whole configuration.
constexpr std::size_t maxResponseBytes = std::size_t{4} * 1024 * 1024;

} // namespace

ControlPeer::Link::Link(kj::Own<kj::AsyncIoStream> linkStream)
    : stream(kj::mv(linkStream))
    , network(*stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions(maxResponseBytes))
    , system(capnp::makeRpcClient(network))
{
}

ControlPeer::ControlPeer(kj::Network &network, const Endpoint &endpoint, const std::string &secret)
    : m_control(connect(network, endpoint, secret))
{
}

kj::Promise<Rpc::Control::Client> ControlPeer::connect(kj::Network &network,
                                                       const Endpoint &endpoint, std::string secret)
{
    return network.parseAddress(endpoint.address.c_str(), endpoint.port)
            .then([](kj::Own<kj::NetworkAddress> &&address) {
                auto connected = address->connect();
                return connected.attach(kj::mv(address));
            })
            .then([this, secret = std::move(secret)](kj::Own<kj::AsyncIoStream> &&stream) {
                return authenticate(kj::mv(stream), secret);
            });
}

Rpc::Control::Client ControlPeer::authenticate(kj::Own<kj::AsyncIoStream> stream,
                                               const std::string &secret)
{
    m_link = kj::heap<Link>(kj::mv(stream));
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto request = m_link->system.bootstrap(server).castAs<Rpc::Gate>().openRequest();
    request.setSecret(secret);
    return request.send().getControl();
}

} // namespace Radishplank
