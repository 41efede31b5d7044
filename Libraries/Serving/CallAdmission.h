#pragma once

#include <Core/Core.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Radishplank {

/// How the slots that an owner holds compare with its max-min fair share of all slots.
enum class ShareStanding {
    Below,  ///< The owner holds no more than its share.
    Within, ///< There is no other owner, so that nothing has to be divided.
    Above,  ///< The owner holds more than its share.
};

/// Decides how long a call may be expected to wait for a slot.
///
/// A call whose first event would miss its target even so occupies a slot that a later call could
/// use in time, and a queue that makes every call slightly late never shrinks while the load lasts.
/// The time from the expected beginning to the first event is learned from earlier calls of the
/// service. Calls for which a slot is free are always admitted. Pure.
class CallAdmission
{
public:
    /// Returns the longest expected wait with which a call may be sent to an upstream; 0 if it may
    /// only be sent to one with a free slot. `age` is the time since the arrival of the call,
    /// `target` the time from there to its first event.
    [[nodiscard]] Milliseconds longestWait(const std::string &service, Milliseconds age,
                                           Milliseconds target, ShareStanding standing,
                                           TimePoint now) const;
    /// Records the time from the sending of a call to its first event; `expectedWait` is the wait
    /// for a slot that was expected when the call was sent.
    void noteFirstEvent(const std::string &service, Milliseconds expectedWait,
                        Milliseconds observed, TimePoint now);

private:
    /// A histogram of times whose weights decay exponentially.
    class DecayingTimes
    {
    public:
        void note(Milliseconds time, TimePoint now);
        /// Returns a quantile of the times, and of `prior` with the weight of a few recent times.
        [[nodiscard]] Milliseconds quantile(double quantile, Milliseconds prior,
                                            TimePoint now) const;

    private:
        [[nodiscard]] double decayUntil(TimePoint now) const;

        std::vector<double> m_weights;
        TimePoint m_decayedAt{};
    };
    struct Service
    {
        /// Times to the first event of calls for which a slot was free.
        DecayingTimes whenFree;
        /// The same of calls that had to wait, less their expected wait.
        DecayingTimes afterWait;
    };

    std::map<std::string, Service> m_services;
};

} // namespace Radishplank
