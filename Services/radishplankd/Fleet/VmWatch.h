#pragma once

#include "Fleet/ConfigurationSync.h"

namespace Radishplank {

/// Carries what the platform's list of VMs tells into the members' objects, from where every
/// process learns it. Only processes that watch the store do so.
class VmWatch
{
public:
    VmWatch(EntryContext &context, const ConfigurationSync &sync, Endpoint platform,
            Milliseconds timeout);

    void start();

private:
    void watch();
    void take(const VmStatus &vm);
    void markLeaving(AgentMember agent);
    void remove(const std::string &key);

    EntryContext &m_context;
    const ConfigurationSync &m_sync;
    Endpoint m_platform;
    Milliseconds m_timeout;
};

} // namespace Radishplank
