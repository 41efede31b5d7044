#include "Common/DaemonSettings.h"

namespace Radishplank {

namespace {

constexpr auto required = Settings::Presence::Required;
constexpr std::uint64_t maxThreads = 256;
constexpr Milliseconds shortestLease{1'000};
constexpr Milliseconds shortestUploadTime{1'000};
constexpr Milliseconds shortestCallMemory{10'000};

} // namespace

void bindCommonSettings(Settings &settings, CommonSettings &values)
{
    settings.bind(&values.node, "node", "NAME", "Name of this VM, unique in the fleet.", required);
    settings.bind(&values.zone, "zone", "NAME", "Availability zone of this VM.", required);
    settings.bind(&values.region, "region", "NAME", "Region of this VM.", required);
    settings.bind(&values.controlListen, "control-listen", "ADDRESS:PORT",
                  "Where to take control calls of the system's own processes.");
    settings.bind(&values.controlAdvertise, "control-advertise", "ADDRESS:PORT",
                  "Control address told to others, if it differs from the one listened on.");
    settings.bind(&values.operatorListen, "operator-listen", "ADDRESS:PORT",
                  "Where to serve operators: state, metrics, health.");
    settings.bind(&values.store, "store", "ADDRESS:PORT", "The platform's object store.", required);
    settings.bind(&values.storeTimeout, "store-timeout", "MILLISECONDS",
                  "Longest wait for one answer of the store.");
    settings.bind(&values.secret, "cluster-secret", "TEXT",
                  "Shared by the system's own processes; better set by environment.", required);
    settings.bind(&values.operatorToken, "operator-token", "TEXT",
                  "Bearer token of operators; better set by environment.", required);
    settings.bind(&values.threads, "threads", "COUNT", "Threads that run fibers.");
    settings.bind(&values.drainTimeout, "drain-timeout", "MILLISECONDS",
                  "Longest wait for running work at a planned stop.");
    settings.bind(&values.logFormat, "log-format", "text|json", "Form of the log lines.");
    settings.bind(&values.readyFile, "ready-file", "PATH",
                  "Written with this process's addresses once it serves.");
}

void bindEntrySettings(Settings &settings, EntrySettings &values)
{
    bindCommonSettings(settings, values.common);
    settings.bind(&values.callerListen, "caller-listen", "ADDRESS:PORT", "Where to serve callers.");
    settings.bind(&values.seeds, "seeds", "ADDRESS:PORT,...",
                  "Control addresses of other entry processes, asked while the store is out.");
    settings.bind(&values.lameDuck, "lame-duck", "MILLISECONDS",
                  "How long a stopping process still takes calls, for the balancer to notice.");
    settings.bind(
            &values.lease, "lease", "MILLISECONDS",
            "A holder of batch work that is silent for so long has lost it; the same everywhere.");
    settings.bind(&values.routing, "routing", "balanced|random|round-robin",
                  "How upstreams are chosen; the last two are for comparison.");
    settings.bind(&values.batchLinkBytes, "batch-link-bytes", "BYTES",
                  "Bytes a second between regions that batch may move, all entry processes "
                  "together; 0 keeps it in its region.");
    settings.bind(&values.uploadTime, "upload-time", "MILLISECONDS",
                  "Longest time that the upload of a batch job may take; the same everywhere. What "
                  "is left of uploads cut off is removed after twice that time.");
    settings.bind(&values.callMemory, "call-memory", "MILLISECONDS",
                  "How long an idempotency key finds the first call; the same everywhere.");
    settings.bind(&values.placementInterval, "placement-interval", "MILLISECONDS",
                  "How often the process that places models looks at the demand.");
    settings.bind(&values.placementDwell, "placement-dwell", "MILLISECONDS",
                  "An engine keeps a model for at least so long.");
    settings.bind(&values.loadInterval, "load-interval", "MILLISECONDS",
                  "Least time between two loads of models in the whole fleet.");
}

void bindAgentSettings(Settings &settings, AgentRoleSettings &values)
{
    bindCommonSettings(settings, values.common);
    settings.bind(&values.dataListen, "data-listen", "ADDRESS:PORT",
                  "Where to take attempts from entry processes.");
    settings.bind(&values.dataAdvertise, "data-advertise", "ADDRESS:PORT",
                  "Data address told to others, if it differs from the one listened on.");
    settings.bind(&values.upstream, "upstream", "ADDRESS:PORT", "The upstream beside this agent.",
                  required);
    settings.bind(&values.kind, "kind", "model|service", "What the upstream is.");
    settings.bind(&values.pools, "pools", "NAME,...", "Pools that the upstream belongs to.");
    settings.bind(&values.models, "models", "NAME,...",
                  "Models that the engine loads on order; its pool is then the model it has.");
    settings.bind(&values.slots, "slots", "COUNT", "Calls that the upstream runs at once.");
    settings.bind(&values.onlineQueue, "online-queue", "COUNT",
                  "Online calls that may wait for a slot; further ones are refused at once.");
    settings.bind(&values.batchQueue, "batch-queue", "COUNT",
                  "Batch items that may wait for a slot, so that none stays idle.");
    settings.bind(&values.scheduling, "scheduling", "online-first|arrival-order",
                  "Order of the calls; the second knows no classes and is for comparison.");
}

Endpoint advertised(const Endpoint &setting, const Endpoint &listening)
{
    return setting.address.empty() ? listening : setting;
}

void checkCommonSettings(const CommonSettings &values, Findings &findings)
{
    if (values.threads < 1 || values.threads > maxThreads)
        findings.add("--threads", "must lie between 1 and " + std::to_string(maxThreads));
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
    if (values.lease < shortestLease)
        findings.add("--lease", "must be at least " + std::to_string(shortestLease.count()));
    if (values.placementInterval.count() == 0)
        findings.add("--placement-interval", "must be above 0");
    if (values.uploadTime < shortestUploadTime)
        findings.add("--upload-time",
                     "must be at least " + std::to_string(shortestUploadTime.count()));
    if (values.callMemory < shortestCallMemory)
        findings.add("--call-memory",
                     "must be at least " + std::to_string(shortestCallMemory.count()));
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
        findings.add("--pools", "either pools or --models must be named, and not both");
    if (!values.models.empty() && values.kind != "model")
        findings.add("--models", "only a model engine loads models");
}

} // namespace Radishplank
