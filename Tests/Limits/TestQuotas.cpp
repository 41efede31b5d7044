#include <Limits/Limits.h>

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <queue>

using namespace Radishplank;
using std::chrono::seconds;

namespace {

constexpr Milliseconds step{5};
constexpr Milliseconds tickInterval{20};
constexpr Milliseconds reportInterval{500};
constexpr Milliseconds latencyInZone{1};
constexpr Milliseconds latencyBetweenRegions{8};
/// Time in which pledges begin to count and the buckets fill; no calls arrive yet.
constexpr seconds warmUp{6};
const QuotaRules rules{seconds(5), 0.1, 20};

/// An owner of the model. Calls are spread over processes by weight.
struct ModelOwner
{
    QuotaLimit limit;
    /// Calls per second at a time.
    std::function<double(Duration)> demand;
    std::function<double(std::size_t process)> weight;
    std::vector<Duration> admitted;
    std::size_t refused = 0;
    std::size_t arrivals = 0;
    /// Calls that a single bucket for all processes admits, full after the warm-up.
    double idealTokens = 0;
    Duration idealAt{};
    std::size_t idealAdmitted = 0;
    /// Calls at a process that had a call of the owner within the last second, and how many of them
    /// were admitted without waiting.
    std::size_t expected = 0;
    std::size_t expectedAtOnce = 0;
    std::unordered_map<std::size_t, Duration> lastArrivals;

    void arriveAtIdeal(Duration now)
    {
        const std::chrono::duration<double> passed = now - idealAt;
        const double size = std::max(limit.burst, 1.0);
        idealTokens = idealAt == Duration{}
                              ? size
                              : std::min(size, idealTokens + passed.count() * limit.rate);
        idealAt = now;
        if (idealTokens < 1)
            return;
        idealTokens -= 1;
        idealAdmitted += 1;
    }
};

struct ModelReport
{
    std::uint64_t node = 0;
    QuotaPledge pledge;
};

struct ModelMessage
{
    Duration arrivesAt{};
    std::uint64_t order = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    std::variant<std::shared_ptr<const ModelReport>, QuotaAsk, QuotaGrant, QuotaReceipt> content;

    bool operator>(const ModelMessage &other) const
    {
        return std::pair(arrivesAt, order) > std::pair(other.arrivesAt, other.order);
    }
};

/// Several processes that exchange messages through a simulated network.
class Model
{
public:
    Model(std::size_t processes, std::uint64_t seed, const QuotaRules &modelRules = rules)
        : m_rules(modelRules)
        , m_random(seed)
        , m_processes(processes)
    {
        for (std::size_t i = 0; i < processes; ++i) {
            auto &process = m_processes[i];
            process.hash = stableHash("entry" + std::to_string(i));
            m_indexByHash[process.hash] = i;
            // Processes of a deployment start within some hundred milliseconds.
            process.startsAt = m_now + Milliseconds(randomBelow(m_random, 300));
        }
        m_memberCount = processes;
    }

    std::size_t addOwner(
            double rate, double burst, std::function<double(Duration)> demand,
            std::function<double(std::size_t)> weight = [](std::size_t) { return 1; })
    {
        ModelOwner owner;
        owner.limit = {stableHash("owner" + std::to_string(m_owners.size())), rate, burst};
        owner.demand = std::move(demand);
        owner.weight = std::move(weight);
        m_owners.push_back(std::move(owner));
        return m_owners.size() - 1;
    }

    void setLimit(std::size_t owner, double rate, double burst)
    {
        m_owners[owner].limit.rate = rate;
        m_owners[owner].limit.burst = burst;
        for (auto &process : m_processes) {
            if (process.client) {
                process.pool->setLimits(limits(), m_now);
                process.pool->updateShares(sharesOf(process), m_now);
                process.client->setLimits(limits());
            }
        }
    }

    void run(Duration time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += step;
            deliver();
            for (std::size_t i = 0; i < m_processes.size(); ++i)
                act(i);
            if (m_processes.size() < 50)
                notePledges();
            arrive();
        }
    }

    void kill(std::size_t process)
    {
        m_processes[process].pledges.reset();
        m_processes[process].pool.reset();
        m_processes[process].client.reset();
        m_processes[process].startsAt.reset();
    }
    void startLater(std::size_t process, Duration delay)
    {
        kill(process);
        m_processes[process].startsAt = m_now + delay;
    }
    void addProcess()
    {
        m_processes.emplace_back();
        auto &process = m_processes.back();
        process.hash = stableHash("added" + std::to_string(m_processes.size()));
        m_indexByHash[process.hash] = m_processes.size() - 1;
        process.startsAt = m_now;
    }
    void suspend(std::size_t process, Duration time)
    {
        m_processes[process].suspendedUntil = m_now + time;
    }
    void setGroup(std::size_t process, int group) { m_processes[process].group = group; }
    void setLoss(double loss) { m_loss = loss; }

