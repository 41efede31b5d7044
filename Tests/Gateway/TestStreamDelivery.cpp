#include <Gateway/Gateway.h>

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

/// An exchange whose caller reads only while it is told to.
class FakeExchange : public HttpExchange
{
public:
    [[nodiscard]] const HttpRequest &request() const override { return m_request; }
    Result<std::string> readBody() override { return std::string(); }
    Result<std::string> readBodyChunk() override { return std::string(); }
    Result<void> respond(HttpResponse) override { return {}; }
    Result<void> beginStream(unsigned, HttpHeaders) override { return {}; }
    Result<void> writeStream(std::string_view chunk) override
    {
        while (!isReading)
            boost::this_fiber::sleep_for(Milliseconds(1));
        if (hasLeft)
            return Error{ErrorKind::Unavailable, "the caller has left"};
        received += chunk;
        return {};
    }
    Result<void> endStream() override
    {
        hasEnded = true;
        return {};
    }
    void abandon() override {}
    [[nodiscard]] bool hasResponded() const override { return false; }
    [[nodiscard]] bool isClientDisconnected() override { return hasLeft; }
    void onClientDisconnect(std::function<void()>) override {}

    std::string received;
    bool isReading = true;
    bool hasLeft = false;
    bool hasEnded = false;

private:
    HttpRequest m_request;
};

const StreamDeliveryLimits limits{100, 300, 10, Milliseconds(20)};

} // namespace

TEST_CASE("A caller that reads slowly does not block the upstream", "[StreamDelivery]")
{
    FakeExchange exchange;
    {
        StreamDelivery delivery(exchange, limits);
        exchange.isReading = false;
        REQUIRE_FALSE(delivery.write("first ").isError());
        REQUIRE_FALSE(delivery.write("second").isError());
        CHECK(exchange.received.empty());

        SECTION("and gets a response that is ready, also late")
        {
            boost::fibers::fiber reader([&] {
                boost::this_fiber::sleep_for(Milliseconds(30));
                exchange.isReading = true;
            });
            CHECK_FALSE(delivery.finish().isError());
            reader.join();
            CHECK(exchange.received == "first second");
            CHECK(exchange.hasEnded);
        }
        SECTION("unless it leaves more unread than the limit for some time")
        {
            const auto written = delivery.write(std::string(100, '.'));
            REQUIRE(written.isError());
            CHECK(written.error().kind == ErrorKind::Timeout);
            exchange.isReading = true;
        }
        SECTION("A short peak above the limit is no reason to end the stream")
        {
            boost::fibers::fiber reader([&] { exchange.isReading = true; });
            CHECK_FALSE(delivery.write(std::string(200, '.')).isError());
            reader.join();
            CHECK_FALSE(delivery.finish().isError());
        }
        SECTION("Many such callers together get less each, or they would exhaust the memory")
        {
            FakeExchange other;
            other.isReading = false;
            {
                StreamDelivery greedy(other, limits);
                CHECK(greedy.write(std::string(400, '.')).isError());
                CHECK(delivery.write(".").isError());
                other.isReading = true;
            }
            exchange.isReading = true;
            CHECK_FALSE(delivery.finish().isError());
        }
        SECTION("A caller that has left ends the stream")
        {
            exchange.hasLeft = true;
            exchange.isReading = true;
            CHECK(delivery.finish().isError());
            CHECK(delivery.write("third").isError());
        }
        exchange.isReading = true;
    }
    CHECK(StreamDelivery::totalUnreadBytes() == 0);
}
