#include <Limits/Limits.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <set>

using namespace Radishplank;

namespace {

constexpr std::int64_t limit = 1'500'000;
/// Maximum temporary use beyond the limit. The fixed share of a process whose work was taken over
/// can be used again while that work is claimed by another process.
constexpr std::int64_t limitWithOverage = limit * 11 / 10;
constexpr Milliseconds stepTime{50};
/// A process's jobs are taken over after it has been unreachable for this time.
constexpr Milliseconds takeOverTime{3'000};

struct ModelJob
{
    std::int64_t tokens = 0;
    Duration endsAt{};
};

/// The object in the store with the claims.
struct ModelObject
{
    ClaimSet claimSet;
    std::uint64_t version = 0;
};

/// A conditional write in flight; it takes effect if its condition holds when it arrives.
struct ModelWrite
{
    ClaimSet claimSet;
    std::uint64_t condition = 0;
    Duration startedAt{};
    Duration arrivesAt{};
    bool isResponseLost = false;
};

struct ModelProcess
{
    NodeId id;
    std::optional<ClaimedQuota> quota;
    std::vector<ModelJob> jobs;
    /// Suspended, crashed, or partitioned from the store only and still reachable for its peers.
    Duration inactiveSince{};
    Duration inactiveUntil{};
    bool isDead = false;
    bool isReachable = true;
    std::optional<ModelWrite> pendingWrite;
    std::vector<ModelWrite> lateWrites;

    [[nodiscard]] std::int64_t used() const
    {
        std::int64_t sum = 0;
        for (const auto &job : jobs)
            sum += job.tokens;
        return sum;
    }
};

enum class Policy {
    Claims,         ///< Claims in the store.
    EqualShares,    ///< Baseline: each process has a fixed share.
    SumReportedUse, ///< Baseline: each process sums the last reports of all, up to 300 ms old.
};

struct Faults
{
    bool losesResponses = false;
    bool suspends = false;
    bool kills = false;
};

/// Simulates processes that accept jobs faster than they complete, with their claims in one object.
class Model
{
public:
    Model(std::uint64_t seed, std::size_t processes, Policy policy, Faults faults)
        : m_random(seed)
        , m_policy(policy)
        , m_faults(faults)
        , m_processes(processes)
        , m_reportedUse(processes)
    {
        for (std::size_t i = 0; i < processes; ++i) {
            m_processes[i].id = NodeId("entry" + std::to_string(i));
            restart(m_processes[i]);
        }
    }

    /// `demanded`: number of processes at which jobs arrive.
    void step(std::size_t demanded)
    {
        m_now += stepTime;
        for (auto &process : m_processes) {
            std::erase_if(process.jobs, [&](const ModelJob &job) { return job.endsAt <= m_now; });
            deliver(process);
        }
        injectFaults();
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            if (!isActive(m_processes[i]))
                continue;
            renew(m_processes[i]);
            if (i < demanded)
                offerJobs(i);
        }
        if (m_now - m_reportedAt >= Milliseconds(300)) {
            for (std::size_t i = 0; i < m_processes.size(); ++i)
                m_reportedUse[i] = m_processes[i].used();
            m_reportedAt = m_now;
        }
    }

    [[nodiscard]] std::int64_t used() const
    {
        std::int64_t sum = 0;
        for (const auto &process : m_processes)
            sum += process.used();
        return sum;
    }
    /// Highest use of the limit at the acceptance of a job.
    [[nodiscard]] std::int64_t peakUse() const { return m_peakUse; }
    [[nodiscard]] std::size_t writes() const { return m_writes; }

private:
    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_random);
    }

    [[nodiscard]] bool isActive(const ModelProcess &process) const
    {
        return process.inactiveUntil <= m_now;
    }

    void restart(ModelProcess &process)
    {
        process.isDead = false;
        process.quota.emplace(process.id);
        process.pendingWrite.reset();
    }

    /// Delivers writes to the store and their responses to the process.
    void deliver(ModelProcess &process)
    {
        for (auto &write : process.lateWrites)
            apply(write);
        std::erase_if(process.lateWrites,
                      [&](const auto &write) { return write.arrivesAt <= m_now; });
        if (!process.pendingWrite || process.pendingWrite->arrivesAt > m_now)
            return;
        const auto write = *std::exchange(process.pendingWrite, std::nullopt);
        const bool hasTakenEffect = apply(write);
        // Without a response the process does not know the outcome, and claims again later.
        if (hasTakenEffect && !write.isResponseLost && isActive(process))
            process.quota->confirm(write.claimSet, write.startedAt);
    }

    bool apply(const ModelWrite &write)
    {
        if (write.arrivesAt > m_now || write.condition != m_object.version)
            return false;
        m_object.claimSet = write.claimSet;
        m_object.version += 1;
        m_writes += 1;
        return true;
    }

    /// Starts a write, which arrives at once, with the next step or up to 5 seconds later.
    bool write(ModelProcess &process, std::int64_t needed)
    {
        if (process.pendingWrite)
            return false;
        const auto writeId = std::to_string(++m_writeIds);
        const auto plan = process.quota->plan(m_object.claimSet, needed, writeId, m_now);
        if (!std::holds_alternative<ClaimSet>(plan))
            return false;
        ModelWrite started{std::get<ClaimSet>(plan), m_object.version, m_now, m_now, false};
        if (m_faults.losesResponses && draw(4) == 0) {
            started.isResponseLost = true;
            if (draw(2) == 0) {
                started.arrivesAt = m_now + Milliseconds(draw(5'000));
                process.lateWrites.push_back(started);
                return false;
            }
        }
        // Most writes take less than a step; some are concurrent with another one.
        process.pendingWrite = started;
        if (draw(5) > 0)
            deliver(process);
        return true;
    }

    void renew(ModelProcess &process)
    {
        std::set<NodeId> reachable;
        for (const auto &each : m_processes) {
            if (isActive(each) || each.isReachable)
                reachable.insert(each.id);
        }
        process.quota->configure(limit, m_processes.size());
        process.quota->setReachablePeers(reachable);
        process.quota->setUsed(process.used());
        if (process.quota->mustRenew(m_now))
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
            m_peakUse = std::max(m_peakUse, used());
        }
    }

    bool mayAccept(std::size_t index, std::int64_t tokens)
    {
        auto &process = m_processes[index];
        const auto count = static_cast<std::int64_t>(m_processes.size());
        if (m_policy == Policy::EqualShares)
            return process.used() + tokens <= limit / count;
        if (m_policy == Policy::SumReportedUse) {
            std::int64_t sum = process.used();
            for (std::size_t i = 0; i < m_reportedUse.size(); ++i)
                sum += i == index ? 0 : m_reportedUse[i];
            return sum + tokens <= limit;
        }
        process.quota->setUsed(process.used());
        if (process.quota->headroom(m_now) >= tokens)
            return true;
        write(process, tokens);
        return process.quota->headroom(m_now) >= tokens;
    }

    void injectFaults()
    {
        for (auto &process : m_processes) {
            if (!isActive(process)) {
                if (!process.isReachable && m_now - process.inactiveSince >= takeOverTime)
                    takeOverJobs(process);
                continue;
            }
            if (process.isDead)
                restart(process);
            process.isReachable = true;
            if (m_faults.suspends && draw(300) == 0)
                deactivate(process, draw(2) == 0);
            if (m_faults.kills && draw(600) == 0) {
                deactivate(process, false);
                process.isDead = true;
            }
        }
    }

    void deactivate(ModelProcess &process, bool isReachable)
    {
        process.isReachable = isReachable;
        process.inactiveSince = m_now;
        process.inactiveUntil = m_now + Milliseconds(500 + draw(12'000));
    }

    void takeOverJobs(ModelProcess &from)
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
    const Policy m_policy;
    const Faults m_faults;
    Duration m_now{};
    std::vector<ModelProcess> m_processes;
    std::vector<std::int64_t> m_reportedUse;
    Duration m_reportedAt{};
    ModelObject m_object;
    std::uint64_t m_writeIds = 0;
    std::int64_t m_peakUse = 0;
    std::size_t m_writes = 0;
};

struct Outcome
{
    std::int64_t peakUse = 0;
    /// Mean fraction of the limit in use after the warm-up.
    double meanUse = 0;
    std::size_t writes = 0;
};

/// Simulates half a minute.
Outcome simulate(std::uint64_t seed, std::size_t processes, std::size_t demanded, Policy policy,
                 Faults faults)
{
    constexpr int steps = 600;
    constexpr int warmUpSteps = 200;
    Model model(seed, processes, policy, faults);
    double sum = 0;
    for (int i = 0; i < steps; ++i) {
        model.step(demanded);
        if (i >= warmUpSteps)
            sum += static_cast<double>(model.used()) / static_cast<double>(limit);
    }
    return {model.peakUse(), sum / (steps - warmUpSteps), model.writes()};
}

} // namespace

TEST_CASE("The claims on a limit never add up to more than the limit", "[ClaimedQuota]")
{
    constexpr std::uint64_t histories = 150;

    SECTION("Without faults, at least 90% of the limit is used wherever the jobs arrive")
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            const std::size_t processes = seed % 2 == 0 ? 5 : 26;
            const std::size_t demanded = 2 + seed % (processes - 1);
            CAPTURE(seed, processes, demanded);
            const auto outcome = simulate(seed, processes, demanded, Policy::Claims, {});
            CHECK(outcome.peakUse <= limit);
            CHECK(outcome.meanUse >= 0.9);
        }
    }
    SECTION("Responses of the store are lost, and writes take effect late")
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            CAPTURE(seed);
            CHECK(simulate(seed, 5, 5, Policy::Claims, {.losesResponses = true}).peakUse <= limit);
        }
    }
    SECTION("Processes are suspended, partitioned or killed, and their jobs are taken over")
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            CAPTURE(seed);
            const Faults all{.losesResponses = true, .suspends = true, .kills = true};
            CHECK(simulate(seed, seed % 2 == 0 ? 5 : 9, 5, Policy::Claims, all).peakUse
                  <= limitWithOverage);
        }
    }
    SECTION("Baseline: with equal shares, the shares of processes without jobs are unused")
    {
        CHECK(simulate(1, 5, 2, Policy::EqualShares, {}).meanUse < 0.5);
    }
    SECTION("Baseline: with reported use, all processes fill the same free capacity")
    {
        CHECK(simulate(1, 26, 26, Policy::SumReportedUse, {}).peakUse > limitWithOverage);
    }
}

