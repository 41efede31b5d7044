#include "Agent/AgentDaemon.h"

#include "Agent/Agent.h"
#include "Entry/ApiAnswer.h"
#include "Fleet/MemberRegistration.h"
#include "Operator/OperatorApi.h"

#include <Net/MemoryBudget.h>
#include <Placement/Placement.h>

#include <boost/fiber/operations.hpp>
#include <thread>

namespace Radishplank {

namespace {

constexpr Milliseconds drainPollInterval{20};
constexpr Milliseconds storeRetryInterval{500};
/// Time for entry processes to receive the last lines of their attempts before the process exits.
constexpr Milliseconds finalLinesGracePeriod{300};

void serveOperatorRequest(HttpExchange &exchange, Agent &agent, const std::string &tokenDigest)
{
    const auto target = HttpTarget::parse(exchange.request().target);
    if (target.path == "/healthz")
        (void)exchange.respond({200, {}, "ok\n"});
    else if (target.path == "/metrics")
        (void)exchange.respond({200, {}, agent.metrics()});
    else if (target.path == "/readyz")
        (void)exchange.respond(agent.observe().value().isAccepting
                                       ? HttpResponse{200, {}, "ready\n"}
                                       : HttpResponse{503, {}, "not accepting\n"});
    else if (!hasBearerToken(exchange.request(), tokenDigest))
        respondError(exchange, 401, Outcome::NotRun, "unauthorized",
                     "the operators' bearer token is required");
    else if (target.path == "/state")
        respondJson(exchange, 200, agent.state());
    else
        respondError(exchange, 404, Outcome::NotRun, "not_found", "no such path");
}

AgentSettings agentSettings(const AgentRoleSettings &settings)
{
    AgentSettings result;
    result.upstream = settings.upstream;
    result.kind = settings.kind == "model" ? EntryKind::Model : EntryKind::Service;
    const auto order = settings.scheduling == "online-first" ? SlotOrder::OnlineFirst
                                                             : SlotOrder::ArrivalOrder;
    result.slots = {settings.slots, settings.onlineQueue, settings.batchQueue, order};
    result.secret = settings.common.secret;
    result.models = settings.models;
    return result;
}

AgentMember agentMember(const AgentRoleSettings &settings, const Endpoint &data,
                        const Endpoint &control)
{
    AgentMember member;
    member.data = data;
    member.control = control;
    member.zone = ZoneName(settings.common.zone);
    member.region = RegionName(settings.common.region);
    member.pools = settings.pools;
    member.models = settings.models;
    member.slots = static_cast<std::int64_t>(settings.slots);
    return member;
}

/// Reads the current fencing number from the placement lease, so that an agent still rejects stale
/// orders after a restart. Retries until the store is available.
std::int64_t readFencing(HttpObjectStore &store)
{
    while (true) {
        const auto object = store.get(placementLeaseKey);
        if (object.isError() && object.error().kind == ErrorKind::NotFound)
            return 0;
        if (!object.isError()) {
            const auto lease = parsePlacementLease(object.value().value);
            return lease.isError() ? 0 : lease.value().fencing;
        }
        boost::this_fiber::sleep_for(storeRetryInterval);
    }
}

void drain(Agent &agent, HttpServer &dataServer, Milliseconds timeout)
{
    agent.beginDrain();
    dataServer.beginDrain();
    const auto until = SteadyClock().now() + timeout;
    while (SteadyClock().now() < until
           && (agent.attemptsInProgress() > 0 || dataServer.activeExchanges() > 0))
        std::this_thread::sleep_for(drainPollInterval);
    std::this_thread::sleep_for(finalLinesGracePeriod);
}

} // namespace

Result<void> runAgentDaemon(const AgentRoleSettings &settings)
{
    const auto &common = settings.common;
    MemoryBudget::limitProcess(common.memoryLimit, common.descriptorLimit);
    HttpClient::setMaxTotalBodyBytes(MemoryBudget::ofProcess().limits().answerBytes);
    FiberThreads threads(common.threads);
    Agent agent(threads, agentSettings(settings));
    HttpObjectStore store(common.store, common.storeTimeout);
    const auto control = TRY(ControlThread::start(common.controlListen, common.secret, agent));
    const auto dataServer
            = TRY(HttpServer::listen(threads, settings.dataListen, {},
                                     [&](HttpExchange &exchange) { agent.handle(exchange); }));
    const auto tokenDigest = sha256Hex(common.operatorToken);
    const auto operatorServer = TRY(
            HttpServer::listen(threads, common.operatorListen, {}, [&](HttpExchange &exchange) {
                serveOperatorRequest(exchange, agent, tokenDigest);
            }));
    agent.start();

    const auto member = agentMember(
            settings, advertisedEndpoint(settings.dataAdvertise, dataServer->endpoint()),
            advertisedEndpoint(common.controlAdvertise, control->endpoint()));
    MemberRegistration registration(store, std::string(agentPrefix) + common.node);
    threads.spawn([&store, &agent] { agent.orders().initializeFencing(readFencing(store)); });
    threads.spawn([&registration, &agent, member] {
        registration.write(toJson(member));
        if (member.models.empty())
            return;
        agent.loadModels([&registration, &member](const std::string &model) {
            auto serving = member;
            serving.pools = {model};
            registration.write(toJson(serving));
        });
    });
    TRY(writeReadyFile(common.readyFile, {{"data", dataServer->endpoint().text()},
                                          {"control", control->endpoint().text()},
                                          {"operator", operatorServer->endpoint().text()}}));
    logStateChange("agent-started", {{"data", dataServer->endpoint().text()}});

    waitForStopSignal();
    logStateChange("agent-draining");
    threads.spawn([&registration] { registration.remove(); });
    drain(agent, *dataServer, common.drainTimeout);
    logStateChange("agent-stopped");
    exitProcess(0);
}

} // namespace Radishplank
