#pragma once

#include <Core/Clock.h>
#include <Core/Endpoint.h>
#include <Core/Result.h>
#include <Net/CallCancellation.h>
#include <Net/HttpMessage.h>

#include <cstddef>
#include <memory>
#include <string>

namespace Radishplank {

/// Whether a call may go out on a kept-alive connection, which the peer may just have closed.
enum class ConnectionReuse { Allowed, Forbidden };

/// Tells the answer to a call from late answers to earlier calls on the same connection.
struct ResponseMatch
{
    /// Header field that a peer repeats from the request; empty: every answer is taken.
    std::string header;
    std::string value;
};

struct HttpCallOptions
{
    Milliseconds connectTimeout{1'000};
    /// Longest wait for the answer's headers, and then for each further piece.
    Milliseconds readTimeout{5'000};
    std::size_t bodyBytes = std::size_t{8} * 1024 * 1024;
    ConnectionReuse reuse = ConnectionReuse::Allowed;
    /// How long sent bytes may stay unacknowledged before the connection counts as lost.
    Milliseconds unacknowledgedTimeout{3'000};
    ResponseMatch match;
    /// Lets other fibers of the thread end the call; outlives the call and its answer.
    CallCancellation *cancellation = nullptr;
};

/// How far a call got before it failed.
enum class CallProgress {
    NotSent, ///< No byte left this machine; the peer cannot have acted on the call.
    Sent,    ///< The peer may have acted on the call.
};

struct HttpCallError
{
    Error error;
    CallProgress progress = CallProgress::NotSent;
};

/// An answer whose body is read piece by piece; used by one fiber.
class HttpResponseStream
{
public:
    HttpResponseStream() = default;
    virtual ~HttpResponseStream() = default;
    HttpResponseStream(const HttpResponseStream &) = delete;
    HttpResponseStream &operator=(const HttpResponseStream &) = delete;

    [[nodiscard]] virtual unsigned status() const = 0;
    [[nodiscard]] virtual const HttpHeaders &headers() const = 0;
    /// Returns the next piece; an empty piece is the end of a whole body.
    virtual Result<std::string> readChunk() = 0;
    /// Returns the whole body; TooLarge past the call's limit.
    virtual Result<std::string> readBody() = 0;
    /// Ends the wait of the reading fiber; may be called from another fiber of the same thread.
    virtual void abort() = 0;
};

/// HTTP/1.1 calls from fibers over kept-alive connections; each thread has its own connections.
class HttpClient
{
public:
    using OpenResult = std::variant<std::unique_ptr<HttpResponseStream>, HttpCallError>;

    /// Sends the request and waits for the answer's headers.
    static OpenResult open(const Endpoint &endpoint, const HttpRequest &request,
                           const HttpCallOptions &options);
    /// Tells whether the peer takes connections; one that it has taken is kept for later calls.
    static bool isListening(const Endpoint &endpoint, Milliseconds timeout);
    /// Sends the request and reads the whole answer.
    static std::variant<HttpResponse, HttpCallError>
    call(const Endpoint &endpoint, const HttpRequest &request, const HttpCallOptions &options);
    /// As call(), for callers to whom the progress does not matter.
    static Result<HttpResponse> fetch(const Endpoint &endpoint, const HttpRequest &request,
                                      const HttpCallOptions &options);
};

} // namespace Radishplank
