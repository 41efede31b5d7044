#include "TestClient.h"

namespace Radishplank::Test {

namespace {

constexpr std::size_t threadCount = 2;

HttpResponse fetch(const Endpoint &to, const HttpRequest &request, Milliseconds timeout,
                   const RunningCall &running)
{
    HttpCallOptions options;
    options.connectTimeout = Milliseconds(5'000);
    options.readTimeout = timeout;
    options.reuse = ConnectionReuse::Forbidden;
    auto opened = HttpClient::open(to, request, options);
    if (auto *failure = std::get_if<HttpCallError>(&opened))
        return {0, {}, failure->error.message};
    auto &answer = *std::get<std::unique_ptr<HttpResponseStream>>(opened);
    HttpResponse response{answer.status(), answer.headers(), ""};
    while (true) {
        auto piece = answer.readChunk();
        if (piece.isError())
            return {0, {}, response.body + piece.error().message};
        if (piece.value().empty())
            return response;
        response.body += piece.value();
        *running.bytes = response.body.size();
        if (*running.mustDisconnect)
            return {0, {}, response.body};
    }
}

} // namespace

TestClient::TestClient()
    : m_threads(threadCount)
{
}

HttpResponse TestClient::call(const Endpoint &to, HttpRequest request, Milliseconds timeout)
{
    return start(to, std::move(request), timeout).answer.get();
}

RunningCall TestClient::start(const Endpoint &to, HttpRequest request, Milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<HttpResponse>>();
    RunningCall running;
    running.answer = promise->get_future().share();
    m_threads.spawn([promise, to, request = std::move(request), timeout, running] {
        promise->set_value(fetch(to, request, timeout, running));
    });
    return running;
}

} // namespace Radishplank::Test
