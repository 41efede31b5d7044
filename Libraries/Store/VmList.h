#pragma once

#include <Core/Endpoint.h>
#include <Net/Net.h>

#include <string>
#include <vector>

namespace Radishplank {

enum class VmState { Live, Leaving, Gone };

struct VmStatus
{
    std::string name;
    VmState state = VmState::Live;
};

/// Fetches the platform's list of VMs, which may lag behind their actual state.
Result<std::vector<VmStatus>> readVmList(const Endpoint &platform, Milliseconds timeout);

} // namespace Radishplank
