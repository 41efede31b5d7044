#include <Gateway/Gateway.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("Messages about quotas arrive as they were sent", "[Quotas]")
{
    const QuotaAsk ask{7, 8, {{1, 2, 3, 4, 5}, {11, 0, 1, 0, 0}}};
    const QuotaGrant grant{8,
                           {{1, 2, Milliseconds(30), Milliseconds(400), false},
                            {11, 0, Milliseconds(10'000), Milliseconds(0), true}}};
    const QuotaReceipt receipt{12, Milliseconds(34'567)};
    for (const QuotaMessage &message :
         {QuotaMessage(ask), QuotaMessage(grant), QuotaMessage(receipt)}) {
        const auto bytes = encodeQuotaMessage(message);
        const auto decoded = decodeQuotaMessage(bytes);
        REQUIRE_FALSE(decoded.isError());
        CHECK(decoded.value() == message);

        // A datagram that is cut off or corrupted must not end the process.
        for (std::size_t length = 0; length < bytes.size(); ++length)
            (void)decodeQuotaMessage(std::string_view(bytes).substr(0, length));
        auto corrupted = bytes;
        for (auto &byte : corrupted) {
            byte = static_cast<char>(byte ^ 0x5a);
            (void)decodeQuotaMessage(corrupted);
        }
    }
    CHECK(decodeQuotaMessage("").isError());
    CHECK(decodeQuotaMessage("hello").isError());
}
