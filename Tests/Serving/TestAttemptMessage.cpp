#include <Serving/Serving.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("Messages between agent and entry process can be serialized and parsed")
{
    const auto roundTrip = [](const AttemptMessage &message) {
        auto text = serializeAttemptMessage(message);
        REQUIRE(text.back() == '\n');
        text.pop_back();
        CHECK(text.find('\n') == std::string::npos);
        return parseAttemptMessage(text).takeValue();
    };
    SECTION("tokens with newlines and quotes")
    {
        const auto message = roundTrip(TokenMessage{"a\n\"b\" ż"});
        CHECK(std::get<TokenMessage>(message).text == "a\n\"b\" ż");
    }
    SECTION("answers with binary bodies, for every length of Base64 padding")
    {
        for (const std::string &body :
             {std::string("\xff\x00\x01", 3), std::string("ab"), std::string("c"), std::string()}) {
            const auto message = roundTrip(AnswerMessage{201, "image/png", body});
            CHECK(std::get<AnswerMessage>(message).status == 201);
            CHECK(std::get<AnswerMessage>(message).body == body);
        }
    }
    SECTION("ends")
    {
        const auto message
                = roundTrip(EndMessage{AttemptEnd::UpstreamLost, Outcome::Unknown, "x", true});
        const auto &end = std::get<EndMessage>(message);
        CHECK(end.end == AttemptEnd::UpstreamLost);
        CHECK(end.outcome == Outcome::Unknown);
        CHECK(end.mayHaveCausedCrash);
    }
    SECTION("and anything else is rejected")
    {
        for (const auto *text :
             {"", "{", "[]", "{}", R"({"end":"maybe"})", R"({"status":200,"body":"*"})"})
            CHECK(parseAttemptMessage(text).isError());
    }
}
