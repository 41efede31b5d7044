#pragma once

#include "Entry/EntryContext.h"

#include <optional>

namespace Radishplank {

/// A call to a catalogue entry, independent of the upstreams that serve it.
struct CallSpec
{
    std::shared_ptr<const Entry> entry;
    std::string method;
    /// Path and query at the upstream.
    std::string target;
    std::string contentType;
    /// Body for a plain service.
    std::string body;
    /// Request for a model engine.
    boost::json::object request;
    TimePoint deadline;
    /// Whether an attempt that may have run can be retried on another upstream.
    bool isRetryable = true;
    std::uint64_t prefixKey = 0;
    std::string fingerprint;
};

/// Final result of a call, in the form in which the caller receives it.
struct CallResult
{
    /// HTTP status: 200, or that of the error.
    unsigned status = 200;
    Outcome outcome = Outcome::Ran;
    std::string code;
    std::string message;
    std::optional<Milliseconds> retryAfter;
    std::string finishReason;
    AnswerMessage answer;
};

/// Returns the result of a call that failed or was refused.
[[nodiscard]] CallResult refusal(unsigned status, Outcome outcome, std::string code,
                                 std::string message);

/// Runs calls: chooses upstreams, retries failed attempts within the retry budget and resumes
/// interrupted streams.
class CallRunner
{
public:
    explicit CallRunner(EntryContext &context)
        : m_context(context)
    {
    }

    /// Runs the call. The sink receives each token once and in order, across all upstreams used.
    CallResult run(const CallSpec &spec, const TokenSink &sink);
    /// Runs a single attempt on the given upstream, under an identifier that the caller of this
    /// function has recorded.
    /// Runs an attempt and counts it at its upstream meanwhile.
    AttemptResult runOnline(Upstream &upstream, const AttemptRequest &request,
                            const TokenSink &sink);
    AttemptResult runOnce(const CallSpec &spec, const AttemptId &id, Upstream &upstream,
                          const TokenSink &sink);
    /// Records an upstream crash that interrupted this attempt and that the call may have caused.
    void noteCrash(const CallSpec &spec, const AttemptId &id);
    /// Exchanges the known crashes with the other entry processes, at once; set by the owner of
    /// this object.
    std::function<void()> exchangeCrashes;

private:
    struct Progress
    {
        std::vector<UpstreamId> tried;
        std::uint64_t tokens = 0;
        bool mayHaveRun = false;
        /// The last attempt was interrupted; the next one is a retry.
        bool isRetry = false;
        bool sawFullQueue = false;
        std::string lastDetail;
    };

    CallResult runOnUpstreams(const CallSpec &spec, const TokenSink &sink);
    std::optional<CallResult> refuseQuarantined(const CallSpec &spec, const Progress &progress);
    CallResult refuseExhausted(const CallSpec &spec, const Progress &progress);
    CallResult failWithUnknownOutcome(const CallSpec &spec);
    [[nodiscard]] bool mayRetryAt(const Upstream &upstream);
    AttemptResult attempt(const CallSpec &spec, Upstream &upstream, const TokenSink &sink,
                          Progress &progress);
    std::optional<CallResult> handleAttemptResult(const CallSpec &spec, const AttemptResult &result,
                                                  Progress &progress);

    EntryContext &m_context;
};

/// Returns the prefix-cache key of the prompt, a hash of its first bytes; 0 without a prompt.
[[nodiscard]] std::uint64_t prefixKeyOf(const boost::json::object &request);

/// Builds an attempt of a call that resumes after the given number of tokens.
[[nodiscard]] AttemptRequest makeAttempt(const CallSpec &spec, WorkClass workClass, AttemptId id,
                                         std::uint64_t resumeFrom, Suspicion suspicion);

} // namespace Radishplank
