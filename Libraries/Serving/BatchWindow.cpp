#include <Serving/BatchWindow.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr double initialWindow = 2;
constexpr Milliseconds refusalPause{100};

} // namespace

BatchWindow::BatchWindow(std::size_t highest)
    : m_highest(highest)
    , m_window(std::min(initialWindow, static_cast<double>(highest)))
{
}

bool BatchWindow::mayTake(TimePoint now) const
{
    return now >= m_pausedUntil && static_cast<double>(m_inFlight) + 1 <= m_window;
}

void BatchWindow::take()
{
    m_inFlight += 1;
    // An item that was let in is the sign that there was room: look for more at once.
    m_window = std::min(static_cast<double>(m_highest), m_window + 1 / m_window);
}

void BatchWindow::noteFinished()
{
    leave();
}

void BatchWindow::noteRefused(TimePoint now)
{
    leave();
    m_window = std::max(1.0, static_cast<double>(m_inFlight));
    m_pausedUntil = now + refusalPause;
}

void BatchWindow::leave()
{
    if (m_inFlight > 0)
        m_inFlight -= 1;
}

} // namespace Radishplank
