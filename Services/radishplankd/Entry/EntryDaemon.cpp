#include "Entry/EntryDaemon.h"

#include "Entry/CallerApi.h"
#include "Entry/LimitSharing.h"
#include "Fleet/ConfigurationSync.h"
#include "Fleet/MemberRegistration.h"
#include "Fleet/PlacementController.h"
#include "Fleet/VmWatch.h"
#include "Jobs/StoreSweeper.h"
#include "Operator/OperatorApi.h"

#include <Net/MemoryBudget.h>

#include <boost/fiber/operations.hpp>
#include <thread>

namespace Radishplank {

namespace {

constexpr Milliseconds crashRetention{600'000};
constexpr std::size_t maxCrashRecords = 1'000;
/// Upper bound on the time until every process has applied a change written to the store.
constexpr Milliseconds changePropagationTime{4'000};
constexpr double retryBudgetShare = 0.1;
constexpr double retryBudgetReserve = 20;
constexpr Milliseconds drainPollInterval{20};
constexpr Milliseconds flushTime{200};
/// Batch uploads are streamed to the store and bounded by the job's own limits instead.
constexpr std::size_t maxCallerBodyBytes = std::size_t{4} * 1024 * 1024;

/// Dispatches control calls to the components of an entry process. The control thread starts before
/// these components exist, so each pointer is set later.
class EntryControl : public ControlHandler
{
public:
    std::atomic<ConfigurationSync *> sync{nullptr};

    Result<ExchangeResponse> exchange(const ExchangeRequest &request) override
    {
        auto *target = sync.load();
        if (target == nullptr)
            return Error{ErrorKind::Unavailable, "this process is starting"};
        return target->answer(request);
    }

    std::atomic<LimitSharing *> limitSharing{nullptr};

    Result<std::vector<LimitShare>> lend(const LendRequest &request) override
    {
        auto *target = limitSharing.load();
        if (target == nullptr)
            return Error{ErrorKind::Unavailable, "this process is starting"};
        return target->answer(request);
    }

    std::atomic<DemandMeter *> demandMeter{nullptr};
    std::atomic<BatchScheduler *> batch{nullptr};

    Result<std::vector<PoolDemand>> demand() override
    {
        auto *meter = demandMeter.load();
        auto *scheduler = batch.load();
        if (meter == nullptr || scheduler == nullptr)
            return Error{ErrorKind::Unavailable, "this process is starting"};
        const auto waiting = scheduler->waitingPools();
        auto totals = meter->totals(SteadyClock().now());
        for (auto &each : totals)
            each.hasBatch = waiting.contains(each.pool);
        for (const auto &pool : waiting) {
            const bool isKnown
                    = std::any_of(totals.begin(), totals.end(),
                                  [&](const PoolDemand &each) { return each.pool == pool; });
            if (!isKnown)
                totals.push_back({pool, 0, 0, 0, true});
        }
        return totals;
    }
};

RoutingPolicy routingPolicy(const std::string &name)
{
    if (name == "random")
        return RoutingPolicy::Random;
    return name == "round-robin" ? RoutingPolicy::RoundRobin : RoutingPolicy::Balanced;
}

SyncSettings syncSettings(const EntrySettings &settings)
{
    SyncSettings result;
    result.node = NodeId(settings.common.node);
    result.zone = ZoneName(settings.common.zone);
    for (const auto &seed : settings.seeds)
        result.seeds.push_back(Endpoint::parse(seed).takeValue());
    return result;
}

void drain(HttpServer &callerServer, BatchScheduler &batch, const EntrySettings &settings,
           StopSchedule &stopSchedule, const std::function<void()> &unregister)
{
    const auto now = SteadyClock().now();
    const auto closesAt = now + settings.lameDuck;
    stopSchedule.begin(closesAt, closesAt + settings.common.drainTimeout, now);
    batch.beginDrain();
    callerServer.beginDrain();
    // The load balancer sends calls until it notices the drain, so they are still accepted.
    std::this_thread::sleep_until(stopSchedule.closesAt());
    // Unregister only now: the other processes then take over this process's limit shares.
    unregister();
    callerServer.closeAll(stopSchedule.endsAt());
    while (SteadyClock().now() < stopSchedule.endsAt() && batch.shardsHeld() > 0)
        std::this_thread::sleep_for(drainPollInterval);
    std::this_thread::sleep_for(flushTime);
}

} // namespace

Result<void> runEntryDaemon(const EntrySettings &settings)
{
    const auto &common = settings.common;
    const NodeId node(common.node);
    MemoryBudget::limitProcess(common.memoryLimit, common.descriptorLimit);
    HttpClient::setMaxTotalBodyBytes(MemoryBudget::ofProcess().limits().answerBytes);
    FiberThreads threads(common.threads);
    HttpObjectStore store(common.store, common.storeTimeout);
    EntryControl controlHandler;
    const auto control
            = TRY(ControlThread::start(common.controlListen, common.secret, controlHandler));
    ConfigurationReplica configuration;
    Fleet fleet(threads, *control, {node, ZoneName(common.zone), RegionName(common.region)},
                routingPolicy(settings.routing));
    LinkAllowance batchLink(settings.batchLinkBytes, SteadyClock().now());
    AttemptClient attempts(*control, common.secret, batchLink);
    DemandMeter demand;
    OwnerLimits limits;
    Quarantine quarantine(crashRetention, maxCrashRecords);
    RetryBudget retryBudget(retryBudgetShare, retryBudgetReserve);
    EntryMetrics metrics;
    UsageCounters usage;
    StopSchedule stopSchedule;
    EntryContext context{threads,  *control,  store,      configuration, fleet,
                         attempts, limits,    quarantine, retryBudget,   metrics,
                         usage,    batchLink, demand,     stopSchedule,  node};
    ConfigurationSync sync(context, syncSettings(settings), [&] {
        std::vector<NodeId> nodes;
        std::vector<AgentMember> agents;
        configuration.read([&](const CatalogueSnapshot &catalogue) {
            nodes = catalogue.nodeIds();
            agents.assign(catalogue.agents().begin(), catalogue.agents().end());
        });
        // Outside the read section: publishing waits until all readers have left theirs.
        batchLink.setMembers(nodes.size(), SteadyClock().now());
        limits.setMembers(std::move(nodes), node);
        fleet.update(agents);
    });
    controlHandler.sync = &sync;
    LimitSharing limitSharing(context);
    controlHandler.limitSharing = &limitSharing;
    CallRunner runner(context);
    runner.exchangeCrashes = [&sync] { sync.exchangeCrashes(); };
    KeyedCalls keyedCalls(context, runner);
    BatchScheduler batch(context, settings.lease);
    controlHandler.demandMeter = &demand;
    controlHandler.batch = &batch;
    PlacementController placement(context,
                                  {settings.placementInterval, settings.lease,
                                   settings.placementDwell, settings.loadInterval, common.secret});
    BatchApi batchApi(context, batch, settings.uploadTime);
    CallerApi callerApi(context, runner, keyedCalls, batchApi);
    OperatorApi operatorApi(context, sync, batch, placement, common.operatorToken);

    HttpServerLimits callerLimits;
    callerLimits.bodyBytes = maxCallerBodyBytes;
    const auto callerServer
            = TRY(HttpServer::listen(threads, settings.callerListen, callerLimits,
                                     [&](HttpExchange &exchange) { callerApi.handle(exchange); }));
    const auto operatorServer = TRY(
            HttpServer::listen(threads, common.operatorListen, {},
                               [&](HttpExchange &exchange) { operatorApi.handle(exchange); }));
    sync.start();
    limitSharing.start();
    VmWatch vmWatch(context, sync, common.store, common.storeTimeout);
    vmWatch.start();
    batch.start();
    StoreSweeper sweeper(context, {settings.uploadTime, settings.callMemory});
    sweeper.start();
    placement.start();

    const NodeMember member{node, advertisedEndpoint(common.controlAdvertise, control->endpoint()),
                            ZoneName(common.zone), RegionName(common.region)};
    MemberRegistration registration(store, std::string(nodePrefix) + common.node);
    threads.spawn([&registration, &limits, member] {
        registration.write(toJson(member));
        boost::this_fiber::sleep_for(changePropagationTime);
        limits.useOwnShare();
    });
    TRY(writeReadyFile(common.readyFile, {{"callers", callerServer->endpoint().text()},
                                          {"control", control->endpoint().text()},
                                          {"operator", operatorServer->endpoint().text()}}));
    logStateChange("entry-started", {{"callers", callerServer->endpoint().text()}});

    waitForStopSignal();
    logStateChange("entry-draining");
    operatorApi.setDraining();
    placement.beginDrain();
    drain(*callerServer, batch, settings, stopSchedule,
          [&] { threads.spawn([&registration] { registration.remove(); }); });
    logStateChange("entry-stopped");
    exitProcess(0);
}

} // namespace Radishplank