TEST_CASE("A claim is used only while its lease is certainly valid", "[ClaimedQuota]")
{
    const NodeId own("entry1");
    const NodeId other("entry2");
    ClaimedQuota quota(own);
    quota.configure(1'000, 2);
    Duration now = std::chrono::seconds(100);
    const auto planned = [&](const ClaimSet &current, std::int64_t needed) {
        return quota.plan(current, needed, "mark" + std::to_string(now.count()), now);
    };
    // A tenth of the limit is divided into fixed shares.
    CHECK(quota.headroom(now) == 50);
    const auto first = std::get<ClaimSet>(planned({}, 200));
    CHECK(quota.headroom(now) == 50);
    quota.confirm(first, now);
    quota.setUsed(200);
    CHECK(quota.headroom(now) >= 0);

    SECTION("It is renewed before its lease expires, and not used after that")
    {
        CHECK_FALSE(quota.mustRenew(now + Milliseconds(500)));
        CHECK(quota.mustRenew(now + claimLease / 2));
        CHECK(quota.headroom(now + claimLease) == 50 - 200);
    }
    SECTION("A claim that another process has removed from the store is lost")
    {
        now += claimLease;
        const auto again = std::get<ClaimSet>(planned({}, 0));
        CHECK(quota.headroom(now) <= 50 - 200);
        quota.confirm(again, now);
        CHECK(quota.headroom(now) >= 0);
    }
    SECTION("The claim of another process counts until it is unchanged for longer than its lease")
    {
        auto claimSet = first;
        claimSet.claims[other] = {650, "a"};
        CHECK(std::get<ClaimedQuota::Shortfall>(planned(claimSet, 400)).amount > 0);
        for (int i = 0; i < 12; ++i) {
            now += Milliseconds(500);
            CHECK(std::holds_alternative<ClaimedQuota::Shortfall>(planned(claimSet, 400)));
        }
        now += Milliseconds(1'000);
        CHECK(std::holds_alternative<ClaimSet>(planned(claimSet, 400)));

        SECTION("and that time starts again after a period without checks")
        {
            now += claimLease;
            CHECK(std::holds_alternative<ClaimedQuota::Shortfall>(planned(claimSet, 400)));
        }
    }
    SECTION("Work that is taken over is claimed even if that exceeds the limit")
    {
        auto claimSet = first;
        claimSet.claims[other] = {700, "a"};
        quota.setUsed(600);
        CHECK(quota.mustRenew(now));
        CHECK(std::get<ClaimSet>(planned(claimSet, 0)).claims.at(own).amount == 550);
    }
    SECTION("Unused quota is released")
    {
        quota.setUsed(30);
        const auto less = std::get<ClaimSet>(planned(first, 0));
        CHECK_FALSE(less.claims.contains(own));
        CHECK(quota.headroom(now) == 20);
    }
}

TEST_CASE("Serialized claims can be read back", "[ClaimedQuota]")
{
    ClaimSet claimSet;
    claimSet.claims[NodeId("entry1")] = {1'234, "entry1-1"};
    claimSet.claims[NodeId("entry2")] = {7, "entry2-9"};
    const auto parsed = parseClaimSet(serialize(claimSet));
    REQUIRE_FALSE(parsed.isError());
    CHECK(parsed.value() == claimSet);
    CHECK(parseClaimSet("{}").isError());
    CHECK(parseClaimSet("no sheet").isError());
}

TEST_CASE("Refused callers get successive retry times", "[RetryAfterSchedule]")
{
    RetryAfterSchedule schedule;
    TimePoint now{std::chrono::seconds(1'000)};
    CHECK(schedule.schedule(500, now) == Milliseconds(2'000));
    for (int i = 0; i < 200; ++i) {
        now += Milliseconds(100);
        schedule.noteDone(100, now);
    }
    // By now, 1000 units complete per second.
    const auto first = schedule.schedule(2'000, now);
    const auto second = schedule.schedule(2'000, now);
    CHECK(first >= Milliseconds(1'700));
    CHECK(first <= Milliseconds(2'300));
    CHECK(second >= first + Milliseconds(1'700));

    SECTION("but never a delay above the maximum")
    {
        for (int i = 0; i < 50; ++i)
            CHECK(schedule.schedule(2'000, now) <= Milliseconds(10'000));
    }
    SECTION("Reservations in the past do not delay later callers")
    {
        now += std::chrono::seconds(4);
        schedule.noteDone(4'000, now);
        CHECK(schedule.schedule(100, now) == Milliseconds(1'000));
    }
}