    [[nodiscard]] std::size_t homeOf(std::size_t owner) const
    {
        const auto &homes = m_processes.front().pledges->homes();
        return m_indexByHash.at(quotaHomeOf(m_owners[owner].limit.owner, homes));
    }
    [[nodiscard]] const ModelOwner &owner(std::size_t index) const { return m_owners[index]; }
    [[nodiscard]] Duration now() const { return m_now; }
    /// Returns the largest sum of the shares of one owner's limit that homes handed out at a time.
    [[nodiscard]] double mostPledged() const { return m_mostPledged; }
    [[nodiscard]] double slack() const { return m_rules.slack; }
    [[nodiscard]] std::size_t datagrams() const { return m_datagrams; }

    /// Returns the most calls admitted in a window of five seconds that begins in a period.
    [[nodiscard]] std::size_t mostInWindow(std::size_t owner, Duration from = {},
                                           Duration until = seconds(100'000)) const
    {
        const auto &times = m_owners[owner].admitted;
        std::size_t most = 0;
        std::size_t end = 0;
        for (std::size_t begin = 0; begin < times.size(); ++begin) {
            while (end < times.size() && times[end] - times[begin] < rules.window)
                end += 1;
            if (times[begin] >= from && times[begin] < until)
                most = std::max(most, end - begin);
        }
        return most;
    }
    [[nodiscard]] std::size_t admittedBetween(std::size_t owner, Duration from,
                                              Duration until) const
    {
        const auto &times = m_owners[owner].admitted;
        return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](auto each) {
            return each >= from && each < until;
        }));
    }

