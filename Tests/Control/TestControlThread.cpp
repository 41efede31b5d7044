#include <Control/Control.h>
#include <Net/Net.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <future>
#include <poll.h>

using namespace Radishplank;

namespace {

class MockHandler : public ControlHandler
{
public:
    MAKE_MOCK0(observe, Result<LoadReport>(), override);
    MAKE_MOCK2(cancelAttempt, Result<AttemptFate>(const AttemptId &, const std::string &),
               override);
    MAKE_MOCK1(exchange, Result<ExchangeResponse>(const ExchangeRequest &), override);
    MAKE_MOCK1(lend, Result<std::vector<LimitShare>>(const LendRequest &), override);
};

constexpr Milliseconds timeout{5'000};
const Endpoint anyPort{"127.0.0.1", 0};

/// Runs a function in a fiber and returns its result.
template<typename Function>
auto inFiber(FiberThreads &threads, Function function)
{
    std::promise<decltype(function())> promise;
    auto future = promise.get_future();
    threads.spawn([&] { promise.set_value(function()); });
    return future.get();
}

/// Reads to the end of a connection; false if the peer leaves it open.
bool isClosed(boost::asio::ip::tcp::socket &socket)
{
    constexpr int patienceMilliseconds = 20'000;
    std::array<char, 64> bytes{};
    boost::system::error_code code;
    while (!code) {
        pollfd readable{socket.native_handle(), POLLIN, 0};
        if (::poll(&readable, 1, patienceMilliseconds) == 0)
            return false;
        socket.read_some(boost::asio::buffer(bytes), code);
    }
    return true;
}

} // namespace

TEST_CASE("Processes ask each other over control calls")
{
    FiberThreads threads(1);
    MockHandler served;
    ControlHandler none;
    const auto server = ControlThread::start(anyPort, "secret", served).takeValue();
    const auto client = ControlThread::start(anyPort, "secret", none).takeValue();

    SECTION("A load report keeps its fields")
    {
        LoadReport report;
        report.incarnation = 17;
        report.slots = 8;
        report.onlineRunning = 3;
        report.batchQueued = 2;
        report.isAccepting = true;
        REQUIRE_CALL(served, observe()).RETURN(report);
        const auto answer
                = inFiber(threads, [&] { return client->observe(server->endpoint(), timeout); });
        REQUIRE_FALSE(answer.isError());
        CHECK(answer.value().incarnation == 17);
        CHECK(answer.value().slots == 8);
        CHECK(answer.value().onlineRunning == 3);
        CHECK(answer.value().batchQueued == 2);
        CHECK(answer.value().isAccepting);
    }
    SECTION("A cancel names the attempt and the incarnation")
    {
        REQUIRE_CALL(served, cancelAttempt(AttemptId("a"), "agent-1"))
                .RETURN(AttemptFate::NeverBegan);
        const auto fate = inFiber(threads, [&] {
            return client->cancelAttempt(server->endpoint(), AttemptId("a"), "agent-1", timeout);
        });
        CHECK(fate.value() == AttemptFate::NeverBegan);
    }
    SECTION("An exchange carries objects, removals and crashes")
    {
        ExchangeResponse expected;
        expected.revision = 9;
        expected.changes
                = {{{"config/owners/a", "{}", 8}, false}, {{"config/owners/b", "", 9}, true}};
        expected.crashes = {{"print", AttemptId("x"), Milliseconds(12)}};
        REQUIRE_CALL(served, exchange(trompeloeil::_))
                .WITH(_1.revision == 7 && _1.node == NodeId("entry1"))
                .RETURN(expected);
        const auto answer = inFiber(threads, [&] {
            return client->exchange(server->endpoint(), {NodeId("entry1"), 7, {}}, timeout);
        });
        REQUIRE_FALSE(answer.isError());
        CHECK(answer.value().revision == 9);
        REQUIRE(answer.value().changes.size() == 2);
        CHECK(answer.value().changes[1].isRemoval);
        CHECK(answer.value().crashes.at(0).age == Milliseconds(12));
    }
    SECTION("A handler's error reaches the caller")
    {
        REQUIRE_CALL(served, observe()).RETURN(Error{ErrorKind::Unavailable, "starting"});
        const auto answer
                = inFiber(threads, [&] { return client->observe(server->endpoint(), timeout); });
        REQUIRE(answer.isError());
        CHECK(answer.error().message.find("starting") != std::string::npos);
    }
    SECTION("Nothing is answered without the cluster's secret")
    {
        FORBID_CALL(served, observe());
        const auto stranger = ControlThread::start(anyPort, "guess", none).takeValue();
        const auto answer
                = inFiber(threads, [&] { return stranger->observe(server->endpoint(), timeout); });
        REQUIRE(answer.isError());
        CHECK(answer.error().message.find("wrong cluster secret") != std::string::npos);
    }
    SECTION("Strangers who say nothing, or too much, keep nobody out and are closed")
    {
        const auto observes = NAMED_ALLOW_CALL(served, observe()).RETURN(LoadReport());
        boost::asio::io_context context;
        const boost::asio::ip::tcp::endpoint port(boost::asio::ip::address_v4::loopback(),
                                                  server->endpoint().port);
        std::vector<boost::asio::ip::tcp::socket> strangers;
        for (int i = 0; i < 200; ++i) {
            strangers.emplace_back(context);
            strangers.back().connect(port);
        }
        // The length of a message of 4 GB.
        const std::array<std::uint32_t, 2> endless{0, 0x1fffffff};
        boost::system::error_code ignored;
        boost::asio::write(strangers.back(), boost::asio::buffer(endless), ignored);
        const auto answer
                = inFiber(threads, [&] { return client->observe(server->endpoint(), timeout); });
        CHECK_FALSE(answer.isError());
        CHECK(std::all_of(strangers.begin(), strangers.end(), isClosed));
        // The connection of the one who showed the secret is still there.
        CHECK_FALSE(inFiber(threads, [&] {
                        return client->observe(server->endpoint(), timeout);
                    }).isError());
        CHECK(client->callsFailed().value() == 0);
    }
    SECTION("A peer that never answers costs its deadline and no more")
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor silent(context,
                                              {boost::asio::ip::address_v4::loopback(), 0});
        const Endpoint endpoint{"127.0.0.1", silent.local_endpoint().port()};
        const auto answer
                = inFiber(threads, [&] { return client->observe(endpoint, Milliseconds(100)); });
        CHECK(answer.isError());
    }
}
