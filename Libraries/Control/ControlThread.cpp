#include <Control/ControlThread.h>

#include <Control/Control.capnp.h>

#include <algorithm>
#include <boost/fiber/future.hpp>
#include <capnp/ez-rpc.h>
#include <deque>
#include <functional>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <limits>
#include <map>
#include <mutex>
#include <thread>

namespace Radishplank {

namespace {

constexpr std::uint64_t maxMessageWords = std::uint64_t{4} * 1024 * 1024 / 8;
constexpr int maxNesting = 16;

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageWords;
    options.nestingLimit = maxNesting;
    return options;
}

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

std::vector<CrashNotice> readCrashes(capnp::List<Rpc::CrashNotice>::Reader list)
{
    std::vector<CrashNotice> crashes;
    for (const auto notice : list) {
        crashes.push_back({notice.getFingerprint().cStr(), AttemptId(notice.getAttempt().cStr()),
                           Milliseconds(notice.getAgeMilliseconds())});
    }
    return crashes;
}

template<typename Builder>
void writeCrashes(Builder list, const std::vector<CrashNotice> &crashes)
{
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        auto notice = list[static_cast<unsigned>(i)];
        notice.setFingerprint(crashes[i].fingerprint);
        notice.setAttempt(crashes[i].attempt.text());
        notice.setAgeMilliseconds(static_cast<std::uint64_t>(crashes[i].age.count()));
    }
}

std::vector<LimitShare> readShares(capnp::List<Rpc::LimitShare>::Reader list)
{
    std::vector<LimitShare> shares;
    for (const auto share : list)
        shares.push_back({share.getKey().cStr(), share.getRequestsPerSecond(), share.getSlots(),
                          share.getSlotsHeld(), share.getSequence()});
    return shares;
}

template<typename Builder>
void writeShares(Builder list, const std::vector<LimitShare> &shares)
{
    for (std::size_t i = 0; i < shares.size(); ++i) {
        auto share = list[static_cast<unsigned>(i)];
        share.setKey(shares[i].key);
        share.setRequestsPerSecond(shares[i].requestsPerSecond);
        share.setSlots(shares[i].slots);
        share.setSlotsHeld(shares[i].slotsHeld);
        share.setSequence(shares[i].sequence);
    }
}

class ControlServer final : public Rpc::Control::Server
{
public:
    explicit ControlServer(ControlHandler &handler)
        : m_handler(handler)
    {
    }

    kj::Promise<void> observe(ObserveContext context) override
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

    kj::Promise<void> cancelAttempt(CancelAttemptContext context) override
    {
        const auto params = context.getParams();
        const auto fate = valueOrThrow(m_handler.cancelAttempt(
                AttemptId(params.getAttempt().cStr()), params.getIncarnation().cStr()));
        auto answer = Rpc::AttemptFate::UNKNOWN;
        if (fate == AttemptFate::NeverBegan)
            answer = Rpc::AttemptFate::NEVER_BEGAN;
        else if (fate == AttemptFate::Began)
            answer = Rpc::AttemptFate::BEGAN;
        context.getResults().setFate(answer);
        return kj::READY_NOW;
    }

    kj::Promise<void> exchange(ExchangeContext context) override
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
        writeCrashes(results.initCrashes(static_cast<unsigned>(answer.crashes.size())),
                     answer.crashes);
        return kj::READY_NOW;
    }

    kj::Promise<void> lend(LendContext context) override
    {
        const auto params = context.getParams();
        const auto lent = valueOrThrow(
                m_handler.lend({NodeId(params.getNode().cStr()), readShares(params.getWanted())}));
        writeShares(context.getResults().initLent(static_cast<unsigned>(lent.size())), lent);
        return kj::READY_NOW;
    }

    kj::Promise<void> demand(DemandContext context) override
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

private:
    ControlHandler &m_handler;
};

class GateServer final : public Rpc::Gate::Server
{
public:
    GateServer(const std::string &secret, ControlHandler &handler)
        : m_secretDigest(sha256Hex(secret))
        , m_handler(handler)
    {
    }

    kj::Promise<void> open(OpenContext context) override
    {
        // Digests are compared, so that the time taken tells nothing of the secret.
        const auto digest = sha256Hex(context.getParams().getSecret().cStr());
        if (digest != m_secretDigest)
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "wrong cluster secret"));
        context.getResults().setControl(kj::heap<ControlServer>(m_handler));
        return kj::READY_NOW;
    }

private:
    std::string m_secretDigest;
    ControlHandler &m_handler;
};

