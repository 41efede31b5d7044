#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>

namespace Radishplank::Test {

/// One call of a test as it goes on: what has come of the answer, and when.
struct RunningCall
{
    std::shared_future<HttpResponse> answer;
    std::shared_ptr<std::atomic<std::size_t>> bytes = std::make_shared<std::atomic<std::size_t>>(0);
    /// Once set, the connection is closed after the next piece of the answer.
    std::shared_ptr<std::atomic<bool>> isLeaving = std::make_shared<std::atomic<bool>>(false);
};

/// Makes HTTP calls for a test, blocking or not. A call that fails has status 0.
class TestClient
{
public:
    TestClient();

    HttpResponse call(const Endpoint &to, HttpRequest request,
                      Milliseconds timeout = Milliseconds(60'000));
    /// Starts a call and returns at once.
    RunningCall start(const Endpoint &to, HttpRequest request,
                      Milliseconds timeout = Milliseconds(60'000));

private:
    FiberThreads m_threads;
};

} // namespace Radishplank::Test