private:
    struct Process
    {
        std::uint64_t hash = 0;
        std::optional<QuotaPledges> pledges;
        std::optional<QuotaPool> pool;
        std::optional<QuotaClient> client;
        std::optional<Duration> startsAt;
        Duration suspendedUntil{};
        Duration reportAt{};
        Duration tickAt{};
        int group = 0;
        std::vector<ModelMessage> inbox;
        std::unordered_map<std::uint64_t, std::size_t> waiting;
    };

    [[nodiscard]] std::vector<QuotaLimit> limits() const
    {
        std::vector<QuotaLimit> result;
        for (const auto &owner : m_owners)
            result.push_back(owner.limit);
        return result;
    }

    static std::function<QuotaShare(std::uint64_t)> sharesOf(Process &process)
    {
        return [&process](std::uint64_t owner) { return process.pledges->shareOf(owner); };
    }

    void start(Process &process)
    {
        process.startsAt.reset();
        process.waiting.clear();
        process.inbox.clear();
        process.pledges.emplace(process.hash, m_now);
        process.pool.emplace(m_rules);
        process.pool->setLimits(limits(), m_now);
        process.client.emplace(m_rules, m_random(), m_now);
        process.client->setLimits(limits());
        process.client->setHomes(process.pledges->homes());
        process.reportAt = m_now;
        process.tickAt = m_now;
    }

    [[nodiscard]] bool isRunning(const Process &process) const
    {
        return process.client && m_now >= process.suspendedUntil;
    }

    void refresh(Process &process)
    {
        // A process knows of a member that was added by that member's first report.
        process.pledges->setMemberCount(std::max(m_memberCount, process.pledges->memberCount()));
        process.client->setMemberCount(process.pledges->memberCount());
        if (process.pledges->update(m_now))
            process.pool->updateShares(sharesOf(process), m_now);
    }

    void notePledges()
    {
        for (const auto &owner : m_owners) {
            double sum = 0;
            for (const auto &process : m_processes) {
                if (!isRunning(process))
                    continue;
                const auto share = process.pledges->shareOf(owner.limit.owner);
                if (share.members > 0)
                    sum += static_cast<double>(share.pledged) / static_cast<double>(share.members);
            }
            m_mostPledged = std::max(m_mostPledged, sum);
        }
    }

    void act(std::size_t index)
    {
        auto &process = m_processes[index];
        if (process.startsAt && m_now >= *process.startsAt)
            start(process);
        if (!isRunning(process))
            return;
        for (auto &message : std::exchange(process.inbox, {}))
            receive(index, message);
        if (m_now >= process.reportAt) {
            process.reportAt = m_now + reportInterval;
            if (process.pledges->chooseHomes(process.client->suspects(m_now), m_now))
                process.client->setHomes(process.pledges->homes());
            const auto report = std::make_shared<const ModelReport>(
                    ModelReport{process.hash, process.pledges->ownPledge(m_now)});
            for (std::size_t to = 0; to < m_processes.size(); ++to) {
                if (to != index)
                    send(index, to, report);
            }
        }
        if (m_now >= process.tickAt) {
            process.tickAt = m_now + tickInterval;
            refresh(process);
            exchange(index);
        }
    }

    void send(std::size_t from, std::size_t to,
              std::variant<std::shared_ptr<const ModelReport>, QuotaAsk, QuotaGrant, QuotaReceipt>
                      content)
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss)
            return;
        const auto latency = from % 2 == to % 2 ? latencyInZone : latencyBetweenRegions;
        m_network.push({m_now + latency, ++m_order, from, to, std::move(content)});
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.top().arrivesAt <= m_now) {
            const auto message = m_network.top();
            m_network.pop();
            auto &to = m_processes[message.to];
            if (!to.client || to.group != m_processes[message.from].group)
                continue;
            if (isRunning(to))
                receive(message.to, message);
            else
                to.inbox.push_back(message);
        }
    }

    void receive(std::size_t index, const ModelMessage &message)
    {
        auto &process = m_processes[index];
        if (const auto *report
            = std::get_if<std::shared_ptr<const ModelReport>>(&message.content)) {
            if (message.from >= m_memberCount)
                process.pledges->setMemberCount(m_processes.size());
            if (process.pledges->noteReport((*report)->node, (*report)->pledge, m_now)) {
                send(index, message.from,
                     QuotaReceipt{process.hash,
                                  std::chrono::duration_cast<Milliseconds>((*report)->pledge.age)});
            }
            return;
        }
        m_datagrams += 1;
        refresh(process);
        if (const auto *ask = std::get_if<QuotaAsk>(&message.content))
            return send(index, message.from, process.pool->answer(*ask, m_now));
        if (const auto *receipt = std::get_if<QuotaReceipt>(&message.content)) {
            if (process.pledges->noteReceipt(receipt->node, receipt->age))
                process.reportAt = m_now;
            return;
        }
        process.client->noteGrant(std::get<QuotaGrant>(message.content), m_now);
        exchange(index);
    }

    void exchange(std::size_t index)
    {
        auto &process = m_processes[index];
        for (bool hasLocalAsk = true; hasLocalAsk;) {
            hasLocalAsk = false;
            for (const auto &[home, ask] : process.client->takeAsks(m_now)) {
                if (home == process.hash) {
                    hasLocalAsk = true;
                    process.client->noteGrant(process.pool->answer(ask, m_now), m_now);
                } else {
                    send(index, m_indexByHash.at(home), ask);
                }
            }
        }
        for (const auto &[ticket, retryAfter] : process.client->takeDecisions(m_now)) {
            note(m_owners[process.waiting.at(ticket)], !retryAfter);
            process.waiting.erase(ticket);
        }
    }

    void note(ModelOwner &owner, bool isAdmitted)
    {
        if (!isAdmitted) {
            owner.refused += 1;
            return;
        }
        owner.admitted.push_back(m_now);
    }

    [[nodiscard]] static Duration warmUpEnd() { return beginning() + warmUp; }
    static Duration beginning() { return seconds(1'000); }

    void arrive()
    {
        if (m_now < warmUpEnd())
            return;
        for (std::size_t i = 0; i < m_owners.size(); ++i) {
            auto &owner = m_owners[i];
            const double mean = owner.demand(m_now - beginning())
                                * std::chrono::duration<double>(step).count();
            const auto count = std::poisson_distribution<unsigned>(mean)(m_random);
            if (count == 0)
                continue;
            std::vector<double> weights;
            for (std::size_t each = 0; each < m_processes.size(); ++each)
                weights.push_back(isRunning(m_processes[each]) ? owner.weight(each) : 0);
            std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
            for (unsigned call = 0; call < count; ++call) {
                const auto at = choice(m_random);
                if (isRunning(m_processes[at]))
                    arriveAt(i, at);
            }
        }
    }

    void arriveAt(std::size_t index, std::size_t at)
    {
        auto &owner = m_owners[index];
        auto &process = m_processes[at];
        owner.arrivals += 1;
        owner.arriveAtIdeal(m_now);
        const auto decision = process.client->admit(owner.limit.owner, m_now);
        const auto last = owner.lastArrivals.find(at);
        if (last != owner.lastArrivals.end() && m_now - last->second < seconds(1)) {
            owner.expected += 1;
            owner.expectedAtOnce += std::holds_alternative<QuotaClient::Admitted>(decision) ? 1 : 0;
        }
        owner.lastArrivals[at] = m_now;
        if (const auto *waiting = std::get_if<QuotaClient::Waiting>(&decision)) {
            process.waiting[waiting->ticket] = index;
            exchange(at);
            return;
        }
        note(owner, std::holds_alternative<QuotaClient::Admitted>(decision));
    }

    const QuotaRules m_rules;
    RandomEngine m_random;
    std::vector<Process> m_processes;
    std::vector<ModelOwner> m_owners;
    std::unordered_map<std::uint64_t, std::size_t> m_indexByHash;
    std::priority_queue<ModelMessage, std::vector<ModelMessage>, std::greater<>> m_network;
    std::uint64_t m_order = 0;
    std::size_t m_memberCount = 0;
    std::size_t m_datagrams = 0;
    double m_loss = 0;
    double m_mostPledged = 0;
    Duration m_now = beginning();
};

std::function<double(Duration)> steady(double callsPerSecond)
{
    return [=](Duration) { return callsPerSecond; };
}

/// Demand that is several times the limit during a period and usual otherwise.
std::function<double(Duration)> noisy(double rate, double factor, Duration from, Duration until)
{
    return [=](Duration at) { return (at >= from && at < until ? factor : 1) * rate / 1.6; };
}

double bound(const QuotaLimit &limit, double slack = rules.slack)
{
    // Without slack, a home still needs room for a whole token in the bucket and a granted one.
    return (limit.rate * 5 + limit.burst) * 1.1 + std::max(slack, 2.0);
}

void checkBound(const Model &model, std::size_t owner)
{
    INFO("owner " << owner << " arrivals " << model.owner(owner).arrivals << " admitted "
                  << model.owner(owner).admitted.size());
    CHECK(static_cast<double>(model.mostInWindow(owner))
          <= bound(model.owner(owner).limit, model.slack()));
}

/// Checks that at least 97% of what one bucket for all processes admits is admitted.
void checkAllowance(const Model &model, std::size_t owner, double share = 0.97)
{
    const auto &each = model.owner(owner);
    INFO("owner " << owner << " arrivals " << each.arrivals << " admitted " << each.admitted.size()
                  << " ideal " << each.idealAdmitted);
    // One call more or less is a matter of rounding.
    CHECK(static_cast<double>(each.admitted.size() + 1)
          >= share * static_cast<double>(each.idealAdmitted));
}

} // namespace

