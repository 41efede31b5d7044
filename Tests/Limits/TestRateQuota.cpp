#include <Limits/Limits.h>

#include <catch2/catch.hpp>
#include <deque>

using namespace Radishplank;

namespace {

constexpr double limit = 100;

/// A simulated process. Its clock keeps running while it is paused, and it then acts late.
struct ModelProcess
{
    NodeId id;
    RateQuota quota;
    TimePoint pausedUntil{};
    double demand = 0;
};

/// A request or a response in flight.
struct ModelMessage
{
    enum class Kind { Request, Response };
    Kind kind = Kind::Request;
    std::size_t from = 0;
    std::size_t to = 0;
    double rate = 0;
    TimePoint requestedAt;
    TimePoint arrivesAt;
};

class Model
{
public:
    Model(std::uint64_t seed, std::size_t processes)
        : m_random(seed)
        , m_processes(processes)
    {
        for (std::size_t i = 0; i < processes; ++i) {
            m_processes[i].id = NodeId("entry" + std::to_string(i));
            m_processes[i].quota.setOwned(limit / static_cast<double>(processes));
        }
    }

    void step()
    {
        m_clock.advance(Milliseconds(50));
        const auto now = m_clock.now();
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            auto &process = m_processes[i];
            if (randomBelow(m_random, 200) == 0)
                process.pausedUntil = now + Milliseconds(randomBelow(m_random, 6'000));
            if (randomBelow(m_random, 40) == 0)
                process.demand = static_cast<double>(randomBelow(m_random, 120));
            if (now < process.pausedUntil)
                continue;
            process.quota.noteDemand(process.demand);
            const double wanted = process.quota.wanted(now);
            if (wanted > 0 && randomBelow(m_random, 4) == 0)
                send({ModelMessage::Kind::Request,
                      i,
                      randomBelow(m_random, m_processes.size()),
                      wanted,
                      now,
                      {}});
        }
        deliver();
    }

    /// Returns the rate that all processes may use now, including paused ones.
    double sum()
    {
        double total = 0;
        for (auto &process : m_processes)
            total += process.quota.rate(m_clock.now());
        return total;
    }

private:
    void send(ModelMessage message)
    {
        if (message.from == message.to || randomBelow(m_random, 5) == 0)
            return;
        message.arrivesAt = m_clock.now() + Milliseconds(randomBelow(m_random, 3'000));
        m_messages.push_back(message);
    }

    void deliver()
    {
        const auto now = m_clock.now();
        std::deque<ModelMessage> waiting;
        waiting.swap(m_messages);
        for (const auto &message : waiting) {
            auto &receiver = m_processes[message.to];
            if (message.arrivesAt > now || now < receiver.pausedUntil) {
                m_messages.push_back(message);
                continue;
            }
            const auto &sender = m_processes[message.from];
            if (message.kind == ModelMessage::Kind::Response) {
                receiver.quota.borrow(sender.id, message.rate, message.requestedAt);
                continue;
            }
            const double lent = receiver.quota.lend(sender.id, message.rate, now);
            if (lent > 0)
                send({ModelMessage::Kind::Response,
                      message.to,
                      message.from,
                      lent,
                      message.requestedAt,
                      {}});
        }
    }

    RandomEngine m_random;
    ManualClock m_clock;
    std::vector<ModelProcess> m_processes;
    std::deque<ModelMessage> m_messages;
};

} // namespace

TEST_CASE("A process lends the rate that it does not need, for the duration of a loan")
{
    ManualClock clock;
    RateQuota lender;
    lender.setOwned(50);
    lender.noteDemand(10);
    const NodeId borrower("borrower");

    SECTION("at most the rate beyond its own demand and a reserve")
    {
        CHECK(lender.lend(borrower, 100, clock.now()) == Approx(38));
        CHECK(lender.rate(clock.now()) == Approx(12));
        SECTION("and gets it back when the loan has expired")
        {
            clock.advance(loanDuration);
            CHECK(lender.rate(clock.now()) == Approx(50));
        }
        SECTION("and can renew the loan for the same borrower")
        {
            clock.advance(loanDuration / 2);
            CHECK(lender.lend(borrower, 100, clock.now()) == Approx(38));
            CHECK(lender.rate(clock.now()) == Approx(12));
        }
        SECTION("but has nothing left to lend to another process")
        {
            CHECK(lender.lend(NodeId("other"), 100, clock.now()) == Approx(0));
        }
    }
    SECTION("The borrower counts the loan from before its request")
    {
        RateQuota borrowingProcess;
        borrowingProcess.setOwned(50);
        const auto requestedAt = clock.now();
        clock.advance(loanDuration - Milliseconds(1));
        borrowingProcess.borrow(NodeId("lender"), 30, requestedAt);
        CHECK(borrowingProcess.rate(clock.now()) == Approx(80));
        clock.advance(Milliseconds(1));
        CHECK(borrowingProcess.rate(clock.now()) == Approx(50));
    }
}

TEST_CASE(
        "The sum of all rates never exceeds the limit, even with lost or late messages and pauses")
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        Model model(seed, 2 + seed % 5);
        for (int step = 0; step < 400; ++step) {
            model.step();
            INFO("seed " << seed << ", step " << step);
            REQUIRE(model.sum() <= limit + 1e-6);
        }
    }
}

TEST_CASE("An owner whose calls all arrive at one process can use nearly all of its limit")
{
    ManualClock clock;
    Limits limits;
    limits.requestsPerSecond = 100;
    limits.burstRequests = 10;
    std::vector<OwnerLimits> processes(3);
    const std::vector<NodeId> members{NodeId("entry0"), NodeId("entry1"), NodeId("entry2")};
    for (auto &process : processes) {
        process.setMembers(members, members[0]);
        process.useOwnShare();
        (void)process.admit("lotka", limits, clock.now());
        process.release("lotka", clock.now());
    }
    int admitted = 0;
    constexpr int seconds = 20;
    constexpr int offeredPerSecond = 200;
    for (int tick = 0; tick < seconds * offeredPerSecond; ++tick) {
        clock.advance(Milliseconds(1000 / offeredPerSecond));
        if (tick % (offeredPerSecond / 2) == 0) {
            const auto wanted = processes[0].endDemandPeriod(Milliseconds(500), clock.now());
            for (std::size_t i = 1; i < processes.size(); ++i) {
                (void)processes[i].endDemandPeriod(Milliseconds(500), clock.now());
                processes[0].borrow(NodeId("entry" + std::to_string(i)),
                                    processes[i].lend(NodeId("entry0"), wanted, clock.now()),
                                    clock.now());
            }
        }
        if (!processes[0].admit("lotka", limits, clock.now())) {
            admitted += 1;
            processes[0].release("lotka", clock.now());
        }
    }
    // Fixed shares would admit a third. The upper bound is the rate over the time plus one burst.
    CHECK(admitted <= 100 * seconds + 10 + 1);
    CHECK(admitted >= 90 * seconds);
}

TEST_CASE("A process that has just joined does not use its own share until its peers know of it")
{
    ManualClock clock;
    Limits limits;
    limits.requestsPerSecond = 100;
    OwnerLimits newcomer;
    newcomer.setMembers({NodeId("entry0"), NodeId("entry1")}, NodeId("entry1"));
    // Every burst is at least one request, even without a share.
    (void)newcomer.admit("lotka", limits, clock.now());
    clock.advance(Milliseconds(1'000));
    CHECK(newcomer.admit("lotka", limits, clock.now()));
    SECTION("but uses what other processes lend to it")
    {
        newcomer.borrow(NodeId("other"), {{"lotka", 10}}, clock.now());
        CHECK(newcomer.admit("lotka", limits, clock.now()));
        clock.advance(Milliseconds(1'000));
        CHECK_FALSE(newcomer.admit("lotka", limits, clock.now()));
    }
    SECTION("and uses its own share afterwards")
    {
        newcomer.useOwnShare();
        CHECK(newcomer.admit("lotka", limits, clock.now()));
        clock.advance(Milliseconds(1'000));
        CHECK_FALSE(newcomer.admit("lotka", limits, clock.now()));
    }
}
