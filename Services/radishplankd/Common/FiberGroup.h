#pragma once

#include <Net/Net.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <memory>
#include <mutex>

namespace Radishplank {

/// A group of concurrent fibers that can be waited for together.
class FiberGroup
{
public:
    explicit FiberGroup(FiberThreads &threads)
        : m_threads(threads)
    {
    }

    /// Starts a fiber. It may outlive the group, so the function must own everything that it uses.
    template<typename Function>
    void spawn(Function function)
    {
        {
            const std::scoped_lock lock(m_state->mutex);
            m_state->running += 1;
        }
        m_threads.spawn([state = m_state, function = std::move(function)] {
            function();
            const std::scoped_lock lock(state->mutex);
            state->running -= 1;
            state->changed.notify_all();
        });
    }

    /// Waits until all fibers have ended or the timeout has passed.
    void waitFor(Milliseconds wait)
    {
        std::unique_lock lock(m_state->mutex);
        m_state->changed.wait_for(lock, wait, [this] { return m_state->running == 0; });
    }

private:
    struct State
    {
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable changed;
        std::size_t running = 0;
    };

    FiberThreads &m_threads;
    std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace Radishplank
