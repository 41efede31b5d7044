#include <Control/ControlServer.h>

#include <Control/ControlCodec.h>

#include <algorithm>
#include <kj/debug.h>
#include <limits>

namespace Radishplank {

namespace {

std::uint16_t shortCount(std::uint32_t count)
{
    constexpr std::uint32_t highest = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(count, highest));
}

/// Turns an error of a handler into the exception that Cap'n Proto carries to the caller.
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
    builder.setSlots(shortCount(report.slots));
    builder.setOnlineRunning(shortCount(report.onlineRunning));
    builder.setOnlineQueued(shortCount(report.onlineQueued));
    builder.setBatchRunning(shortCount(report.batchRunning));
    builder.setBatchQueued(shortCount(report.batchQueued));
    builder.setIsAccepting(report.isAccepting);
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::cancelAttempt(CancelAttemptContext context)
{
    const auto params = context.getParams();
    const auto fate = valueOrThrow(m_handler.cancelAttempt(AttemptId(params.getAttempt().cStr()),
                                                           params.getIncarnation().cStr()));
    auto answer = Rpc::AttemptFate::UNKNOWN;
    if (fate == AttemptFate::NeverBegan)
        answer = Rpc::AttemptFate::NEVER_BEGAN;
    else if (fate == AttemptFate::Began)
        answer = Rpc::AttemptFate::BEGAN;
    context.getResults().setFate(answer);
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::exchange(ExchangeContext context)
{
    const auto params = context.getParams();
    const auto answer = valueOrThrow(
            m_handler.exchange({NodeId(params.getNode().cStr()), params.getRevision(),
                                readCrashes(params.getCrashes())}));
    auto results = context.getResults();
    results.setRevision(answer.revision);
    results.setDigest(answer.digest);
    results.setStalenessMilliseconds(static_cast<std::uint64_t>(answer.staleness.count()));
    auto objects = results.initObjects(static_cast<unsigned>(answer.changes.size()));
    for (std::size_t i = 0; i < answer.changes.size(); ++i) {
        const auto &change = answer.changes[i];
        auto object = objects[static_cast<unsigned>(i)];
        object.setKey(change.object.key);
        object.setValue(change.object.value);
        object.setVersion(change.object.version);
        object.setIsRemoval(change.isRemoval);
    }
    writeCrashes(results.initCrashes(static_cast<unsigned>(answer.crashes.size())), answer.crashes);
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
    // Digests are compared, so that the time taken tells nothing of the secret.
    const auto digest = sha256Hex(context.getParams().getSecret().cStr());
    if (digest != m_secretDigest)
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "wrong cluster secret"));
    m_onOpened();
    context.getResults().setControl(kj::heap<ControlServer>(m_handler));
    return kj::READY_NOW;
}

} // namespace Radishplank
