#include <Batch/Batch.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

std::string line(int number)
{
    return R"({"id":"i)" + std::to_string(number) + R"(","body":{"prompt":"p"}})" + "\n";
}

} // namespace

TEST_CASE("Streamed items are split into parts")
{
    ItemSplitter splitter({3, 1'000, 10, 200});
    SECTION("Parts have the maximum item count, however the input is chunked")
    {
        std::string all;
        for (int i = 0; i < 8; ++i)
            all += line(i);
        std::vector<ItemSplitter::UploadPart> parts;
        for (const char byte : all) {
            for (auto &part : splitter.addChunk(std::string(1, byte)).takeValue())
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
    SECTION("An error names its line")
    {
        const auto expectError = [&](const std::string &second, const std::string &expected) {
            const auto taken = splitter.addChunk(line(1) + second + "\n");
            REQUIRE(taken.isError());
            CHECK(taken.error().message.find("line 2: " + expected) != std::string::npos);
        };
        SECTION("malformed JSON")
        {
            expectError("{", "malformed JSON");
        }
        SECTION("a duplicate identifier")
        {
            expectError(line(1), "the id 'i1' has been used before");
        }
        SECTION("a missing body")
        {
            expectError(R"({"id":"x"})", "the item needs a 'body'");
        }
        SECTION("an unknown field")
        {
            expectError(R"({"id":"x","body":1,"a":1})", "unknown field 'a'");
        }
        SECTION("a path that would begin another header")
        {
            expectError(R"({"id":"x","body":1,"path":"/a\r\nX-A: b"})", "the 'path' does not");
        }
        SECTION("a path that is none")
        {
            expectError(R"({"id":"x","body":1,"path":"a b"})", "the 'path' does not");
        }
        SECTION("a method that would begin another request line")
        {
            expectError(R"({"id":"x","body":1,"method":"GET /"})", "the 'method' is not");
        }
        SECTION("a line too long")
        {
            expectError(std::string(300, 'x'), "the line is too long");
        }
    }
    SECTION("A path that no agent would accept is rejected")
    {
        ItemSplitter large({3, 100'000, 10, 50'000});
        CHECK(large.addChunk(R"({"id":"x","body":1,"path":"/)" + std::string(20'000, 'x') + "\"}\n")
                      .isError());
    }
    SECTION("Too many items are rejected")
    {
        std::string all;
        for (int i = 0; i < 11; ++i)
            all += line(i);
        const auto taken = splitter.addChunk(all);
        REQUIRE(taken.isError());
        CHECK(taken.error().kind == ErrorKind::TooLarge);
    }
    SECTION("A job without items is rejected")
    {
        CHECK(splitter.finish().isError());
    }
}
