#pragma once

#include <Core/Clock.h>

namespace Radishplank {

/// A rate limit that allows bursts; pure, driven by the time passed in.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double burst, TimePoint now);

    /// Takes one token; false if there is none.
    [[nodiscard]] bool take(TimePoint now);
    /// Returns how long until a token is there, if nobody else takes it.
    [[nodiscard]] Duration waitTime(TimePoint now);
    /// Changes the rate; what has gathered is kept up to the new burst.
    void configure(double perSecond, double burst, TimePoint now);
    [[nodiscard]] double perSecond() const { return m_perSecond; }

private:
    void refill(TimePoint now);

    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_filledAt;
};

} // namespace Radishplank
