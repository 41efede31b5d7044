#include <Limits/Limits.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <set>

using namespace Radishplank;

namespace {

constexpr std::int64_t limit = 1'500'000;
/// What the operators allow beyond the limit. The fixed part of a process whose work was taken over
/// can be used again while that work is claimed elsewhere.
constexpr std::int64_t limitWithOverage = limit * 11 / 10;
constexpr Milliseconds stepTime{50};
/// Time of silence after which a process's jobs are taken over.
constexpr Milliseconds takeOverTime{3'000};

struct ModelJob
{
    std::int64_t tokens = 0;
    Duration endsAt{};
};

/// The store's object with the claims.
struct ModelObject
{
    ClaimSheet sheet;
    std::uint64_t version = 0;
};

/// A write on its way to the store; it takes effect if its condition holds by then.
struct ModelWrite
{
    ClaimSheet sheet;
    std::uint64_t condition = 0;
    Duration begunAt{};
    Duration arrivesAt{};
    bool isAnswerLost = false;
};

struct ModelProcess
{
    NodeId id;
    std::optional<ClaimLedger> ledger;
    std::vector<ModelJob> jobs;
    /// Suspended, dead, or cut off from the store only, in which case the others hear it.
    Duration awaySince{};
    Duration awayUntil{};
    bool isDead = false;
    bool isHeard = true;
    std::optional<ModelWrite> writing;
    std::vector<ModelWrite> late;

    [[nodiscard]] std::int64_t used() const
    {
        std::int64_t sum = 0;
        for (const auto &job : jobs)
            sum += job.tokens;
        return sum;
    }
};

enum class Rule {
    Claims,     ///< The ledger.
    EqualParts, ///< Baseline: each process has a fixed part.
    CountHeard, ///< Baseline: each counts what it has heard of all, some hundred milliseconds old.
};

struct Troubles
{
    bool losesAnswers = false;
    bool suspends = false;
    bool kills = false;
};

/// Processes that take jobs faster than they are done, with their claims in one object.
class Model
{
public:
    Model(std::uint64_t seed, std::size_t processes, Rule rule, Troubles troubles)
        : m_random(seed)
        , m_rule(rule)
        , m_troubles(troubles)
        , m_processes(processes)
        , m_heard(processes)
    {
        for (std::size_t i = 0; i < processes; ++i) {
            m_processes[i].id = NodeId("entry" + std::to_string(i));
            restart(m_processes[i]);
        }
    }

    /// `demanded`: the processes that jobs arrive at.
    void step(std::size_t demanded)
    {
        m_now += stepTime;
        for (auto &process : m_processes) {
            std::erase_if(process.jobs, [&](const ModelJob &job) { return job.endsAt <= m_now; });
            land(process);
        }
        makeTrouble();
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            if (!isActive(m_processes[i]))
                continue;
            renew(m_processes[i]);
            if (i < demanded)
                offerJobs(i);
        }
        if (m_now - m_heardAt >= Milliseconds(300)) {
            for (std::size_t i = 0; i < m_processes.size(); ++i)
                m_heard[i] = m_processes[i].used();
            m_heardAt = m_now;
        }
    }

    [[nodiscard]] std::int64_t used() const
    {
        std::int64_t sum = 0;
        for (const auto &process : m_processes)
            sum += process.used();
        return sum;
    }
    /// Most that was in use when a job was accepted.
    [[nodiscard]] std::int64_t mostAtAcceptance() const { return m_mostAtAcceptance; }
    [[nodiscard]] std::size_t writes() const { return m_writes; }

private:
    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_random);
    }

    [[nodiscard]] bool isActive(const ModelProcess &process) const
    {
        return process.awayUntil <= m_now;
    }

    void restart(ModelProcess &process)
    {
        process.isDead = false;
        process.ledger.emplace(process.id);
        process.writing.reset();
    }

    /// Lets writes reach the store, and their answers the process.
    void land(ModelProcess &process)
    {
        for (auto &write : process.late)
            apply(write);
        std::erase_if(process.late, [&](const auto &write) { return write.arrivesAt <= m_now; });
        if (!process.writing || process.writing->arrivesAt > m_now)
            return;
        const auto write = *std::exchange(process.writing, std::nullopt);
        const bool hasTakenEffect = apply(write);
        // Without an answer the process does not know, and claims again later.
        if (hasTakenEffect && !write.isAnswerLost && isActive(process))
            process.ledger->confirm(write.sheet, write.begunAt);
    }

    bool apply(const ModelWrite &write)
    {
        if (write.arrivesAt > m_now || write.condition != m_object.version)
            return false;
        m_object.sheet = write.sheet;
        m_object.version += 1;
        m_writes += 1;
        return true;
    }

    /// Plans a write, which arrives with the next step or some later.
    bool write(ModelProcess &process, std::int64_t needed)
    {
        if (process.writing)
            return false;
        const auto mark = std::to_string(++m_marks);
        const auto plan = process.ledger->plan(m_object.sheet, needed, mark, m_now);
        if (!std::holds_alternative<ClaimSheet>(plan))
            return false;
        ModelWrite begun{std::get<ClaimSheet>(plan), m_object.version, m_now, m_now, false};
        if (m_troubles.losesAnswers && draw(4) == 0) {
            begun.isAnswerLost = true;
            if (draw(2) == 0) {
                begun.arrivesAt = m_now + Milliseconds(draw(5'000));
                process.late.push_back(begun);
                return false;
            }
        }
        // Most writes take less than a step; some meet another one.
        process.writing = begun;
        if (draw(5) > 0)
            land(process);
        return true;
    }

    void renew(ModelProcess &process)
    {
        std::set<NodeId> heard;
        for (const auto &each : m_processes) {
            if (isActive(each) || each.isHeard)
                heard.insert(each.id);
        }
        process.ledger->configure(limit, m_processes.size());
        process.ledger->setHeard(heard);
        process.ledger->setUsed(process.used());
        if (process.ledger->mustRenew(m_now))
            write(process, 0);
    }

    void offerJobs(std::size_t index)
    {
        auto &process = m_processes[index];
        for (int i = 0; i < 2; ++i) {
            const auto tokens = static_cast<std::int64_t>(4'000 + draw(20'000));
            if (!mayAccept(index, tokens))
                return;
            process.jobs.push_back({tokens, m_now + Milliseconds(4'000 + draw(12'000))});
            m_mostAtAcceptance = std::max(m_mostAtAcceptance, used());
        }
    }

    bool mayAccept(std::size_t index, std::int64_t tokens)
    {
        auto &process = m_processes[index];
        const auto count = static_cast<std::int64_t>(m_processes.size());
        if (m_rule == Rule::EqualParts)
            return process.used() + tokens <= limit / count;
        if (m_rule == Rule::CountHeard) {
            std::int64_t sum = process.used();
            for (std::size_t i = 0; i < m_heard.size(); ++i)
                sum += i == index ? 0 : m_heard[i];
            return sum + tokens <= limit;
        }
        process.ledger->setUsed(process.used());
        if (process.ledger->room(m_now) >= tokens)
            return true;
        write(process, tokens);
        return process.ledger->room(m_now) >= tokens;
    }

    void makeTrouble()
    {
        for (auto &process : m_processes) {
            if (!isActive(process)) {
                if (!process.isHeard && m_now - process.awaySince >= takeOverTime)
                    takeOver(process);
                continue;
            }
            if (process.isDead)
                restart(process);
            process.isHeard = true;
            if (m_troubles.suspends && draw(300) == 0)
                leave(process, draw(2) == 0);
            if (m_troubles.kills && draw(600) == 0) {
                leave(process, false);
                process.isDead = true;
            }
        }
    }

    void leave(ModelProcess &process, bool isHeard)
    {
        process.isHeard = isHeard;
        process.awaySince = m_now;
        process.awayUntil = m_now + Milliseconds(500 + draw(12'000));
    }

    void takeOver(ModelProcess &from)
    {
        for (auto &process : m_processes) {
            if (!isActive(process))
                continue;
            process.jobs.insert(process.jobs.end(), from.jobs.begin(), from.jobs.end());
            from.jobs.clear();
            renew(process);
            return;
        }
    }

    RandomEngine m_random;
    const Rule m_rule;
    const Troubles m_troubles;
    Duration m_now{};
    std::vector<ModelProcess> m_processes;
    std::vector<std::int64_t> m_heard;
    Duration m_heardAt{};
    ModelObject m_object;
    std::uint64_t m_marks = 0;
    std::int64_t m_mostAtAcceptance = 0;
    std::size_t m_writes = 0;
};

struct Outcome
{
    std::int64_t most = 0;
    /// Mean share of the limit in use, once it has filled.
    double use = 0;
    std::size_t writes = 0;
};

/// Plays half a minute.
Outcome play(std::uint64_t seed, std::size_t processes, std::size_t demanded, Rule rule,
             Troubles troubles)
{
    constexpr int steps = 600;
    constexpr int warmUpSteps = 200;
    Model model(seed, processes, rule, troubles);
    double sum = 0;
    for (int i = 0; i < steps; ++i) {
        model.step(demanded);
        if (i >= warmUpSteps)
            sum += static_cast<double>(model.used()) / static_cast<double>(limit);
    }
    return {model.mostAtAcceptance(), sum / (steps - warmUpSteps), model.writes()};
}

} // namespace

