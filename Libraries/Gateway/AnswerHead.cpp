#include <Gateway/AnswerHead.h>

#include <Gateway/HeaderRules.h>

namespace Radishplank {

bool noteAnswerHead(UpstreamTable::Reservation &reservation, HttpResponseStream &answer,
                    const CallHeaderNames &names, const std::string &id)
{
    const auto &headers = answer.headers();
    if (headers.find(names.upstreamLeaving))
        reservation.noteLeaving();
    const bool isSuccess = answer.status() >= 200 && answer.status() < 300;
    reservation.noteRequestLimit(requestLimitOf(headers, names.requestLimit),
                                 isSuccess ? UpstreamLimits::AnswerKind::Success
                                           : UpstreamLimits::AnswerKind::Other);
    constexpr unsigned misdirected = 421;
    if (answer.status() != misdirected && !headers.find(names.notExecuted))
        return false;
    // A misdirected request has reached a different upstream than expected, which gets no further
    // calls for now; a full upstream may be tried again.
    if (answer.status() == misdirected)
        reservation.reportHealth(UpstreamHealth::Failed);
    logDecision("attempt-not-run", {{"id", id},
                                    {"upstream", reservation.upstream().id.text()},
                                    {"status", std::to_string(answer.status())},
                                    {"earlierCalls", std::to_string(answer.earlierCalls())}});
    answer.skipBody();
    return true;
}

} // namespace Radishplank
