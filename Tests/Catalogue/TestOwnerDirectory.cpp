#include <Catalogue/Catalogue.h>

#include <catch2/catch.hpp>

using namespace Radishplank;

TEST_CASE("An owner is found by any of its tokens", "[OwnerDirectory]")
{
    Owner first;
    first.id = OwnerId("first");
    first.tokenDigests = {sha256Hex("one"), sha256Hex("two")};
    Owner second;
    second.id = OwnerId("second");
    second.tokenDigests = {sha256Hex("three")};
    const OwnerDirectory directory({first, second});

    CHECK(directory.findByDigest(sha256Hex("one"))->id == OwnerId("first"));
    CHECK(directory.findByDigest(sha256Hex("two"))->id == OwnerId("first"));
    CHECK(directory.findByDigest(sha256Hex("three"))->id == OwnerId("second"));
    CHECK(directory.find(OwnerId("second"))->id == OwnerId("second"));

    SECTION("A token is not found by the token itself, by a part of its digest or by nothing")
    {
        CHECK_FALSE(directory.findByDigest("one"));
        CHECK_FALSE(directory.findByDigest(sha256Hex("one").substr(0, 63)));
        CHECK_FALSE(directory.findByDigest(""));
    }
}