/// An outgoing connection and the interface that the peer has handed out on it.
struct PeerConnection
{
    PeerConnection(const Endpoint &endpoint, const std::string &secret)
        : client(kj::StringPtr(endpoint.address.c_str()), endpoint.port, readerOptions())
        , control([&] {
            auto request = client.getMain<Rpc::Gate>().openRequest();
            request.setSecret(secret);
            return request.send().getControl();
        }())
    {
    }

    capnp::EzRpcClient client;
    Rpc::Control::Client control;
};

} // namespace

struct ControlThread::Implementation
{
    std::string secret;
    ControlHandler *handler = nullptr;
    Endpoint endpoint;
    std::thread thread;
    Counter callsMade;
    Counter callsFailed;

    std::mutex mailboxMutex;
    std::deque<std::function<void()>> mailbox;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> mailboxSignal;

    // Used on the control thread only.
    std::map<Endpoint, std::shared_ptr<PeerConnection>> peers;
    kj::Timer *timer = nullptr;
    std::unique_ptr<kj::TaskSet> tasks;

    void post(std::function<void()> function)
    {
        const std::scoped_lock lock(mailboxMutex);
        mailbox.push_back(std::move(function));
        if (mailboxSignal.get() != nullptr) {
            mailboxSignal->fulfill();
            mailboxSignal = nullptr;
        }
    }

    kj::Promise<void> waitForMail()
    {
        const std::scoped_lock lock(mailboxMutex);
        if (!mailbox.empty())
            return kj::READY_NOW;
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        mailboxSignal = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }

    void takeMail()
    {
        std::deque<std::function<void()>> mail;
        {
            const std::scoped_lock lock(mailboxMutex);
            mail.swap(mailbox);
        }
        for (const auto &function : mail)
            function();
    }

    std::shared_ptr<PeerConnection> peer(const Endpoint &endpointOfPeer)
    {
        auto &connection = peers[endpointOfPeer];
        if (!connection)
            connection = std::make_shared<PeerConnection>(endpointOfPeer, secret);
        return connection;
    }

    void abandon(const Endpoint &endpointOfPeer, const std::shared_ptr<PeerConnection> &connection)
    {
        const auto found = peers.find(endpointOfPeer);
        if (found != peers.end() && found->second == connection)
            peers.erase(found);
    }

    /// Makes one call from a fiber: `send` starts it on the control thread, `read` takes its
    /// answer.
    template<typename Answer, typename Send, typename Read>
    Result<Answer> call(const Endpoint &to, Milliseconds timeout, Send send, Read read)
    {
        auto promise = std::make_shared<boost::fibers::promise<Result<Answer>>>();
        auto future = promise->get_future();
        callsMade.increase();
        post([this, to, timeout, send, read, promise] {
            auto connection = peer(to);
            const auto fail = [this, to, connection, promise](const kj::Exception &exception) {
                callsFailed.increase();
                abandon(to, connection);
                promise->set_value(
                        Error{ErrorKind::Unavailable, "control call to " + to.text() + ": "
                                                              + exception.getDescription().cStr()});
            };
            auto answered = send(connection->control).then([read, promise](auto &&response) {
                promise->set_value(read(response));
            });
            tasks->add(timer->timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(answered))
                               .catch_([fail](kj::Exception &&exception) { fail(exception); })
                               .attach(std::shared_ptr<PeerConnection>(connection)));
        });
        return future.get();
    }
};

namespace {

class IgnoreTaskFailures : public kj::TaskSet::ErrorHandler
{
public:
    // Each task reports its own failure to the fiber that waits for it.
    void taskFailed(kj::Exception &&) override {}
};

} // namespace

Result<std::unique_ptr<ControlThread>>
ControlThread::start(const Endpoint &listen, std::string secret, ControlHandler &handler)
{
    auto state = std::make_shared<Implementation>();
    state->secret = std::move(secret);
    state->handler = &handler;
    std::promise<Result<std::uint16_t>> started;
    auto port = started.get_future();
    state->thread = std::thread([state, listen, &started] {
        bool hasStarted = false;
        try {
            capnp::EzRpcServer server(kj::heap<GateServer>(state->secret, *state->handler),
                                      kj::StringPtr(listen.address.c_str()), listen.port,
                                      readerOptions());
            IgnoreTaskFailures errorHandler;
            state->timer = &server.getIoProvider().getTimer();
            state->tasks = std::make_unique<kj::TaskSet>(errorHandler);
            auto &waitScope = server.getWaitScope();
            const auto boundPort = server.getPort().wait(waitScope);
            started.set_value(static_cast<std::uint16_t>(boundPort));
            hasStarted = true;
            while (true) {
                state->waitForMail().wait(waitScope);
                state->takeMail();
            }
        } catch (const kj::Exception &exception) {
            const std::string reason = exception.getDescription().cStr();
            if (!hasStarted) {
                started.set_value(
                        Error{ErrorKind::Unavailable, "cannot listen for control calls on "
                                                              + listen.text() + ": " + reason});
            } else {
                logStateChange("control-thread-failed", {{"reason", reason}});
            }
        }
    });
    auto bound = port.get();
    if (bound.isError()) {
        state->thread.join();
        return bound.takeError();
    }
    state->endpoint = {listen.address, bound.value()};
    return std::unique_ptr<ControlThread>(new ControlThread(std::move(state)));
}

