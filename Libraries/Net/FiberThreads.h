#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace Radishplank {

/// A fixed set of threads, each of which runs fibers on its own I/O context.
///
/// A fiber stays on the thread on which it was started.
class FiberThreads
{
public:
    explicit FiberThreads(std::size_t threadCount);
    /// Detaches the threads and leaves them running: a drained process ends by exitProcess().
    ~FiberThreads();
    FiberThreads(const FiberThreads &) = delete;
    FiberThreads &operator=(const FiberThreads &) = delete;

    [[nodiscard]] std::size_t threadCount() const { return m_threads.size(); }
    [[nodiscard]] boost::asio::io_context &context(std::size_t threadIndex);

    /// Starts a fiber on the next thread, round robin.
    void spawn(std::function<void()> function);
    /// Starts a fiber on the given thread.
    void spawnOn(std::size_t threadIndex, std::function<void()> function);

    /// Returns the I/O context of the calling fiber's thread.
    static boost::asio::io_context &currentContext();

private:
    struct Thread;
    std::vector<std::unique_ptr<Thread>> m_threads;
    std::atomic<std::size_t> m_next{0};
};

} // namespace Radishplank
