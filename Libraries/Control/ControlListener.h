#pragma once

#include <Control/ControlMessages.h>

#include <kj/async-io.h>
#include <kj/timer.h>
#include <list>
#include <memory>
#include <string>

namespace Radishplank {

/// Accepts control connections and limits the resources of unauthenticated peers.
///
/// A connection that does not send the cluster secret within a few seconds is closed. The number of
/// unauthenticated connections is limited: a new one evicts the oldest. Message sizes are limited
/// before and after authentication. Used on the control thread only.
class ControlListener : private kj::TaskSet::ErrorHandler
{
public:
    ControlListener(kj::Own<kj::ConnectionReceiver> receiver, kj::Timer &timer,
                    const std::string &secret, ControlHandler &handler);

    [[nodiscard]] unsigned port() { return m_receiver->getPort(); }

private:
    struct Connection;
    struct Connections
    {
        std::size_t count = 0;
        /// Connections that have not sent the secret, oldest first.
        std::list<Connection *> unauthenticated;
    };

    kj::Promise<void> acceptNext();
    void serve(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception &&exception) override;

    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Timer &m_timer;
    std::string m_secretDigest;
    ControlHandler &m_handler;
    std::shared_ptr<Connections> m_connections = std::make_shared<Connections>();
    kj::TaskSet m_tasks;
};

} // namespace Radishplank
