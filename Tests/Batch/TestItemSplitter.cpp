#include <Batch/Batch.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

std::string line(int number)
{
    return R"({"id":"i)" + std::to_string(number) + R"(","body":{"prompt":"p"}})" + "\n";
}

} // namespace

TEST_CASE("A job's items are cut into parts as they arrive")
{
    ItemSplitter splitter({3, 1'000, 10, 200});
    SECTION("by number, whatever the pieces")
    {
        std::string all;
        for (int i = 0; i < 8; ++i)
            all += line(i);
        std::vector<ItemSplitter::Part> parts;
        for (const char letter : all) {
            for (auto &part : splitter.take(std::string(1, letter)).takeValue())
                parts.push_back(std::move(part));
        }
        for (auto &part : splitter.finish().takeValue())
            parts.push_back(std::move(part));
        REQUIRE(parts.size() == 3);
        CHECK(parts[0].items == 3);
        CHECK(parts[2].items == 2);
        CHECK(parts[0].lines + parts[1].lines + parts[2].lines == all);
        CHECK(splitter.digest() == sha256Hex(all));
    }
    SECTION("A fault names its line")
    {
        const auto refuse = [&](const std::string &second, const std::string &expected) {
            const auto taken = splitter.take(line(1) + second + "\n");
            REQUIRE(taken.isError());
            CHECK(taken.error().message.find("line 2: " + expected) != std::string::npos);
        };
        SECTION("malformed JSON")
        {
            refuse("{", "malformed JSON");
        }
        SECTION("an identifier used before")
        {
            refuse(line(1), "the id 'i1' has been used before");
        }
        SECTION("a missing body")
        {
            refuse(R"({"id":"x"})", "the item needs a 'body'");
        }
        SECTION("an unknown field")
        {
            refuse(R"({"id":"x","body":1,"a":1})", "unknown field 'a'");
        }
        SECTION("a line too long")
        {
            refuse(std::string(300, 'x'), "the line is too long");
        }
    }
    SECTION("Too many items are refused")
    {
        std::string all;
        for (int i = 0; i < 11; ++i)
            all += line(i);
        const auto taken = splitter.take(all);
        REQUIRE(taken.isError());
        CHECK(taken.error().kind == ErrorKind::TooLarge);
    }
    SECTION("A job without items is refused")
    {
        CHECK(splitter.finish().isError());
    }
}
