#include "ControlClient.h"

#include <fstream>
#include <future>
#include <iostream>
#include <iterator>

namespace Radishplank {

namespace {

constexpr Milliseconds answerTimeout{60'000};
constexpr std::size_t maxAnswerBytes = std::size_t{1024} * 1024 * 1024;

} // namespace

Result<HttpResponse> ControlClient::send(const Endpoint &to, const std::string &token,
                                         HttpRequest request)
{
    request.headers.add("Authorization", "Bearer " + token);
    std::promise<Result<HttpResponse>> promise;
    auto future = promise.get_future();
    m_threads.spawn([&] {
        HttpCallOptions options;
        options.readTimeout = answerTimeout;
        options.bodyBytes = maxAnswerBytes;
        promise.set_value(HttpClient::fetch(to, request, options));
    });
    return future.get();
}

bool isSuccess(const Result<HttpResponse> &answer)
{
    return !answer.isError() && answer.value().status < 300;
}

CommandResult failureOf(const Result<HttpResponse> &answer)
{
    if (answer.isError())
        return {ExitCode::Unavailable, "", answer.error().message};
    const auto &response = answer.value();
    std::string message = response.body;
    const auto parsed = parseJsonObject(response.body);
    if (!parsed.isError()) {
        const auto *error = parsed.value().if_contains("error");
        if (error != nullptr && error->is_object())
            message = textField(error->as_object(), "message").value_or(message);
    }
    switch (response.status) {
    case 404:
        return {ExitCode::NotFound, "", message};
    case 409:
        return {ExitCode::Conflict, "", message};
    case 502:
    case 503:
    case 504:
        return {ExitCode::Unavailable, "", message};
    default:
        return {ExitCode::Failure, "", message};
    }
}

CommandResult usageError(std::string message)
{
    return {ExitCode::Usage, "", std::move(message)};
}

Result<std::string> readInput(const std::string &path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Error{ErrorKind::NotFound, "cannot read " + path};
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace Radishplank
