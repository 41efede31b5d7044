#pragma once

#include "Entry/EntryContext.h"

#include <optional>

namespace Radishplank {

/// One call of a caller, whichever upstreams it takes.
struct CallSpec
{
    std::shared_ptr<const Entry> entry;
    std::string method;
    /// Path at the upstream.
    std::string target;
    std::string contentType;
    /// Body for a plain service.
    std::string body;
    /// Request for a model engine.
    boost::json::object request;
    TimePoint deadline;
    bool mayRepeat = true;
    std::uint64_t prefixKey = 0;
    std::string fingerprint;
};

/// What a call came to, ready to be told to the caller.
struct CallResult
{
    /// HTTP status: 200, or that of a final refusal.
    unsigned status = 200;
    Outcome outcome = Outcome::Ran;
    std::string code;
    std::string message;
    std::optional<Milliseconds> retryAfter;
    std::string finishReason;
    AnswerMessage answer;
};

/// Returns the result of a call that is not answered in full.
[[nodiscard]] CallResult refusal(unsigned status, Outcome outcome, std::string code,
                                 std::string message);

/// Runs calls: chooses upstreams, retries what may be retried, resumes what was cut off.
class CallRunner
{
public:
    explicit CallRunner(EntryContext &context)
        : m_context(context)
    {
    }

    /// Runs the call; tokens reach the sink once and in order, across all upstreams used.
    CallResult run(const CallSpec &spec, const TokenSink &sink);
    /// Runs one attempt under an identifier that others know, on one upstream only.
    AttemptResult runOnce(const CallSpec &spec, const AttemptId &id, Upstream &upstream,
                          const TokenSink &sink);
    /// Notes that an attempt of the call was cut off by a crash that it may have caused.
    void noteCrash(const CallSpec &spec, const AttemptId &id);
    /// Tells the other entry processes of a crash; set by the owner of this object.
    std::function<void()> onCrash;

private:
    struct Progress
    {
        std::vector<UpstreamId> tried;
        std::uint64_t tokens = 0;
        bool mayHaveRun = false;
        /// The last attempt was cut off; the next one is a retry.
        bool isRetry = false;
        bool sawFullQueue = false;
        std::string lastDetail;
    };

    CallResult runOnUpstreams(const CallSpec &spec, const TokenSink &sink);
    std::optional<CallResult> refuseBarred(const CallSpec &spec, const Progress &progress);
    CallResult refuseExhausted(const Progress &progress);
    CallResult refuseLost(const CallSpec &spec);
    [[nodiscard]] bool mayRetryAt(const Upstream &upstream);
    AttemptResult attempt(const CallSpec &spec, Upstream &upstream, const TokenSink &sink,
                          Progress &progress);
    std::optional<CallResult> judge(const CallSpec &spec, const AttemptResult &result,
                                    Progress &progress);

    EntryContext &m_context;
};

/// Returns the key under which the prompt's beginning is cached by engines; 0 without a prompt.
[[nodiscard]] std::uint64_t prefixKeyOf(const boost::json::object &request);

/// Returns the attempt that a call makes on an upstream, resumed after the given tokens.
[[nodiscard]] AttemptRequest makeAttempt(const CallSpec &spec, WorkClass workClass, AttemptId id,
                                         std::uint64_t resumeFrom, Suspicion suspicion);

} // namespace Radishplank
