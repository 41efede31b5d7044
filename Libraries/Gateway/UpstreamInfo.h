#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <string>

namespace Radishplank {

/// What an upstream says of itself.
struct UpstreamInfo
{
    /// Names one start of the upstream, unless `startedAt` differs.
    UpstreamId id;
    std::string service;
    Endpoint endpoint;
    ZoneName zone;
    unsigned slots = 1;
    bool isDraining = false;
    /// Unix time of its start in milliseconds; 0 if it is not known.
    std::int64_t startedAt = 0;

    bool operator==(const UpstreamInfo &) const = default;
};

} // namespace Radishplank
