#include <Control/ControlThread.h>

#include <Control/ControlCodec.h>
#include <Control/ControlListener.h>
#include <Control/ControlPeer.h>

#include <boost/fiber/future.hpp>
#include <deque>
#include <functional>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>
#include <mutex>
#include <thread>

namespace Radishplank {

struct ControlThread::Implementation
{
    std::string secret;
    ControlHandler *handler = nullptr;
    Endpoint endpoint;
    std::thread thread;
    Counter callsMade;
    Counter callsFailed;

    std::mutex queueMutex;
    std::deque<std::function<void()>> queue;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> queueSignal;

    // The following members are used on the control thread only.
    std::map<Endpoint, std::shared_ptr<ControlPeer>> peers;
    kj::Timer *timer = nullptr;
    kj::Network *network = nullptr;
    std::unique_ptr<kj::TaskSet> tasks;

    void post(std::function<void()> function)
    {
        const std::scoped_lock lock(queueMutex);
        queue.push_back(std::move(function));
        if (queueSignal.get() != nullptr) {
            queueSignal->fulfill();
            queueSignal = nullptr;
        }
    }

    kj::Promise<void> waitForQueued()
    {
        const std::scoped_lock lock(queueMutex);
        if (!queue.empty())
            return kj::READY_NOW;
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        queueSignal = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }

    void runQueued()
    {
        std::deque<std::function<void()>> functions;
        {
            const std::scoped_lock lock(queueMutex);
            functions.swap(queue);
        }
        for (const auto &function : functions)
            function();
    }

    std::shared_ptr<ControlPeer> peer(const Endpoint &peerEndpoint)
    {
        auto &connection = peers[peerEndpoint];
        if (!connection)
            connection = std::make_shared<ControlPeer>(*network, peerEndpoint, secret);
        return connection;
    }

    void dropConnection(const Endpoint &peerEndpoint,
                        const std::shared_ptr<ControlPeer> &connection)
    {
        const auto found = peers.find(peerEndpoint);
        if (found != peers.end() && found->second == connection)
            peers.erase(found);
    }

    /// Makes one call from a fiber: `send` sends it on the control thread, `read` decodes the
    /// response.
    template<typename Response, typename Send, typename Read>
    Result<Response> call(const Endpoint &to, Milliseconds timeout, Send send, Read read)
    {
        auto promise = std::make_shared<boost::fibers::promise<Result<Response>>>();
        auto future = promise->get_future();
        callsMade.increase();
        post([this, to, timeout, send, read, promise] {
            auto connection = peer(to);
            const auto fail = [this, to, connection, promise](const kj::Exception &exception) {
                callsFailed.increase();
                dropConnection(to, connection);
                promise->set_value(
                        Error{ErrorKind::Unavailable, "control call to " + to.text() + ": "
                                                              + exception.getDescription().cStr()});
            };
            auto completed = send(connection->control()).then([read, promise](auto &&response) {
                promise->set_value(read(response));
            });
            tasks->add(timer->timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(completed))
                               .catch_([fail](kj::Exception &&exception) { fail(exception); })
                               .attach(std::shared_ptr<ControlPeer>(connection)));
        });
        return future.get();
    }
};

namespace {

class IgnoreTaskFailures : public kj::TaskSet::ErrorHandler
{
public:
    // Each task reports its failure to the waiting fiber.
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
            auto io = kj::setupAsyncIo();
            IgnoreTaskFailures errorHandler;
            state->timer = &io.provider->getTimer();
            state->network = &io.provider->getNetwork();
            state->tasks = std::make_unique<kj::TaskSet>(errorHandler);
            auto &waitScope = io.waitScope;
            auto address = state->network->parseAddress(listen.address.c_str(), listen.port)
                                   .wait(waitScope);
            ControlListener listener(address->listen(), *state->timer, state->secret,
                                     *state->handler);
            const auto boundPort = listener.port();
            started.set_value(static_cast<std::uint16_t>(boundPort));
            hasStarted = true;
            while (true) {
                state->waitForQueued().wait(waitScope);
                state->runQueued();
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
    // The thread runs until the process exits and holds its own reference to the state.
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

Result<ExchangeResponse>
ControlThread::exchange(const Endpoint &peer, const ExchangeRequest &request, Milliseconds timeout)
{
    return m_implementation->call<ExchangeResponse>(
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
                ExchangeResponse exchanged;
                exchanged.revision = response.getRevision();
                exchanged.digest = response.getDigest();
                exchanged.staleness = Milliseconds(response.getStalenessMilliseconds());
                for (const auto object : response.getObjects()) {
                    exchanged.changes.push_back({{object.getKey().cStr(), object.getValue().cStr(),
                                                  object.getVersion()},
                                                 object.getIsRemoval()});
                }
                exchanged.crashes = readCrashes(response.getCrashes());
                return exchanged;
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
