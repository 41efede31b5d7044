#pragma once

#include <Core/Core.h>

namespace Radishplank {

/// How long items run, learnt from those that are done. Pure.
class RunTimeEstimate
{
public:
    /// Notes that an item of a size has run so long in all.
    void noteDone(double size, Duration ranFor);
    /// Returns how long an item of a size will have run when it is done; 0 as long as none is.
    [[nodiscard]] Duration expected(double size) const;

private:
    double m_secondsPerUnit = 0;
};

} // namespace Radishplank
