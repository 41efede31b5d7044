#pragma once

#include <string>

namespace Radishplank {

/// Names of the header fields that the callers and upstreams of a deployment use.
struct CallHeaderNames
{
    /// Identifies one attempt of a caller; upstreams echo it in their answers.
    std::string attemptId;
    /// Milliseconds for which the sender of a request will wait for the answer.
    std::string timeLeft;
    /// Identifies the only start of an upstream that may run the request.
    std::string expectedUpstream;
    /// Present in an answer if the upstream has not run the request.
    std::string notExecuted;
    /// Present in all answers of an upstream that is shutting down.
    std::string upstreamLeaving;
    /// Identifier of the last event received; the stream resumes after it.
    std::string resumeAfter;
    /// Lists the parts of the call's prompt, in the form that sharedPromptParts() parses.
    std::string promptParts;
    /// Carries the caller's bearer token; never sent to upstreams if calls need credentials.
    std::string credentials = {};
    /// Names the owner of a call to upstreams; a caller's own value is dropped if calls need
    /// credentials.
    std::string owner = {};
    /// States the tokens of a request as "PROMPT,MAX_OUTPUT".
    std::string tokenUsage = {};
    /// States the caller's estimate of the output tokens.
    std::string lengthHint = {};
    /// States in an answer how many requests per second, as a decimal number, the upstream takes
    /// from all processes together.
    std::string requestLimit = {};
};

} // namespace Radishplank