TEST_CASE("In calm, each owner may use its rate over all processes, and no more", "[Quotas]")
{
    const std::size_t processes = GENERATE(18, 300);
    const auto time = processes == 18 ? seconds(40) : seconds(20);
    Model model(processes, 7);
    CAPTURE(processes);

    SECTION("with calls spread unevenly, all in one zone, or less than one per window and process")
    {
        const auto even = model.addOwner(20, 20, steady(12));
        const auto uneven = model.addOwner(20, 20, steady(19), [](std::size_t process) {
            return 1.0 / static_cast<double>(1 + process);
        });
        const auto oneZone = model.addOwner(
                20, 20, steady(60), [](std::size_t process) { return process < 3 ? 1.0 : 0.0; });
        const auto small = model.addOwner(3, 3, steady(1.9));
        const auto smallAbove = model.addOwner(2, 2, steady(6));
        const auto withoutBurst = model.addOwner(10, 0, steady(30));
        const auto above = model.addOwner(50, 50, steady(100));
        model.run(time);
        for (const auto owner : {even, uneven, oneZone, small, smallAbove, withoutBurst, above}) {
            checkBound(model, owner);
            checkAllowance(model, owner);
        }
        INFO("refused " << model.owner(even).refused << " of " << model.owner(even).arrivals);
        // Within its rate, an owner is refused only before the homes have their pledges.
        CHECK(model.owner(even).admitted.size() + 1 >= model.owner(even).idealAdmitted);
    }
    SECTION("when an owner sends 3 to 8 times its usual load")
    {
        std::vector<std::size_t> owners;
        for (const double factor : {3.0, 5.0, 8.0}) {
            owners.push_back(model.addOwner(20, 20, noisy(20, factor, seconds(8), seconds(14))));
        }
        const auto quiet = model.addOwner(20, 20, steady(12));
        model.run(time);
        for (const auto owner : owners) {
            checkBound(model, owner);
            checkAllowance(model, owner);
        }
        checkAllowance(model, quiet, 0.999);
    }
}

