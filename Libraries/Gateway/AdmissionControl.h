#pragma once

#include <Core/Core.h>
#include <Limits/Limits.h>
#include <Serving/Serving.h>

#include <mutex>
#include <string>

namespace Radishplank {

/// What is known of a call when it is decided whether it waits for a slot.
struct AdmissionRequest
{
    std::string service;
    /// Time since the call arrived.
    Milliseconds age{0};
    /// Time from the arrival of the call to its first event that its caller expects.
    Milliseconds target{0};
};

/// How long a call may wait for a slot, and why.
struct AdmissionLimit
{
    Milliseconds longestWait{0};
    ShareStanding standing = ShareStanding::Within;
};

/// Decides for one entry process which calls wait for a slot when none is free, and when refused
/// callers come back. Thread-safe; no operation waits.
class AdmissionControl
{
public:
    AdmissionControl();

    [[nodiscard]] AdmissionLimit limitFor(const AdmissionRequest &request, TimePoint now) const;
    /// Returns the retry delay of a call that is refused for lack of a slot; `timeLeft` is the time
    /// until its caller gives up.
    [[nodiscard]] Milliseconds retryAfter(Milliseconds timeLeft, TimePoint now);
    /// Records the time from the sending of a call to its first event, see CallAdmission.
    void noteFirstEvent(const std::string &service, Milliseconds expectedWait,
                        Milliseconds observed, TimePoint now);
    /// Records that a call has been answered and its slot is free again.
    void noteAnswered(TimePoint now);

private:
    mutable std::mutex m_mutex;
    CallAdmission m_admission;
    RetryAfterSchedule m_returns;
};

} // namespace Radishplank
