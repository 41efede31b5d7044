#pragma once

#include <Core/Core.h>

namespace Radishplank {

/// Estimates run times as a moving average of seconds per unit of size over completed items.
/// Performs no I/O.
class RunTimeEstimate
{
public:
    /// Records the total run time of a completed item.
    void recordCompletion(double size, Duration runTime);
    /// Returns the expected total run time of an item; 0 until an item has completed.
    [[nodiscard]] Duration expected(double size) const;

private:
    double m_secondsPerUnit = 0;
};

} // namespace Radishplank
