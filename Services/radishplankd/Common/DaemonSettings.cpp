#include "Common/DaemonSettings.h"

namespace Radishplank {

namespace {

constexpr auto required = Settings::Presence::Required;
constexpr std::uint64_t maxThreads = 256;
constexpr Milliseconds minLease{1'000};
constexpr Milliseconds minUploadTime{1'000};
constexpr Milliseconds minCallMemory{10'000};

} // namespace

void bindCommonSettings(Settings &settings, CommonSettings &values)
{
    settings.bind(&values.node, "node", "NAME", "Name of this VM, unique in the fleet.", required);
    settings.bind(&values.zone, "zone", "NAME", "Availability zone of this VM.", required);
    settings.bind(&values.region, "region", "NAME", "Region of this VM.", required);
    settings.bind(&values.controlListen, "control-listen", "ADDRESS:PORT",
                  "Address for control calls of the other processes of the fleet.");
    settings.bind(&values.controlAdvertise, "control-advertise", "ADDRESS:PORT",
                  "Control address to advertise, if it differs from the listening one.");
    settings.bind(&values.operatorListen, "operator-listen", "ADDRESS:PORT",
                  "Address for operators: state, metrics, health.");
    settings.bind(&values.store, "store", "ADDRESS:PORT", "Address of the platform's object store.",
                  required);
    settings.bind(&values.storeTimeout, "store-timeout", "MILLISECONDS",
                  "Timeout for one response of the store.");
    settings.bind(&values.secret, "cluster-secret", "TEXT",
                  "Secret shared by all processes of the fleet; preferably set in the environment.",
                  required);
    settings.bind(&values.operatorToken, "operator-token", "TEXT",
                  "Bearer token of operators; preferably set in the environment.", required);
    settings.bind(&values.threads, "threads", "COUNT", "Number of threads that run fibers.");
    settings.bind(&values.drainTimeout, "drain-timeout", "MILLISECONDS",
                  "Longest wait for running work at a graceful shutdown.");
    settings.bind(&values.memoryLimit, "memory-limit", "MB",
                  "Memory of the machine, which limits buffers and connections; 0 if unknown.");
    settings.bind(&values.descriptorLimit, "descriptor-limit", "COUNT",
                  "File descriptors that the process may open; 0 if unknown.");
    settings.bind(&values.logFormat, "log-format", "text|json", "Format of the log lines.");
    settings.bind(&values.readyFile, "ready-file", "PATH",
                  "File that is written with the addresses of this process once it serves.");
}

void bindEntrySettings(Settings &settings, EntrySettings &values)
{
    bindCommonSettings(settings, values.common);
    settings.bind(&values.callerListen, "caller-listen", "ADDRESS:PORT", "Address for callers.");
    settings.bind(&values.seeds, "seeds", "ADDRESS:PORT,...",
                  "Control addresses of other entry processes, queried while the store is down.");
    settings.bind(
            &values.lameDuck, "lame-duck", "MILLISECONDS",
            "How long a stopping process still accepts calls, so that the load balancer notices.");
    settings.bind(
            &values.lease, "lease", "MILLISECONDS",
            "Time without renewal after which a holder of batch work loses its lease; must be "
            "the same in all entry processes.");
    settings.bind(
            &values.routing, "routing", "balanced|random|round-robin",
            "Policy for choosing upstreams; random and round-robin are baselines for comparison.");
    settings.bind(&values.batchLinkBytes, "batch-link-bytes", "BYTES",
                  "Bytes per second that batch work may transfer between regions, for all entry "
                  "processes together; 0 keeps batch work in its region.");
    settings.bind(
            &values.uploadTime, "upload-time", "MILLISECONDS",
            "Longest duration of the upload of a batch job; must be the same in all entry "
            "processes. The remains of interrupted uploads are removed after twice that time.");
    settings.bind(&values.callMemory, "call-memory", "MILLISECONDS",
                  "How long an idempotency key returns the first call; must be the same in all "
                  "entry processes.");
    settings.bind(&values.placementInterval, "placement-interval", "MILLISECONDS",
                  "Interval at which the holder of the placement lease evaluates the demand.");
    settings.bind(&values.placementDwell, "placement-dwell", "MILLISECONDS",
                  "Minimum time that an engine keeps a model.");
    settings.bind(&values.loadInterval, "load-interval", "MILLISECONDS",
                  "Minimum time between two model loads in the whole fleet.");
}

void bindAgentSettings(Settings &settings, AgentRoleSettings &values)
{
    bindCommonSettings(settings, values.common);
    settings.bind(&values.dataListen, "data-listen", "ADDRESS:PORT",
                  "Address for attempts of entry processes.");
    settings.bind(&values.dataAdvertise, "data-advertise", "ADDRESS:PORT",
                  "Data address to advertise, if it differs from the listening one.");
    settings.bind(&values.upstream, "upstream", "ADDRESS:PORT",
                  "Address of the upstream that this agent serves.", required);
    settings.bind(&values.kind, "kind", "model|service", "Kind of the upstream.");
    settings.bind(&values.pools, "pools", "NAME,...", "Pools that the upstream belongs to.");
    settings.bind(&values.models, "models", "NAME,...",
                  "Models that the engine can load on order; its pool is then its loaded model.");
    settings.bind(&values.slots, "slots", "COUNT",
                  "Number of calls that the upstream runs concurrently.");
    settings.bind(&values.onlineQueue, "online-queue", "COUNT",
                  "Online calls that may wait for a slot; further ones are rejected immediately.");
    settings.bind(&values.batchQueue, "batch-queue", "COUNT",
                  "Batch items that may wait for a slot, which keeps the slots busy.");
    settings.bind(&values.scheduling, "scheduling", "online-first|arrival-order",
                  "Order of the calls; arrival-order ignores work classes and is a baseline for "
                  "comparison.");
}

Endpoint advertisedEndpoint(const Endpoint &setting, const Endpoint &listening)
{
    return setting.address.empty() ? listening : setting;
}

void checkCommonSettings(const CommonSettings &values, Findings &findings)
{
    if (values.threads < 1 || values.threads > maxThreads)
        findings.add("--threads", "must be between 1 and " + std::to_string(maxThreads));
    if (values.logFormat != "text" && values.logFormat != "json")
        findings.add("--log-format", "must be text or json");
    if (values.node.find('/') != std::string::npos)
        findings.add("--node", "must not contain '/'");
    if (values.storeTimeout.count() == 0)
        findings.add("--store-timeout", "must be above 0");
}

void checkEntrySettings(const EntrySettings &values, Findings &findings)
{
    checkCommonSettings(values.common, findings);
    for (const auto &seed : values.seeds) {
        const auto parsed = Endpoint::parse(seed);
        if (parsed.isError())
            findings.add("--seeds", parsed.error().message);
    }
    if (values.lease < minLease)
        findings.add("--lease", "must be at least " + std::to_string(minLease.count()));
    if (values.placementInterval.count() == 0)
        findings.add("--placement-interval", "must be above 0");
    if (values.uploadTime < minUploadTime)
        findings.add("--upload-time", "must be at least " + std::to_string(minUploadTime.count()));
    if (values.callMemory < minCallMemory)
        findings.add("--call-memory", "must be at least " + std::to_string(minCallMemory.count()));
    if (values.batchLinkBytes < 0)
        findings.add("--batch-link-bytes", "must not be negative");
    if (values.routing != "balanced" && values.routing != "random"
        && values.routing != "round-robin")
        findings.add("--routing", "must be balanced, random or round-robin");
}

void checkAgentSettings(const AgentRoleSettings &values, Findings &findings)
{
    checkCommonSettings(values.common, findings);
    if (values.kind != "model" && values.kind != "service")
        findings.add("--kind", "must be model or service");
    if (values.scheduling != "online-first" && values.scheduling != "arrival-order")
        findings.add("--scheduling", "must be online-first or arrival-order");
    if (values.slots < 1)
        findings.add("--slots", "must be above 0");
    if (values.pools.empty() == values.models.empty())
        findings.add("--pools", "exactly one of --pools and --models must be set");
    if (!values.models.empty() && values.kind != "model")
        findings.add("--models", "requires --kind=model");
}

} // namespace Radishplank