TEST_CASE("Claims on a limit never add up to more than it", "[ClaimLedger]")
{
    constexpr std::uint64_t histories = 150;

    SECTION("Nothing goes wrong: the limit is used, wherever the jobs arrive")
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            const std::size_t processes = seed % 2 == 0 ? 5 : 26;
            const std::size_t demanded = 2 + seed % (processes - 1);
            CAPTURE(seed, processes, demanded);
            const auto outcome = play(seed, processes, demanded, Rule::Claims, {});
            CHECK(outcome.most <= limit);
            CHECK(outcome.use >= 0.9);
        }
    }
    SECTION("Answers of the store are lost, and writes take effect late")
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            CAPTURE(seed);
            CHECK(play(seed, 5, 5, Rule::Claims, {.losesAnswers = true}).most <= limit);
        }
    }
    SECTION("Processes are suspended or cut off, die, and have their jobs taken over")
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            CAPTURE(seed);
            const Troubles all{.losesAnswers = true, .suspends = true, .kills = true};
            CHECK(play(seed, seed % 2 == 0 ? 5 : 9, 5, Rule::Claims, all).most <= limitWithOverage);
        }
    }
    SECTION("Baseline: with equal parts, the parts of those without jobs lie idle")
    {
        CHECK(play(1, 5, 2, Rule::EqualParts, {}).use < 0.5);
    }
    SECTION("Baseline: with what each has heard, all fill the same room")
    {
        CHECK(play(1, 26, 26, Rule::CountHeard, {}).most > limitWithOverage);
    }
}

