#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>

namespace Radishplank::Test {

/// An HTTP call in progress, with the number of body bytes received so far.
struct RunningCall
{
    std::shared_future<HttpResponse> answer;
    std::shared_ptr<std::atomic<std::size_t>> bytes = std::make_shared<std::atomic<std::size_t>>(0);
    /// If set, the client disconnects after it has received the next part of the response.
    std::shared_ptr<std::atomic<bool>> mustDisconnect = std::make_shared<std::atomic<bool>>(false);
};

/// HTTP client for tests, blocking or not. A failed call yields a response with status 0.
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
