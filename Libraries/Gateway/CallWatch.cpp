#include <Gateway/CallWatch.h>

namespace Radishplank {

CallWatch::CallWatch(HttpExchange &exchange, TimePoint deadline)
    : m_timer(FiberThreads::currentContext(), deadline)
{
    m_timer.async_wait([state = m_state](const boost::system::error_code &code) {
        if (!code)
            state->stop(StopReason::DeadlinePassed);
    });
    exchange.onClientDisconnect([state = m_state] { state->stop(StopReason::CallerLeft); });
}

CallWatch::~CallWatch()
{
    m_timer.cancel();
}

} // namespace Radishplank