TEST_CASE("A claim is used only while it certainly holds", "[ClaimLedger]")
{
    const NodeId own("entry1");
    const NodeId other("entry2");
    ClaimLedger ledger(own);
    ledger.configure(1'000, 2);
    Duration now = std::chrono::seconds(100);
    const auto planned = [&](const ClaimSheet &current, std::int64_t needed) {
        return ledger.plan(current, needed, "mark" + std::to_string(now.count()), now);
    };
    // A tenth is divided into fixed parts.
    CHECK(ledger.room(now) == 50);
    const auto first = std::get<ClaimSheet>(planned({}, 200));
    CHECK(ledger.room(now) == 50);
    ledger.confirm(first, now);
    ledger.setUsed(200);
    CHECK(ledger.room(now) >= 0);

    SECTION("It is renewed before its lease is over, and not used after it")
    {
        CHECK_FALSE(ledger.mustRenew(now + Milliseconds(500)));
        CHECK(ledger.mustRenew(now + claimLease / 2));
        CHECK(ledger.room(now + claimLease) == 50 - 200);
    }
    SECTION("A claim that another process has dropped is gone")
    {
        now += claimLease;
        const auto again = std::get<ClaimSheet>(planned({}, 0));
        CHECK(ledger.room(now) <= 50 - 200);
        ledger.confirm(again, now);
        CHECK(ledger.room(now) >= 0);
    }
    SECTION("Another's claim counts until it has stayed the same for longer than its lease")
    {
        auto sheet = first;
        sheet.claims[other] = {650, "a"};
        CHECK(std::get<ClaimLedger::Shortage>(planned(sheet, 400)).amount > 0);
        for (int i = 0; i < 12; ++i) {
            now += Milliseconds(500);
            CHECK(std::holds_alternative<ClaimLedger::Shortage>(planned(sheet, 400)));
        }
        now += Milliseconds(1'000);
        CHECK(std::holds_alternative<ClaimSheet>(planned(sheet, 400)));

        SECTION("counted anew after a time without a look")
        {
            now += claimLease;
            CHECK(std::holds_alternative<ClaimLedger::Shortage>(planned(sheet, 400)));
        }
    }
    SECTION("Work that is taken over is claimed though there is no room")
    {
        auto sheet = first;
        sheet.claims[other] = {700, "a"};
        ledger.setUsed(600);
        CHECK(ledger.mustRenew(now));
        CHECK(std::get<ClaimSheet>(planned(sheet, 0)).claims.at(own).amount == 550);
    }
    SECTION("What is not needed any more is given back")
    {
        ledger.setUsed(30);
        const auto less = std::get<ClaimSheet>(planned(first, 0));
        CHECK_FALSE(less.claims.contains(own));
        CHECK(ledger.room(now) == 20);
    }
}

TEST_CASE("Claims keep their form in the store", "[ClaimLedger]")
{
    ClaimSheet sheet;
    sheet.claims[NodeId("entry1")] = {1'234, "entry1-1"};
    sheet.claims[NodeId("entry2")] = {7, "entry2-9"};
    const auto parsed = parseClaimSheet(serialize(sheet));
    REQUIRE_FALSE(parsed.isError());
    CHECK(parsed.value() == sheet);
    CHECK(parseClaimSheet("{}").isError());
    CHECK(parseClaimSheet("no sheet").isError());
}

TEST_CASE("Refused callers come back one after the other", "[ReturnSchedule]")
{
    ReturnSchedule schedule;
    TimePoint now{std::chrono::seconds(1'000)};
    CHECK(schedule.schedule(500, now) == Milliseconds(2'000));
    for (int i = 0; i < 200; ++i) {
        now += Milliseconds(100);
        schedule.noteDone(100, now);
    }
    // A thousand a second are done by now.
    const auto first = schedule.schedule(2'000, now);
    const auto second = schedule.schedule(2'000, now);
    CHECK(first >= Milliseconds(1'700));
    CHECK(first <= Milliseconds(2'300));
    CHECK(second >= first + Milliseconds(1'700));

    SECTION("but are not sent away for longer than can be foreseen")
    {
        for (int i = 0; i < 50; ++i)
            CHECK(schedule.schedule(2'000, now) <= Milliseconds(10'000));
    }
    SECTION("What was promised long ago no longer counts")
    {
        now += std::chrono::seconds(4);
        schedule.noteDone(4'000, now);
        CHECK(schedule.schedule(100, now) == Milliseconds(1'000));
    }
}
