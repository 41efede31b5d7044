#pragma once

#include "Fleet/ConfigurationSync.h"

namespace Radishplank {

/// Polls the platform's list of VMs and updates the members' objects in the store accordingly, from
/// where the changes reach every process. Only processes that watch the store do this.
class VmWatch
{
public:
    VmWatch(EntryContext &context, const ConfigurationSync &sync, Endpoint platform,
            Milliseconds timeout);

    void start();

private:
    void pollLoop();
    void applyVmStatus(const VmStatus &vm);
    void markLeaving(AgentMember agent);
    void remove(const std::string &key);

    EntryContext &m_context;
    const ConfigurationSync &m_sync;
    Endpoint m_platform;
    Milliseconds m_timeout;
};

} // namespace Radishplank
