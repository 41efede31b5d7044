#include <Limits/Limits.h>

#include <catch2/catch.hpp>
#include <set>

using namespace Radishplank;

TEST_CASE("The parts of a concurrency limit add up to it")
{
    std::vector<NodeId> members;
    for (int i = 0; i < 7; ++i)
        members.emplace_back("entry" + std::to_string(i));
    SECTION("whatever the limit, also one below the number of processes")
    {
        for (std::int64_t limit = 0; limit < 30; ++limit) {
            std::int64_t sum = 0;
            for (const auto &member : members)
                sum += concurrencyPart(limit, "lotka", members, member);
            CHECK(sum == limit);
        }
    }
    SECTION("A process that is not a member has none")
    {
        CHECK(concurrencyPart(100, "lotka", members, NodeId("stranger")) == 0);
    }
    SECTION("What is left over goes to other processes for other owners")
    {
        std::set<NodeId> lucky;
        for (int owner = 0; owner < 50; ++owner) {
            for (const auto &member : members) {
                if (concurrencyPart(1, "owner" + std::to_string(owner), members, member) == 1)
                    lucky.insert(member);
            }
        }
        CHECK(lucky.size() == members.size());
    }
    SECTION("Calls are let in by it")
    {
        Limits limits;
        limits.concurrentRequests = 2;
        ManualClock clock;
        std::size_t admitted = 0;
        for (const auto &member : members) {
            OwnerLimits process;
            process.setMembers(members, member);
            process.ownParts();
            for (int i = 0; i < 3; ++i)
                admitted += process.take("lotka", limits, clock.now()) ? 0 : 1;
        }
        CHECK(admitted == 2);
    }
}
