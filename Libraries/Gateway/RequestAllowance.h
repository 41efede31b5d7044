#pragma once

#include <Core/Clock.h>

namespace Radishplank {

/// The requests that one process may send to a limited upstream, some of which it grants to its
/// peers. Starts empty. Pure; driven by the times passed in.
class RequestAllowance
{
public:
    explicit RequestAllowance(TimePoint now);

    /// Sets the requests per second, and how many may be sent at once after a pause.
    void setRate(double perSecond, double burst, TimePoint now);
    /// Makes a part of a request available at once.
    void advance(double part, TimePoint now);
    /// Sets which part of the rate, from 0 to 1, is for the peers.
    void setPeerPart(double part);

    /// Returns the time until this process may send a request; an estimate if peers need some.
    [[nodiscard]] Duration waitTime(TimePoint now);
    /// Counts a request that this process sends.
    void take(TimePoint now);
    /// Takes a request for a peer; returns false if there is none, or if the next one is for this
    /// process.
    [[nodiscard]] bool takeForPeer(TimePoint now);

private:
    void refill(TimePoint now);
    void spend(TimePoint now);
    /// Returns whether the next request is for this process.
    [[nodiscard]] bool isOwnTurn() const;

    double m_perSecond = 0;
    double m_burst = 0;
    double m_peerPart = 0;
    /// Unused requests, fractional.
    double m_requests = 0;
    /// Requests that this process would have to send to have had its part of the rate.
    double m_ownDue = 0;
    TimePoint m_refilledAt;
    /// Since when there has been an unused request.
    TimePoint m_availableSince;
};

} // namespace Radishplank
