#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace Radishplank {

/// The result of an asynchronous I/O operation.
struct IoResult
{
    boost::system::error_code code;
    std::size_t byteCount = 0;
};

/// Starts an asynchronous operation and suspends the calling fiber until it completes.
///
/// The operation must complete on the calling thread's I/O context.
template<typename Initiator>
IoResult awaitIo(Initiator &&initiate)
{
    IoResult outcome;
    auto *waiter = boost::fibers::context::active();
    initiate([&outcome, waiter](boost::system::error_code code, std::size_t byteCount = 0) {
        outcome = {code, byteCount};
        boost::fibers::context::active()->schedule(waiter);
    });
    // The handler runs only on the dispatcher's stack, so it cannot run before this suspension.
    waiter->suspend();
    return outcome;
}

} // namespace Radishplank
