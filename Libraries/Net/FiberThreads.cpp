#include <Net/FiberThreads.h>

#include <Net/AsioScheduler.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>
#include <boost/fiber/unbuffered_channel.hpp>

namespace Radishplank {

namespace {

constexpr std::size_t fiberStackBytes = 128 * 1024;

thread_local boost::asio::io_context *threadContext = nullptr;

void startFiber(std::function<void()> function)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                         boost::fibers::fixedsize_stack(fiberStackBytes), std::move(function))
            .detach();
}

} // namespace

struct FiberThreads::Thread
{
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
            context.get_executor()};
    std::thread thread;

    void run()
    {
        threadContext = &context;
        boost::fibers::use_scheduling_algorithm<AsioScheduler>(context);
        // The thread's main fiber has no work of its own; it sleeps while other fibers run.
        while (true)
            boost::this_fiber::sleep_for(std::chrono::hours(1));
    }
};

FiberThreads::FiberThreads(std::size_t threadCount)
{
    for (std::size_t i = 0; i < threadCount; ++i) {
        auto thread = std::make_unique<Thread>();
        thread->thread = std::thread([raw = thread.get()] { raw->run(); });
        m_threads.push_back(std::move(thread));
    }
}

FiberThreads::~FiberThreads()
{
    for (auto &thread : m_threads) {
        thread->thread.detach();
        // The detached thread still uses its I/O context.
        [[maybe_unused]] auto *leaked = thread.release();
    }
}

boost::asio::io_context &FiberThreads::context(std::size_t threadIndex)
{
    return m_threads[threadIndex]->context;
}

void FiberThreads::spawn(std::function<void()> function)
{
    spawnOn(m_next.fetch_add(1) % m_threads.size(), std::move(function));
}

void FiberThreads::spawnOn(std::size_t threadIndex, std::function<void()> function)
{
    boost::asio::post(m_threads[threadIndex]->context, [function = std::move(function)]() mutable {
        startFiber(std::move(function));
    });
}

boost::asio::io_context &FiberThreads::currentContext()
{
    return *threadContext;
}

} // namespace Radishplank
