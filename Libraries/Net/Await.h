#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace Radishplank {

/// What an asynchronous operation of the I/O context came to.
struct IoOutcome
{
    boost::system::error_code code;
    std::size_t byteCount = 0;
};

/// Starts an asynchronous operation and suspends the calling fiber until it completes.
///
/// The operation must complete on the I/O context of the calling thread.
template<typename Initiator>
IoOutcome awaitIo(Initiator &&initiate)
{
    IoOutcome outcome;
    auto *waiter = boost::fibers::context::active();
    initiate([&outcome, waiter](boost::system::error_code code, std::size_t byteCount = 0) {
        outcome = {code, byteCount};
        boost::fibers::context::active()->schedule(waiter);
    });
    // The handler runs on the dispatcher's stack only, so it cannot come before this suspension.
    waiter->suspend();
    return outcome;
}

} // namespace Radishplank
