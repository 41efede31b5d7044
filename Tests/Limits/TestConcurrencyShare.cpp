#include <Limits/Limits.h>

#include <catch2/catch.hpp>
#include <set>

using namespace Radishplank;

TEST_CASE("The shares of a concurrency limit add up to the limit")
{
    std::vector<NodeId> members;
    for (int i = 0; i < 7; ++i)
        members.emplace_back("entry" + std::to_string(i));
    SECTION("for every limit, including one below the number of processes")
    {
        for (std::int64_t limit = 0; limit < 30; ++limit) {
            std::int64_t sum = 0;
            for (const auto &member : members)
                sum += concurrencyShare(limit, "lotka", members, member);
            CHECK(sum == limit);
        }
    }
    SECTION("A process that is not a member has no share")
    {
        CHECK(concurrencyShare(100, "lotka", members, NodeId("stranger")) == 0);
    }
    SECTION("The remainder goes to different processes for different owners")
    {
        std::set<NodeId> membersWithSlot;
        for (int owner = 0; owner < 50; ++owner) {
            for (const auto &member : members) {
                if (concurrencyShare(1, "owner" + std::to_string(owner), members, member) == 1)
                    membersWithSlot.insert(member);
            }
        }
        CHECK(membersWithSlot.size() == members.size());
    }
    SECTION("All processes together admit as many calls as the limit allows")
    {
        Limits limits;
        limits.concurrentRequests = 2;
        ManualClock clock;
        std::size_t admitted = 0;
        for (const auto &member : members) {
            OwnerLimits process;
            process.setMembers(members, member);
            process.useOwnShare();
            for (int i = 0; i < 3; ++i)
                admitted += process.admit("lotka", limits, clock.now()) ? 0 : 1;
        }
        CHECK(admitted == 2);
    }
}
