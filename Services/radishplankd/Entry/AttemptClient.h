#pragma once

#include "Fleet/Upstream.h"

#include <Net/Net.h>

#include <array>
#include <functional>

namespace Radishplank {

enum class AttemptStatus {
    Complete,
    NotRun, ///< Guaranteed: the attempt has not reached an upstream and never will.
    Preempted,
    UpstreamLost,
    Rejected,
    Stopped, ///< The deadline passed, or the sink stopped accepting tokens.
    Lost,    ///< The agent is unreachable, so it is unknown whether the attempt ran.
};

struct AttemptResult
{
    AttemptStatus status = AttemptStatus::Lost;
    std::string detail;
    std::string finishReason;
    AnswerMessage answer;
    bool isBlamed = false;
    bool wasQueueFull = false;
};

/// Receives each token once and in order; returns false to stop the attempt.
using TokenSink = std::function<bool(std::string_view token)>;

/// Runs attempts at agents. Reattaches to an attempt whose connection stalls or breaks.
class AttemptClient
{
public:
    AttemptClient(ControlThread &control, std::string secret, LinkAllowance &batchLink);

    AttemptResult run(Upstream &upstream, const AttemptRequest &request, const TokenSink &sink);
    /// Reads the answer of an attempt that may have been started earlier; never starts it.
    AttemptResult attach(Upstream &upstream, const AttemptRequest &request, const TokenSink &sink);

    /// Returns the bytes exchanged with agents at this distance.
    [[nodiscard]] const Counter &bytes(Distance distance) const;
    [[nodiscard]] const Counter &reattached() const { return m_reattached; }

private:
    enum class ReadStatus { Ended, Broken, SinkClosed };
    enum class LineStatus { More, Last, SinkClosed };
    struct Progress
    {
        std::size_t lines = 0;
        AttemptResult result;
    };

    [[nodiscard]] HttpRequest makeStartRequest(const AttemptRequest &request,
                                               const std::string &incarnation) const;
    [[nodiscard]] HttpRequest makeAttachRequest(const AttemptRequest &request,
                                                std::size_t from) const;
    void noteBytes(const Upstream &upstream, WorkClass workClass, std::size_t bytes);
    ReadStatus readLines(HttpResponseStream &answer, const Upstream &upstream, WorkClass workClass,
                         const TokenSink &sink, Progress &progress);
    LineStatus handleLine(std::string_view line, const TokenSink &sink, Progress &progress);
    AttemptResult reattach(Upstream &upstream, const AttemptRequest &request, const TokenSink &sink,
                           Progress progress, const std::string &incarnation);
    AttemptResult stop(Upstream &upstream, const AttemptRequest &request,
                       const std::string &incarnation);
    AttemptResult cancelAndResolve(Upstream &upstream, const AttemptRequest &request,
                                   Progress progress, const std::string &incarnation);

    ControlThread &m_control;
    std::string m_secret;
    LinkAllowance &m_batchLink;
    Counter m_reattached;
    std::array<Counter, 3> m_bytes;
};

} // namespace Radishplank
