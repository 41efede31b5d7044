#include <Control/ControlServer.h>

#include <Control/ControlCodec.h>

#include <algorithm>
#include <kj/debug.h>
#include <limits>

namespace Radishplank {

namespace {

std::uint16_t clampToUint16(std::uint32_t count)
{
    constexpr std::uint32_t highest = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(count, highest));
}

/// Converts a handler's error into an exception, which Cap'n Proto propagates to the caller.
template<typename Value>
Value valueOrThrow(Result<Value> result)
{
    if (result.isError())
        kj::throwFatalException(KJ_EXCEPTION(FAILED, result.error().message));
    return result.takeValue();
}

} // namespace

kj::Promise<void> ControlServer::observe(ObserveContext context)
{
    const auto report = valueOrThrow(m_handler.observe());
    auto builder = context.getResults().initReport();
    builder.setIncarnation(report.incarnation);
    builder.setSlots(clampToUint16(report.slots));
    builder.setOnlineRunning(clampToUint16(report.onlineRunning));
    builder.setOnlineQueued(clampToUint16(report.onlineQueued));
    builder.setBatchRunning(clampToUint16(report.batchRunning));
    builder.setBatchQueued(clampToUint16(report.batchQueued));
    builder.setIsAccepting(report.isAccepting);
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::cancelAttempt(CancelAttemptContext context)
{
    const auto params = context.getParams();
    const auto fate = valueOrThrow(m_handler.cancelAttempt(AttemptId(params.getAttempt().cStr()),
                                                           params.getIncarnation().cStr()));
    auto rpcFate = Rpc::AttemptFate::UNKNOWN;
    if (fate == AttemptFate::NeverBegan)
        rpcFate = Rpc::AttemptFate::NEVER_BEGAN;
    else if (fate == AttemptFate::Began)
        rpcFate = Rpc::AttemptFate::BEGAN;
    context.getResults().setFate(rpcFate);
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::exchange(ExchangeContext context)
{
    const auto params = context.getParams();
    const auto response = valueOrThrow(
            m_handler.exchange({NodeId(params.getNode().cStr()), params.getRevision(),
                                readCrashes(params.getCrashes())}));
    auto results = context.getResults();
    results.setRevision(response.revision);
    results.setDigest(response.digest);
    results.setStalenessMilliseconds(static_cast<std::uint64_t>(response.staleness.count()));
    auto objects = results.initObjects(static_cast<unsigned>(response.changes.size()));
    for (std::size_t i = 0; i < response.changes.size(); ++i) {
        const auto &change = response.changes[i];
        auto object = objects[static_cast<unsigned>(i)];
        object.setKey(change.object.key);
        object.setValue(change.object.value);
        object.setVersion(change.object.version);
        object.setIsRemoval(change.isRemoval);
    }
    writeCrashes(results.initCrashes(static_cast<unsigned>(response.crashes.size())),
                 response.crashes);
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::lend(LendContext context)
{
    const auto params = context.getParams();
    const auto lent = valueOrThrow(
            m_handler.lend({NodeId(params.getNode().cStr()), readShares(params.getWanted())}));
    writeShares(context.getResults().initLent(static_cast<unsigned>(lent.size())), lent);
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::demand(DemandContext context)
{
    const auto demands = valueOrThrow(m_handler.demand());
    auto pools = context.getResults().initPools(static_cast<unsigned>(demands.size()));
    for (std::size_t i = 0; i < demands.size(); ++i) {
        auto pool = pools[static_cast<unsigned>(i)];
        pool.setPool(demands[i].pool);
        pool.setSlotSeconds(demands[i].slotSeconds);
        pool.setRefused(demands[i].refused);
        pool.setAnswered(demands[i].answered);
        pool.setHasBatch(demands[i].hasBatch);
    }
    return kj::READY_NOW;
}

GateServer::GateServer(std::string secretDigest, ControlHandler &handler,
                       std::function<void()> onOpened)
    : m_secretDigest(std::move(secretDigest))
    , m_handler(handler)
    , m_onOpened(std::move(onOpened))
{
}

kj::Promise<void> GateServer::open(OpenContext context)
{
    // Compares digests, so that the comparison time reveals nothing about the secret.
    const auto digest = sha256Hex(context.getParams().getSecret().cStr());
    if (digest != m_secretDigest)
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "wrong cluster secret"));
    m_onOpened();
    context.getResults().setControl(kj::heap<ControlServer>(m_handler));
    return kj::READY_NOW;
}

} // namespace Radishplank
