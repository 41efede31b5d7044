#include <Limits/Limits.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace Radishplank;

namespace {

constexpr std::int64_t limit = 12;
constexpr Milliseconds callTime{4'000};

/// A simulated process. While paused, it neither starts or ends calls nor responds, but its calls
/// continue to run at their upstreams.
struct ModelProcess
{
    NodeId id;
    ConcurrencyQuota quota;
    TimePoint pausedUntil{};
    /// End time of each call that the process has not ended yet.
    std::vector<TimePoint> calls;
    std::uint64_t callsPerTenSteps = 0;
};

struct ModelMessage
{
    enum class Kind { Request, Response };
    Kind kind = Kind::Request;
    std::size_t from = 0;
    std::size_t to = 0;
    SlotRequest request;
    std::int64_t granted = 0;
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
        const auto count = static_cast<std::int64_t>(processes);
        for (std::size_t i = 0; i < processes; ++i) {
            auto &process = m_processes[i];
            process.id = NodeId("entry" + std::to_string(i));
            const bool hasOneMore = static_cast<std::int64_t>(i) < limit % count;
            process.quota.setOwned(limit / count + (hasOneMore ? 1 : 0));
            process.quota.setCallTime(callTime);
        }
    }

    void step()
    {
        m_clock.advance(Milliseconds(50));
        const auto now = m_clock.now();
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            auto &process = m_processes[i];
            if (randomBelow(m_random, 300) == 0)
                process.pausedUntil = now + Milliseconds(randomBelow(m_random, 9'000));
            if (randomBelow(m_random, 60) == 0)
                process.callsPerTenSteps = randomBelow(m_random, 25);
            if (now >= process.pausedUntil)
                act(i, now);
        }
        deliver();
    }

    /// Returns the number of calls that run at upstreams, including those of paused processes.
    std::int64_t running()
    {
        std::int64_t total = 0;
        for (const auto &process : m_processes)
            total += std::count_if(process.calls.begin(), process.calls.end(),
                                   [&](TimePoint end) { return end > m_clock.now(); });
        return total;
    }

private:
    void act(std::size_t index, TimePoint now)
    {
        auto &process = m_processes[index];
        std::erase_if(process.calls, [&](TimePoint end) {
            if (end <= now)
                process.quota.end(now);
            return end <= now;
        });
        if (randomBelow(m_random, 10) < process.callsPerTenSteps && process.quota.start(now)) {
            const auto longest = static_cast<std::uint64_t>(callTime.count());
            process.calls.push_back(now + Milliseconds(1 + randomBelow(m_random, longest)));
        }
        if (randomBelow(m_random, 5) != 0)
            return;
        process.quota.endPeriod();
        const auto wanted = process.quota.wanted(now);
        const auto lender = randomBelow(m_random, m_processes.size());
        if (lender == index || (wanted == 0 && !process.quota.isBorrowing()))
            return;
        if (const auto request = process.quota.requestLoan(m_processes[lender].id, wanted))
            send({ModelMessage::Kind::Request, index, lender, *request, 0, now, {}});
    }

    void send(ModelMessage message)
    {
        if (randomBelow(m_random, 5) == 0)
            return;
        message.arrivesAt = m_clock.now() + Milliseconds(randomBelow(m_random, 3'000));
        m_messages.push_back(message);
        if (randomBelow(m_random, 8) == 0)
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
            const auto &sender = m_processes[message.from].id;
            if (message.kind == ModelMessage::Kind::Response) {
                receiver.quota.borrow(sender, message.request.sequence, message.granted,
                                      message.requestedAt);
                continue;
            }
            const auto granted = receiver.quota.lend(sender, message.request, now);
            send({ModelMessage::Kind::Response,
                  message.to,
                  message.from,
                  message.request,
                  granted,
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

TEST_CASE("A process lends slots that it does not need")
{
    ManualClock clock;
    const NodeId borrower("borrower");
    ConcurrencyQuota lender;
    lender.setOwned(4);
    lender.setCallTime(callTime);
    REQUIRE(lender.start(clock.now()));

    SECTION("except those with a call of its own")
    {
        CHECK(lender.lend(borrower, {1, 0, 10}, clock.now()) == 3);
        CHECK_FALSE(lender.start(clock.now()));
        SECTION("and gets slots back when the borrower reports that no call runs on them")
        {
            CHECK(lender.lend(borrower, {2, 1, 0}, clock.now()) == 1);
            CHECK(lender.start(clock.now()));
            CHECK(lender.start(clock.now()));
            CHECK_FALSE(lender.start(clock.now()));
        }
        SECTION("and gets all back when even the last call on them must have ended")
        {
            clock.advance(loanDuration + callTime - Milliseconds(1));
            CHECK_FALSE(lender.start(clock.now()));
            clock.advance(Milliseconds(1));
            CHECK(lender.start(clock.now()));
        }
        SECTION("and does not lend again for a duplicate request")
        {
            CHECK(lender.lend(borrower, {1, 0, 10}, clock.now()) == 0);
        }
    }
}

TEST_CASE("A process starts calls on borrowed slots while the loan lasts")
{
    ManualClock clock;
    const NodeId lender("lender");
    ConcurrencyQuota borrower;
    borrower.setOwned(0);
    REQUIRE_FALSE(borrower.start(clock.now()));
    borrower.endPeriod();
    REQUIRE(borrower.wanted(clock.now()) == 1);
    const auto request = borrower.requestLoan(lender, 1).value();
    borrower.borrow(lender, request.sequence, 2, clock.now());
    CHECK(borrower.start(clock.now()));

    SECTION("and none after it has expired")
    {
        clock.advance(loanDuration);
        CHECK_FALSE(borrower.start(clock.now()));
    }
    SECTION("and returns the slots when it no longer needs them")
    {
        borrower.end(clock.now());
        borrower.endPeriod();
        borrower.endPeriod();
        CHECK(borrower.wanted(clock.now()) == 0);
        REQUIRE(borrower.isBorrowing());
        const auto last = borrower.requestLoan(lender, 0).value();
        CHECK(last.held == 0);
        borrower.borrow(lender, last.sequence, 0, clock.now());
        CHECK_FALSE(borrower.isBorrowing());
        CHECK_FALSE(borrower.requestLoan(lender, 0));
    }
    SECTION("and none while another request is in flight")
    {
        CHECK(borrower.requestLoan(lender, 1).value().held == 1);
        CHECK_FALSE(borrower.start(clock.now()));
        SECTION("even if the response to the earlier request arrives late")
        {
            borrower.borrow(lender, request.sequence, 2, clock.now());
            CHECK_FALSE(borrower.start(clock.now()));
        }
    }
}

TEST_CASE("Concurrent calls never exceed the limit, even with lost, late or duplicate messages and "
          "pauses")
{
    std::int64_t most = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        Model model(seed, 2 + seed % 5);
        for (int step = 0; step < 600; ++step) {
            model.step();
            INFO("seed " << seed << ", step " << step);
            const auto running = model.running();
            REQUIRE(running <= limit);
            most = std::max(most, running);
        }
    }
    CHECK(most == limit);
}
