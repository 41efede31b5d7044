#pragma once

#include <string>

namespace Radishplank {

/// Names of the header fields that callers and upstreams of a deployment use.
struct CallDialect
{
    /// Names one attempt of a caller; upstreams repeat it in their answers.
    std::string attemptId;
    /// Milliseconds that the sender of a request will wait for the answer.
    std::string timeLeft;
    /// The start of an upstream that alone may run the request.
    std::string expectedUpstream;
    /// Present in the answer of an upstream that has not run the request.
    std::string notExecuted;
    /// Present in all answers of an upstream that is about to leave.
    std::string upstreamLeaves;
    /// The identifier of the last event received of a stream that goes on.
    std::string resumeAfter;
};

} // namespace Radishplank