TEST_CASE("A call below its owner's rate is normally admitted without waiting, at the cost of few "
          "datagrams",
          "[Quotas]")
{
    Model model(18, 3);
    constexpr std::size_t owners = 73;
    double total = 0;
    for (std::size_t i = 0; i < owners; ++i)
        total += std::pow(static_cast<double>(i + 1), -1.2);
    for (std::size_t i = 0; i < owners; ++i) {
        const double load = 156 * std::pow(static_cast<double>(i + 1), -1.2) / total;
        model.addOwner(1.6 * load, 1.6 * load, steady(load));
    }
    model.run(warmUp + seconds(20));
    std::size_t expected = 0;
    std::size_t atOnce = 0;
    for (std::size_t i = 0; i < owners; ++i) {
        checkBound(model, i);
        expected += model.owner(i).expected;
        atOnce += model.owner(i).expectedAtOnce;
    }
    const double datagramsEach = static_cast<double>(model.datagrams()) / 18 / 20;
    INFO("expected " << expected << ", admitted at once " << atOnce
                     << ", datagrams received per process and second " << datagramsEach);
    CHECK(static_cast<double>(atOnce) > 0.8 * static_cast<double>(expected));
    CHECK(datagramsEach < 60);
    double refused = 0;
    double arrivals = 0;
    for (std::size_t i = 0; i < owners; ++i) {
        refused += static_cast<double>(model.owner(i).idealAdmitted)
                   - static_cast<double>(model.owner(i).admitted.size());
        arrivals += static_cast<double>(model.owner(i).idealAdmitted);
    }
    CHECK(refused / arrivals < 0.03);
}

