#include <Control/ControlListener.h>

#include <Control/ControlCodec.h>
#include <Control/ControlServer.h>

#include <capnp/rpc-twoparty.h>

namespace Radishplank {

namespace {

constexpr std::size_t maxConnections = 4'000;
constexpr std::size_t maxUnauthenticated = 64;
constexpr auto authenticationTimeout = 5 * kj::SECONDS;
constexpr auto acceptRetryDelay = 50 * kj::MILLISECONDS;
/// Requests are small; only responses, which are sent and not received here, can carry the whole
/// configuration.
constexpr std::size_t maxRequestBytes = std::size_t{512} * 1024;

} // namespace

struct ControlListener::Connection
{
    Connection(kj::Own<kj::AsyncIoStream> connectionStream, const std::string &secretDigest,
               ControlHandler &handler, std::shared_ptr<Connections> allConnections)
        : all(std::move(allConnections))
        , eviction(kj::newPromiseAndFulfiller<void>())
        , stream(kj::mv(connectionStream))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER, readerOptions(maxRequestBytes))
        , system(capnp::makeRpcServer(
                  network, kj::heap<GateServer>(secretDigest, handler, [this] { markOpened(); })))
    {
        all->count += 1;
        all->unauthenticated.push_back(this);
    }

    ~Connection()
    {
        all->count -= 1;
        all->unauthenticated.remove(this);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void markOpened()
    {
        isOpened = true;
        all->unauthenticated.remove(this);
    }

    void evict()
    {
        all->unauthenticated.remove(this);
        eviction.fulfiller->fulfill();
    }

    std::shared_ptr<Connections> all;
    bool isOpened = false;
    kj::PromiseFulfillerPair<void> eviction;
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

ControlListener::ControlListener(kj::Own<kj::ConnectionReceiver> receiver, kj::Timer &timer,
                                 const std::string &secret, ControlHandler &handler)
    : m_receiver(kj::mv(receiver))
    , m_timer(timer)
    , m_secretDigest(sha256Hex(secret))
    , m_handler(handler)
    , m_tasks(*this)
{
    m_tasks.add(acceptNext());
}

kj::Promise<void> ControlListener::acceptNext()
{
    return m_receiver->accept().then(
            [this](kj::Own<kj::AsyncIoStream> &&stream) {
                serve(kj::mv(stream));
                return acceptNext();
            },
            [this](kj::Exception &&) {
                // Most likely out of file descriptors; retry after a delay.
                return m_timer.afterDelay(acceptRetryDelay).then([this] { return acceptNext(); });
            });
}

void ControlListener::serve(kj::Own<kj::AsyncIoStream> stream)
{
    if (m_connections->count >= maxConnections)
        return;
    // A legitimate peer sends the secret at once, so the oldest unauthenticated connection most
    // likely has none.
    if (m_connections->unauthenticated.size() >= maxUnauthenticated)
        m_connections->unauthenticated.front()->evict();
    auto connection
            = kj::heap<Connection>(kj::mv(stream), m_secretDigest, m_handler, m_connections);
    auto &current = *connection;
    auto authenticationDeadline
            = m_timer.afterDelay(authenticationTimeout).then([&current]() -> kj::Promise<void> {
                  if (current.isOpened)
                      return kj::NEVER_DONE;
                  return kj::READY_NOW;
              });
    m_tasks.add(current.network.onDisconnect()
                        .exclusiveJoin(kj::mv(authenticationDeadline))
                        .exclusiveJoin(kj::mv(current.eviction.promise))
                        .attach(kj::mv(connection)));
}

void ControlListener::taskFailed(kj::Exception &&)
{
    // The failed task destroys its connection, and the peer opens a new one.
}

} // namespace Radishplank
