#include <Serving/BatchWindow.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr double initialWindow = 2;
constexpr Milliseconds refusalPause{100};

} // namespace

BatchWindow::BatchWindow(std::size_t maximum)
    : m_maximum(maximum)
    , m_window(std::min(initialWindow, static_cast<double>(maximum)))
{
}

bool BatchWindow::mayTake(TimePoint now) const
{
    return now >= m_pausedUntil && static_cast<double>(m_inFlight) + 1 <= m_window;
}

void BatchWindow::take()
{
    m_inFlight += 1;
    // An admitted item shows that the upstream has capacity, so the window grows at once.
    m_window = std::min(static_cast<double>(m_maximum), m_window + 1 / m_window);
}

void BatchWindow::noteFinished()
{
    releaseSlot();
}

void BatchWindow::noteRefused(TimePoint now)
{
    releaseSlot();
    m_window = std::max(1.0, static_cast<double>(m_inFlight));
    m_pausedUntil = now + refusalPause;
}

void BatchWindow::releaseSlot()
{
    if (m_inFlight > 0)
        m_inFlight -= 1;
}

} // namespace Radishplank
