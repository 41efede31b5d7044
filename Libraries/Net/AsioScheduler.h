#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace Radishplank {

/// Schedules the fibers of one thread round robin and dispatches its I/O handlers between them.
class AsioScheduler : public boost::fibers::algo::algorithm
{
public:
    explicit AsioScheduler(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void awakened(boost::fibers::context *fiber) noexcept override { fiber->ready_link(m_ready); }

    boost::fibers::context *pick_next() noexcept override
    {
        // Handlers run only on the dispatcher's stack: any other fiber that reaches this point may
        // hold the spinlock of a future that a handler needs, which would deadlock.
        if (boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context))
            m_context.poll();
        if (m_ready.empty())
            return nullptr;
        auto *next = &m_ready.front();
        m_ready.pop_front();
        return next;
    }

    [[nodiscard]] bool has_ready_fibers() const noexcept override { return !m_ready.empty(); }

    void suspend_until(const std::chrono::steady_clock::time_point &wakeTime) noexcept override
    {
        if (wakeTime == (std::chrono::steady_clock::time_point::max)())
            m_context.run_one();
        else
            m_context.run_one_until(wakeTime);
    }

    void notify() noexcept override
    {
        boost::asio::post(m_context, [] {});
    }

private:
    boost::asio::io_context &m_context;
    boost::fibers::scheduler::ready_queue_type m_ready;
};

} // namespace Radishplank
