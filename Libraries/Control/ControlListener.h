#pragma once

#include <Control/ControlMessages.h>

#include <kj/async-io.h>
#include <kj/timer.h>
#include <list>
#include <memory>
#include <string>

namespace Radishplank {

/// Takes the control connections of other processes, and bounds what strangers can use.
///
/// A connection that has not shown the cluster's secret within a few seconds is closed. Only so
/// many of them are open at once: a new one takes the place of the oldest. Messages are bounded in
/// size before and after. Lives on the control thread.
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
        /// Those that have not shown the secret, the oldest first.
        std::list<Connection *> strangers;
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
