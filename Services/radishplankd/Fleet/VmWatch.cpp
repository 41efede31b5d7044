#include "Fleet/VmWatch.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr Milliseconds pollInterval{1'000};

} // namespace

VmWatch::VmWatch(EntryContext &context, const ConfigurationSync &sync, Endpoint platform,
                 Milliseconds timeout)
    : m_context(context)
    , m_sync(sync)
    , m_platform(std::move(platform))
    , m_timeout(timeout)
{
}

void VmWatch::start()
{
    m_context.threads.spawn([this] { pollLoop(); });
}

void VmWatch::pollLoop()
{
    while (true) {
        boost::this_fiber::sleep_for(pollInterval);
        if (!m_sync.isWatching())
            continue;
        const auto vms = readVmList(m_platform, m_timeout);
        if (vms.isError())
            continue;
        for (const auto &vm : vms.value())
            applyVmStatus(vm);
    }
}

void VmWatch::applyVmStatus(const VmStatus &vm)
{
    if (vm.state == VmState::Live)
        return;
    std::optional<AgentMember> agent;
    bool isNode = false;
    m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        for (const auto &each : catalogue.agents()) {
            if (each.id.text() == vm.name)
                agent = each;
        }
        isNode = std::any_of(catalogue.nodes().begin(), catalogue.nodes().end(),
                             [&](const NodeMember &node) { return node.id.text() == vm.name; });
    });
    if (vm.state == VmState::Gone) {
        if (agent)
            remove(std::string(agentPrefix) + vm.name);
        if (isNode)
            remove(std::string(nodePrefix) + vm.name);
    } else if (agent && agent->state == MemberState::Live) {
        markLeaving(std::move(*agent));
    }
}

void VmWatch::markLeaving(AgentMember agent)
{
    const auto key = std::string(agentPrefix) + agent.id.text();
    const auto current = m_context.store.get(key);
    if (current.isError())
        return;
    agent.state = MemberState::Leaving;
    // On a conflict another process was faster or the agent has changed; the next poll retries.
    const auto written = m_context.store.put(key, boost::json::serialize(toJson(agent)),
                                             current.value().version);
    if (!written.isError())
        logStateChange("member-leaving", {{"member", agent.id.text()}});
}

void VmWatch::remove(const std::string &key)
{
    const auto current = m_context.store.get(key);
    if (!current.isError() && !m_context.store.remove(key, current.value().version).isError())
        logStateChange("member-removed", {{"key", key}});
}

} // namespace Radishplank
