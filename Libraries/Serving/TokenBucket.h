#pragma once

#include <Core/Clock.h>

namespace Radishplank {

/// A rate limiter that allows bursts. Pure; driven by the times passed in.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double burst, TimePoint now);

    /// Takes one token; returns false if none is available.
    [[nodiscard]] bool take(TimePoint now);
    /// Returns the time until a token is available, if no other caller takes it.
    [[nodiscard]] Duration waitTime(TimePoint now);
    /// Changes the rate; accumulated tokens are kept up to the new burst.
    void configure(double perSecond, double burst, TimePoint now);
    [[nodiscard]] double perSecond() const { return m_perSecond; }

private:
    void refill(TimePoint now);

    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace Radishplank
