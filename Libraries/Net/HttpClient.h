#pragma once

#include <Core/Clock.h>
#include <Core/Endpoint.h>
#include <Core/Metrics.h>
#include <Core/Result.h>
#include <Net/CallCancellation.h>
#include <Net/HttpMessage.h>

#include <cstddef>
#include <memory>
#include <string>

namespace Radishplank {

/// Whether a call may use a pooled keep-alive connection, which the peer may just have closed.
enum class ConnectionReuse { Allowed, Forbidden };

/// Distinguishes the response to a call from late responses to earlier calls on the connection.
struct ResponseMatch
{
    /// Header field that the peer echoes from the request; if empty, every response matches.
    std::string header;
    std::string value;
};

struct HttpCallOptions
{
    Milliseconds connectTimeout{1'000};
    /// Longest wait for the response headers, and then for each chunk of the body.
    Milliseconds readTimeout{5'000};
    /// Longest time for the whole body in readBody(); at least the readTimeout.
    Milliseconds bodyTimeout{30'000};
    std::size_t bodyBytes = std::size_t{8} * 1024 * 1024;
    ConnectionReuse reuse = ConnectionReuse::Allowed;
    /// How long sent bytes may remain unacknowledged before the connection is considered lost.
    Milliseconds unacknowledgedTimeout{3'000};
    ResponseMatch match;
    /// Lets other fibers of the thread cancel the call; must outlive the call and its response.
    CallCancellation *cancellation = nullptr;
};

/// How far a call got before it failed.
enum class CallProgress {
    NotSent, ///< No byte was sent; the peer cannot have processed the call.
    Sent,    ///< The peer may have processed the call.
};

struct HttpCallError
{
    Error error;
    CallProgress progress = CallProgress::NotSent;
};

/// A response whose body is read incrementally; used by one fiber.
///
/// Chunks follow the reads from the socket, not the chunked transfer coding.
class HttpResponseStream
{
public:
    HttpResponseStream() = default;
    virtual ~HttpResponseStream() = default;
    HttpResponseStream(const HttpResponseStream &) = delete;
    HttpResponseStream &operator=(const HttpResponseStream &) = delete;

    [[nodiscard]] virtual unsigned status() const = 0;
    [[nodiscard]] virtual const HttpHeaders &headers() const = 0;
    /// Returns how many calls with ids the connection had carried before this one.
    [[nodiscard]] virtual std::size_t earlierCalls() const = 0;
    /// Returns the next chunk; an empty chunk marks the end of a complete body.
    virtual Result<std::string> readChunk() = 0;
    /// Returns the whole body; TooLarge if it exceeds the call's limit.
    virtual Result<std::string> readBody() = 0;
    /// Discards the rest of the body. The connection is closed if the rest does not arrive soon.
    virtual void skipBody() = 0;
    /// Interrupts the reading fiber; may be called from another fiber of the same thread.
    virtual void abort() = 0;
};

/// How a peer reacts to a new connection.
enum class PeerState {
    Listening,
    Refusing, ///< Its host answers, but no process accepts connections there.
    Silent,   ///< Nothing answers in time; the peer's host or the path to it may be down.
};

/// An HTTP/1.1 client for fibers with a pool of keep-alive connections for each thread.
class HttpClient
{
public:
    /// Limits the sum of the bodies that readBody() holds for all calls of the process; a body that
    /// exceeds it fails its call with Unavailable. There is no limit by default.
    static void setMaxTotalBodyBytes(std::size_t bytes);

    /// Counts the responses that were skipped because they bear the id of another call.
    static const Counter &skippedResponses();

    using OpenResult = std::variant<std::unique_ptr<HttpResponseStream>, HttpCallError>;

    /// Sends the request and waits for the response headers. InvalidInput, without sending
    /// anything, if the request line or a header of it is not valid.
    static OpenResult open(const Endpoint &endpoint, const HttpRequest &request,
                           const HttpCallOptions &options);
    /// Opens a connection to the peer, which is pooled for later calls if the peer accepts it.
    static PeerState checkPeer(const Endpoint &endpoint, Milliseconds timeout);
    /// Sends the request and reads the whole response.
    static std::variant<HttpResponse, HttpCallError>
    call(const Endpoint &endpoint, const HttpRequest &request, const HttpCallOptions &options);
    /// Like call(), without the progress of a failed call.
    static Result<HttpResponse> fetch(const Endpoint &endpoint, const HttpRequest &request,
                                      const HttpCallOptions &options);
};

} // namespace Radishplank
