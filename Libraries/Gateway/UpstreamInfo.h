#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <string>

namespace Radishplank {

/// What an upstream announces about itself.
struct UpstreamInfo
{
    /// Identifies the upstream; `startedAt` distinguishes starts with the same id.
    UpstreamId id;
    std::string service;
    Endpoint endpoint;
    ZoneName zone;
    unsigned slots = 1;
    bool isDraining = false;
    /// Unix time in milliseconds at which the upstream started; 0 if unknown.
    std::int64_t startedAt = 0;

    bool operator==(const UpstreamInfo &) const = default;
};

} // namespace Radishplank