ControlThread::ControlThread(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

ControlThread::~ControlThread()
{
    // The thread runs until the process ends; it holds its own reference to the state.
    if (m_implementation->thread.joinable())
        m_implementation->thread.detach();
}

Endpoint ControlThread::endpoint() const
{
    return m_implementation->endpoint;
}

const Counter &ControlThread::callsMade() const
{
    return m_implementation->callsMade;
}

const Counter &ControlThread::callsFailed() const
{
    return m_implementation->callsFailed;
}

Result<LoadReport> ControlThread::observe(const Endpoint &agent, Milliseconds timeout)
{
    return m_implementation->call<LoadReport>(
            agent, timeout,
            [](Rpc::Control::Client &control) { return control.observeRequest().send(); },
            [](auto &response) {
                const auto report = response.getReport();
                LoadReport result;
                result.incarnation = report.getIncarnation();
                result.slots = report.getSlots();
                result.onlineRunning = report.getOnlineRunning();
                result.onlineQueued = report.getOnlineQueued();
                result.batchRunning = report.getBatchRunning();
                result.batchQueued = report.getBatchQueued();
                result.isAccepting = report.getIsAccepting();
                return result;
            });
}

Result<AttemptFate> ControlThread::cancelAttempt(const Endpoint &agent, const AttemptId &attempt,
                                                 const std::string &incarnation,
                                                 Milliseconds timeout)
{
    return m_implementation->call<AttemptFate>(
            agent, timeout,
            [attempt, incarnation](Rpc::Control::Client &control) {
                auto request = control.cancelAttemptRequest();
                request.setAttempt(attempt.text());
                request.setIncarnation(incarnation);
                return request.send();
            },
            [](auto &response) {
                switch (response.getFate()) {
                case Rpc::AttemptFate::NEVER_BEGAN:
                    return AttemptFate::NeverBegan;
                case Rpc::AttemptFate::BEGAN:
                    return AttemptFate::Began;
                default:
                    return AttemptFate::Unknown;
                }
            });
}

Result<ExchangeAnswer> ControlThread::exchange(const Endpoint &peer, const ExchangeRequest &request,
                                               Milliseconds timeout)
{
    return m_implementation->call<ExchangeAnswer>(
            peer, timeout,
            [request](Rpc::Control::Client &control) {
                auto message = control.exchangeRequest();
                message.setNode(request.node.text());
                message.setRevision(request.revision);
                writeCrashes(message.initCrashes(static_cast<unsigned>(request.crashes.size())),
                             request.crashes);
                return message.send();
            },
            [](auto &response) {
                ExchangeAnswer answer;
                answer.revision = response.getRevision();
                answer.digest = response.getDigest();
                answer.staleness = Milliseconds(response.getStalenessMilliseconds());
                for (const auto object : response.getObjects()) {
                    answer.changes.push_back({{object.getKey().cStr(), object.getValue().cStr(),
                                               object.getVersion()},
                                              object.getIsRemoval()});
                }
                answer.crashes = readCrashes(response.getCrashes());
                return answer;
            });
}

Result<std::vector<LimitShare>>
ControlThread::lend(const Endpoint &peer, const LendRequest &request, Milliseconds timeout)
{
    return m_implementation->call<std::vector<LimitShare>>(
            peer, timeout,
            [request](Rpc::Control::Client &control) {
                auto message = control.lendRequest();
                message.setNode(request.node.text());
                writeShares(message.initWanted(static_cast<unsigned>(request.wanted.size())),
                            request.wanted);
                return message.send();
            },
            [](auto &response) { return readShares(response.getLent()); });
}

Result<std::vector<PoolDemand>> ControlThread::demand(const Endpoint &peer, Milliseconds timeout)
{
    return m_implementation->call<std::vector<PoolDemand>>(
            peer, timeout,
            [](Rpc::Control::Client &control) { return control.demandRequest().send(); },
            [](auto &response) {
                std::vector<PoolDemand> demands;
                for (const auto pool : response.getPools()) {
                    demands.push_back({pool.getPool().cStr(), pool.getSlotSeconds(),
                                       pool.getRefused(), pool.getAnswered(), pool.getHasBatch()});
                }
                return demands;
            });
}

} // namespace Radishplank
