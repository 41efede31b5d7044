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

/// Reads until the peer closes the connection; false if it stays open.
bool isClosed(boost::asio::ip::tcp::socket &socket)
{
    constexpr int readTimeoutMilliseconds = 20'000;
    std::array<char, 64> bytes{};
    boost::system::error_code code;
    while (!code) {
        pollfd readable{socket.native_handle(), POLLIN, 0};
        if (::poll(&readable, 1, readTimeoutMilliseconds) == 0)
            return false;
        socket.read_some(boost::asio::buffer(bytes), code);
    }
    return true;
}

} // namespace

TEST_CASE("Processes exchange control calls")
{
    FiberThreads threads(1);
    MockHandler served;
    ControlHandler none;
    const auto server = ControlThread::start(anyPort, "secret", served).takeValue();
    const auto client = ControlThread::start(anyPort, "secret", none).takeValue();

    SECTION("A load report is transferred unchanged")
    {
        LoadReport report;
        report.incarnation = 17;
        report.slots = 8;
        report.onlineRunning = 3;
        report.batchQueued = 2;
        report.isAccepting = true;
        REQUIRE_CALL(served, observe()).RETURN(report);
        const auto response
                = inFiber(threads, [&] { return client->observe(server->endpoint(), timeout); });
        REQUIRE_FALSE(response.isError());
        CHECK(response.value().incarnation == 17);
        CHECK(response.value().slots == 8);
        CHECK(response.value().onlineRunning == 3);
        CHECK(response.value().batchQueued == 2);
        CHECK(response.value().isAccepting);
    }
    SECTION("A cancellation carries the attempt and the incarnation")
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
        const auto response = inFiber(threads, [&] {
            return client->exchange(server->endpoint(), {NodeId("entry1"), 7, {}}, timeout);
        });
        REQUIRE_FALSE(response.isError());
        CHECK(response.value().revision == 9);
        REQUIRE(response.value().changes.size() == 2);
        CHECK(response.value().changes[1].isRemoval);
        CHECK(response.value().crashes.at(0).age == Milliseconds(12));
    }
    SECTION("A handler's error reaches the caller")
    {
        REQUIRE_CALL(served, observe()).RETURN(Error{ErrorKind::Unavailable, "starting"});
        const auto response
                = inFiber(threads, [&] { return client->observe(server->endpoint(), timeout); });
        REQUIRE(response.isError());
        CHECK(response.error().message.find("starting") != std::string::npos);
    }
    SECTION("A call with the wrong cluster secret is rejected")
    {
        FORBID_CALL(served, observe());
        const auto unauthorized = ControlThread::start(anyPort, "guess", none).takeValue();
        const auto response = inFiber(
                threads, [&] { return unauthorized->observe(server->endpoint(), timeout); });
        REQUIRE(response.isError());
        CHECK(response.error().message.find("wrong cluster secret") != std::string::npos);
    }
    SECTION("Unauthenticated connections that stay silent or send too much are closed and do not "
            "block other peers")
    {
        const auto observes = NAMED_ALLOW_CALL(served, observe()).RETURN(LoadReport());
        boost::asio::io_context context;
        const boost::asio::ip::tcp::endpoint port(boost::asio::ip::address_v4::loopback(),
                                                  server->endpoint().port);
        std::vector<boost::asio::ip::tcp::socket> unauthenticated;
        for (int i = 0; i < 200; ++i) {
            unauthenticated.emplace_back(context);
            unauthenticated.back().connect(port);
        }
        // Header of a message with a length of 4 GB.
        const std::array<std::uint32_t, 2> oversizedHeader{0, 0x1fffffff};
        boost::system::error_code ignored;
        boost::asio::write(unauthenticated.back(), boost::asio::buffer(oversizedHeader), ignored);
        const auto response
                = inFiber(threads, [&] { return client->observe(server->endpoint(), timeout); });
        CHECK_FALSE(response.isError());
        CHECK(std::all_of(unauthenticated.begin(), unauthenticated.end(), isClosed));
        // The authenticated connection is still open.
        CHECK_FALSE(inFiber(threads, [&] {
                        return client->observe(server->endpoint(), timeout);
                    }).isError());
        CHECK(client->callsFailed().value() == 0);
    }
    SECTION("A call to a peer that never responds fails at its deadline")
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor unresponsive(context,
                                                    {boost::asio::ip::address_v4::loopback(), 0});
        const Endpoint endpoint{"127.0.0.1", unresponsive.local_endpoint().port()};
        const auto response
                = inFiber(threads, [&] { return client->observe(endpoint, Milliseconds(100)); });
        CHECK(response.isError());
    }
}