TEST_CASE("No failure lets an owner exceed its rate by more than is tolerated", "[Quotas]")
{
    // Steady calls above the limit use every token. Calls that begin at the failure, or come in
    // waves, find full buckets; a burst that is granted twice then shows, if the slack does not
    // hide it.
    enum class Pattern { Steady, FromFailure, Waves };
    const auto pattern = GENERATE(Pattern::Steady, Pattern::FromFailure, Pattern::Waves);
    const std::uint64_t seed = GENERATE(1, 2);
    const std::size_t processes = 18;
    CAPTURE(seed, static_cast<int>(pattern));
    constexpr seconds failureAt{8};
    Model model(processes, seed, {seconds(5), 0.1, pattern == Pattern::Steady ? 20.0 : 0.0});
    const auto demand = [=](double callsPerSecond) {
        return [=](Duration at) {
            const bool isOn = pattern == Pattern::Steady
                              || (pattern == Pattern::FromFailure && at >= failureAt)
                              || (pattern == Pattern::Waves
                                  && at % Milliseconds(2'500) < Milliseconds(1'200));
            return isOn ? callsPerSecond : 0;
        };
    };
    const auto large = model.addOwner(40, 40, demand(200));
    const auto medium = model.addOwner(10, 10, demand(60));
    const auto small = model.addOwner(1, 1, demand(8));
    const auto withoutBurst = model.addOwner(10, 0, demand(40));
    const std::vector<std::size_t> owners{large, medium, small, withoutBurst};
    model.run(failureAt);
    const auto home = model.homeOf(large);
    const auto checkAll = [&] {
        for (const auto owner : owners)
            checkBound(model, owner);
        // No member counts at two homes; the tolerated excess would hide it for some seconds.
        CHECK(model.mostPledged() <= 1.0001);
    };
    // A home that was silent is avoided for 5 s, and each change of homes takes up to 3 s.
    const auto checkRecovery = [&] {
        const auto from = model.now() + seconds(9);
        model.run(seconds(19));
        for (const auto owner : owners) {
            if (pattern != Pattern::Steady)
                break;
            CAPTURE(owner);
            // A bucket of one token cannot hold what accrues while no call arrives.
            const double share = owner == withoutBurst ? 0.8 : 0.9;
            CHECK(static_cast<double>(model.admittedBetween(owner, from, model.now()))
                  >= share * model.owner(owner).limit.rate * 10);
        }
    };

    SECTION("when the home dies")
    {
        model.kill(home);
        checkRecovery();
        checkAll();
    }
    SECTION("when the home restarts")
    {
        model.startLater(home, Milliseconds(700));
        checkRecovery();
        checkAll();
    }
    SECTION("when the home is suspended and goes on with old pledges")
    {
        model.suspend(home, Milliseconds(GENERATE(300, 900, 1'500, 3'000, 6'000)));
        model.run(seconds(6));
        checkRecovery();
        checkAll();
    }
    SECTION("when a process with tokens is suspended")
    {
        model.suspend((home + 1) % processes, seconds(2));
        model.run(seconds(2));
        checkRecovery();
        checkAll();
    }
    SECTION("when the home is cut off and reachable again")
    {
        model.setGroup(home, 1);
        model.run(seconds(8));
        checkAll();
        model.setGroup(home, 0);
        checkRecovery();
        checkAll();
    }
    SECTION("when a group is cut off")
    {
        for (std::size_t i = 0; i < 6; ++i)
            model.setGroup(i, 1);
        model.run(seconds(10));
        checkAll();
        for (std::size_t i = 0; i < 6; ++i)
            model.setGroup(i, 0);
        checkRecovery();
        checkAll();
    }
    SECTION("when each process is alone")
    {
        for (std::size_t i = 0; i < processes; ++i)
            model.setGroup(i, static_cast<int>(i));
        model.run(seconds(15));
        checkAll();
    }
    SECTION("when a fifth of the reports, asks and grants is lost")
    {
        model.setLoss(0.2);
        model.run(seconds(15));
        checkAll();
    }
    SECTION("when all processes restart at once")
    {
        for (std::size_t i = 0; i < processes; ++i)
            model.startLater(i, Milliseconds(200 + 20 * static_cast<int>(i)));
        checkRecovery();
        checkAll();
    }
    SECTION("when the processes restart one by one")
    {
        for (std::size_t i = 0; i < processes; ++i) {
            model.startLater(i, Milliseconds(500));
            model.run(seconds(1));
        }
        checkAll();
    }
    SECTION("when a member is added")
    {
        model.addProcess();
        checkRecovery();
        checkAll();
    }
    SECTION("when the limit is lowered")
    {
        const auto changedAt = model.now();
        model.setLimit(large, 10, 10);
        model.run(seconds(15));
        CHECK(static_cast<double>(model.mostInWindow(large, changedAt))
              <= bound(model.owner(large).limit, model.slack()));
        CHECK(static_cast<double>(model.mostInWindow(large, {}, changedAt))
              <= bound({0, 40, 40}, model.slack()));
    }
}

TEST_CASE(
        "Owners whose home changes are refused for half a second at most if the old home is alive",
        "[Quotas]")
{
    Model model(18, GENERATE(1, 2, 3));
    constexpr std::size_t owners = 40;
    // No calls at the added process, which knows no homes before the first reports arrive.
    for (std::size_t i = 0; i < owners; ++i) {
        model.addOwner(20, 20, steady(12),
                       [](std::size_t process) { return process < 18 ? 1 : 0; });
    }
    model.run(warmUp + seconds(3));
    std::vector<std::size_t> homes;
    std::vector<std::size_t> refused;
    for (std::size_t i = 0; i < owners; ++i) {
        homes.push_back(model.homeOf(i));
        refused.push_back(model.owner(i).refused);
    }
    model.addProcess();
    model.run(seconds(8));
    std::size_t moved = 0;
    std::size_t refusedOfMoved = 0;
    for (std::size_t i = 0; i < owners; ++i) {
        checkBound(model, i);
        const auto more = model.owner(i).refused - refused[i];
        if (model.homeOf(i) == homes[i]) {
            CHECK(more <= 2);
            continue;
        }
        moved += 1;
        refusedOfMoved += more;
    }
    INFO(moved << " owners moved, " << refusedOfMoved << " of their calls were refused");
    CHECK(moved > 0);
    // At 12 calls a second each. Without receipts, the homes would be missing for two seconds more.
    CHECK(refusedOfMoved <= 6 * moved);
}

TEST_CASE("After a restart of all processes, owners are soon served again", "[Quotas]")
{
    Model model(18, GENERATE(1, 2, 3));
    const auto owner = model.addOwner(60, 60, steady(40));
    model.run(warmUp + seconds(3));
    const auto restartedAt = model.now();
    for (std::size_t i = 0; i < 18; ++i)
        model.startLater(i, Milliseconds(200 + 20 * static_cast<int>(i)));
    model.run(seconds(8));
    // The last process starts after 0.54 s. Waiting until every earlier pledge has lapsed left all
    // owners without a home for two seconds more.
    CHECK(model.admittedBetween(owner, restartedAt, restartedAt + seconds(2)) > 0);
    checkBound(model, owner);
}

TEST_CASE("In a large fleet no failure lets an owner exceed its rate either", "[Quotas]")
{
    const std::size_t processes = 300;
    Model model(processes, 5);
    const auto large = model.addOwner(60, 60, steady(180));
    const auto small = model.addOwner(2, 2, steady(8));
    model.run(seconds(7));
    const auto home = model.homeOf(large);

    SECTION("when the home dies")
    {
        model.kill(home);
        model.run(seconds(9));
    }
    SECTION("when a third is cut off")
    {
        for (std::size_t i = 0; i < 100; ++i)
            model.setGroup(i, 1);
        model.run(seconds(9));
    }
    SECTION("when all processes restart at once")
    {
        for (std::size_t i = 0; i < processes; ++i)
            model.startLater(i, Milliseconds(200 + static_cast<int>(i)));
        model.run(seconds(9));
    }
    checkBound(model, large);
    checkBound(model, small);
}

TEST_CASE("A process decides without waiting long if its owner's home is silent", "[Quotas]")
{
    const QuotaLimit limit{1, 10, 10};
    const Duration start = seconds(100);
    QuotaClient client(rules, 77, start);
    client.setLimits(std::vector{limit});
    client.setHomes({5});
    client.setMemberCount(18);
    const auto waitInVain = [&](Duration at) {
        const auto decision = client.admit(1, at);
        REQUIRE(std::holds_alternative<QuotaClient::Waiting>(decision));
        CHECK(client.takeAsks(at).size() == 1);
        CHECK(client.takeAsks(at + Milliseconds(20)).empty());
        CHECK(client.takeDecisions(at + Milliseconds(40)).empty());
        CHECK(client.takeAsks(at + Milliseconds(60)).size() == 1);
        const auto decided = client.takeDecisions(at + Milliseconds(120));
        REQUIRE(decided.size() == 1);
        return decided.front();
    };

    SECTION("It admits one call per window, which the rules leave over")
    {
        const auto now = start + seconds(10);
        CHECK_FALSE(waitInVain(now).retryAfter);
        CHECK(std::holds_alternative<QuotaClient::Refused>(
                client.admit(1, now + Milliseconds(130))));
        CHECK(waitInVain(now + seconds(4)).retryAfter);
        CHECK_FALSE(waitInVain(now + seconds(6)).retryAfter);
    }
    SECTION("and none in its first window, as it may have admitted some before a restart")
    {
        CHECK(waitInVain(start + seconds(3)).retryAfter);
    }
    SECTION("An answer that comes too late is of no use")
    {
        const auto now = start + seconds(10);
        (void)client.admit(1, now);
        const auto ask = client.takeAsks(now).front().ask;
        (void)client.takeDecisions(now + Milliseconds(300));
        client.noteGrant({ask.id, {{1, 5, Milliseconds(0), Milliseconds(200), false}}},
                         now + Milliseconds(300));
        CHECK_FALSE(std::holds_alternative<QuotaClient::Admitted>(
                client.admit(1, now + Milliseconds(310))));
    }
    SECTION("It is suspected after some asks, so that the shares move to another home")
    {
        const auto now = start + seconds(10);
        for (int i = 0; i < 30; ++i) {
            (void)client.admit(1, now + Milliseconds(20 * i));
            (void)client.takeAsks(now + Milliseconds(20 * i));
            if (i < 20)
                CHECK(client.suspects(now + Milliseconds(20 * i)).empty());
        }
        CHECK(client.suspects(now + Milliseconds(600)) == std::set<std::uint64_t>{5});
        CHECK(client.suspects(now + seconds(6)).empty());
    }
}

TEST_CASE("The token of a call that has not run is used by the next call", "[Quotas]")
{
    const Duration now = seconds(100);
    QuotaClient client(rules, 77, seconds(50));
    client.setLimits(std::vector{QuotaLimit{1, 10, 10}});
    client.setHomes({5});
    client.setMemberCount(18);
    REQUIRE(std::holds_alternative<QuotaClient::Waiting>(client.admit(1, now)));
    const auto ask = client.takeAsks(now).front().ask;
    client.noteGrant({ask.id, {{1, 1, Milliseconds(0), Milliseconds(500), false}}}, now);
    REQUIRE(client.takeDecisions(now).size() == 1);

    SECTION("if it is put back in time")
    {
        client.putBack(1, now + Milliseconds(50));
        CHECK(std::holds_alternative<QuotaClient::Admitted>(
                client.admit(1, now + Milliseconds(60))));
        CHECK_FALSE(std::holds_alternative<QuotaClient::Admitted>(
                client.admit(1, now + Milliseconds(70))));
    }
    SECTION("but not after its lifetime")
    {
        client.putBack(1, now + Milliseconds(500));
        CHECK_FALSE(std::holds_alternative<QuotaClient::Admitted>(
                client.admit(1, now + Milliseconds(510))));
    }
    SECTION("nor after the home was told of its use, and may have granted another one for it")
    {
        REQUIRE(std::holds_alternative<QuotaClient::Waiting>(
                client.admit(1, now + Milliseconds(150))));
        CHECK(client.takeAsks(now + Milliseconds(150)).front().ask.entries.front().used == 1);
        client.putBack(1, now + Milliseconds(160));
        CHECK_FALSE(std::holds_alternative<QuotaClient::Admitted>(
                client.admit(1, now + Milliseconds(170))));
    }
}

TEST_CASE("A process that hears all members pledges its shares at once", "[Quotas]")
{
    constexpr std::uint64_t self = 10;
    constexpr std::uint64_t other = 20;
    const Duration start = seconds(100);
    QuotaPledges pledges(self, start);
    pledges.setMemberCount(2);
    std::uint64_t owner = 1;
    while (quotaHomeOf(owner, QuotaHomes{self, other}) != self)
        owner += 1;
    const auto ownAge = [&](Duration at) { return pledges.ownPledge(at).age; };
    (void)pledges.chooseHomes({}, start);
    CHECK(ownAge(start) == Duration(0));

    SECTION("also if it has just started")
    {
        const auto at = start + Milliseconds(500);
        (void)pledges.noteReport(other, {{self, other}, {}, seconds(50)}, at);
        (void)pledges.update(at);
        CHECK(pledges.shareOf(owner).pledged == 1);
        (void)pledges.chooseHomes({}, at);
        (void)pledges.update(at);
        CHECK(pledges.shareOf(owner).pledged == 2);
        CHECK(ownAge(at) >= seconds(2));

        SECTION("and from then on announces the sets that it replaces")
        {
            const auto later = at + Milliseconds(460);
            REQUIRE(pledges.chooseHomes({other}, later));
            CHECK(pledges.ownPledge(later).previousHomes == std::vector<QuotaHomes>{{self, other}});
        }
    }
    SECTION("but not if one is suspected")
    {
        const auto at = start + Milliseconds(500);
        (void)pledges.noteReport(other, {{self, other}, {}, seconds(50)}, at);
        (void)pledges.chooseHomes({other}, at);
        (void)pledges.update(at);
        // Only the share of the other process.
        CHECK(pledges.shareOf(owner).pledged == 1);
    }
}

TEST_CASE("A member counts at one home only", "[Quotas]")
{
    constexpr std::uint64_t self = 10;
    constexpr std::uint64_t other = 20;
    const Duration start = seconds(100);
    QuotaPledges pledges(self, start);
    // A third member is not heard, so that this process waits before it pledges.
    pledges.setMemberCount(3);
    // Two owners with different homes among both processes.
    std::uint64_t owner = 1;
    while (quotaHomeOf(owner, QuotaHomes{self, other}) != self)
        owner += 1;
    const auto report = [&](QuotaHomes homes, std::vector<QuotaHomes> previous, Duration at) {
        return pledges.noteReport(other, {std::move(homes), std::move(previous), at - seconds(50)},
                                  at);
    };
    const auto share = [&](Duration at) {
        (void)pledges.update(at);
        return pledges.shareOf(owner).pledged;
    };
    for (int i = 0; i <= 30; ++i) {
        const auto at = start + Milliseconds(100 * i);
        CHECK_FALSE(report({self, other}, {}, at));
        (void)pledges.chooseHomes({}, at);
        // Nothing of its own in the first two seconds.
        CHECK(share(at) == (i < 20 ? 1U : 2U));
    }
    const auto now = start + Milliseconds(3'000);

    SECTION("not at the old one after it has announced another set, and that is confirmed")
    {
        CHECK(report({other}, {{self, other}}, now + Milliseconds(10)));
        CHECK(share(now + Milliseconds(10)) == 1);
        SECTION("not even if an earlier report arrives late")
        {
            CHECK_FALSE(pledges.noteReport(
                    other, {{self, other}, {}, now - Milliseconds(100) - seconds(50)},
                    now + Milliseconds(20)));
            CHECK(share(now + Milliseconds(20)) == 1);
        }
    }
    SECTION("not at the new one while the old one may count it")
    {
        CHECK(report({self, other}, {{other}}, now + Milliseconds(10)) == false);
        CHECK(share(now + Milliseconds(10)) == 1);
    }
    SECTION("not after it has been silent")
    {
        for (int i = 1; i <= 13; ++i)
            (void)pledges.update(now + Milliseconds(100 * i));
        CHECK(pledges.shareOf(owner).pledged == 1);
    }
    SECTION("not at a home that was suspended, by reports that waited for it")
    {
        const auto later = now + seconds(3);
        CHECK_FALSE(report({self, other}, {}, later));
        CHECK(share(later) == 1);
        CHECK(share(later + Milliseconds(150)) == 1);
        CHECK_FALSE(report({self, other}, {}, later + Milliseconds(300)));
        CHECK(share(later + Milliseconds(300)) == 2);
    }
    SECTION("not by a member that has just started")
    {
        (void)pledges.noteReport(other, {{self, other}, {}, seconds(1)}, now + Milliseconds(10));
        CHECK(share(now + Milliseconds(10)) == 1);
    }
    SECTION("This process announces a replaced set until its homes confirm the change")
    {
        REQUIRE(pledges.chooseHomes({other}, now + Milliseconds(460)));
        const auto announced = pledges.ownPledge(now + Milliseconds(460));
        CHECK(announced.previousHomes == std::vector<QuotaHomes>{{self, other}});
        CHECK_FALSE(pledges.noteReceipt(other, Milliseconds(3'400)));
        CHECK(pledges.noteReceipt(other, Milliseconds(3'460)));
        CHECK(pledges.ownPledge(now + Milliseconds(510)).previousHomes.empty());
    }
}
