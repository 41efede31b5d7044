#include <Gateway/Gateway.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

using namespace Radishplank;

namespace {

constexpr Milliseconds tick{20};
constexpr unsigned zones = 6;
/// Quotas are managed by this many processes, and each process reports to all of them.
constexpr std::size_t quotaHomeCount = 16;

ZoneName zoneNamed(unsigned zone)
{
    return ZoneName("zone" + std::to_string(zone));
}

Locality localityIn(unsigned zone)
{
    Locality locality;
    locality.zone = zoneNamed(zone);
    locality.region = RegionName(zone < zones / 2 ? "north" : "south");
    for (unsigned i = 0; i < zones; ++i)
        locality.regions[zoneNamed(i)] = RegionName(i < zones / 2 ? "north" : "south");
    return locality;
}

/// Entry processes that exchange reports over a network that delivers each datagram at the next
/// tick, or loses it.
class Model
{
public:
    struct Process
    {
        explicit Process(const std::string &processName, unsigned processZone)
            : name(processName)
            , zone(processZone)
            , peers(name, zoneNamed(zone))
            , reporter(name, localityIn(zone))
        {
        }

        const NodeId name;
        const unsigned zone;
        PeerTable peers;
        FleetReporter reporter;
        Endpoint endpoint;
        std::vector<UpstreamStreams> loads;
        std::vector<std::string> jobs;
        std::vector<std::string> endedJobs;
        TimePoint periodicAt{};
        bool hasLoadChanged = true;
        bool isUrgent = false;
        bool isDead = false;
        std::size_t datagramsIn = 0;
        std::size_t datagramsOut = 0;
        std::size_t bytesIn = 0;
        std::size_t bytesOut = 0;
        std::size_t bytesToOtherRegion = 0;
        /// Ended jobs heard, directly or through relays.
        std::set<std::string> heardEnds;
        /// When a report of each other process last arrived from it.
        std::map<NodeId, TimePoint> fullReportAt;
    };

    Model(std::size_t count, unsigned seed, double lossRate)
        : m_random(seed)
        , m_lossRate(lossRate)
    {
        for (std::size_t i = 0; i < 10 * count; ++i) {
            m_upstreams.push_back({stableHash("i-" + std::to_string(i)), stableHash("service"),
                                   stableHash(zoneNamed(i % zones).text())});
        }
        m_subset.emplace(FleetPartition::cellCount(count), m_upstreams);
        for (std::size_t i = 0; i < count; ++i)
            add();
    }

    Process &add()
    {
        const auto index = m_processes.size();
        auto &added = *m_processes.emplace_back(std::make_unique<Process>(
                "entry" + std::to_string(index), static_cast<unsigned>(index % zones)));
        added.endpoint = {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250),
                          21'364};
        // Periodic reports of different processes are not sent at the same time.
        added.periodicAt = m_now - tick * static_cast<int>(randomBelow(m_random, 25));
        for (const auto &other : m_processes)
            added.peers.noteMember(other->name, zoneNamed(other->zone), other->endpoint);
        added.peers.noteMembersListed();
        m_byEndpoint[added.endpoint] = &added;
        return added;
    }

    void run(Milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += tick) {
            for (const auto &[to, bytes] : std::exchange(m_inFlight, {}))
                deliver(*to, bytes);
            for (const auto &process : m_processes) {
                if (!process->isDead)
                    step(*process);
            }
        }
    }

    void resetCounters()
    {
        for (const auto &process : m_processes) {
            process->datagramsIn = process->datagramsOut = 0;
            process->bytesIn = process->bytesOut = process->bytesToOtherRegion = 0;
        }
    }

    /// Returns how many pairs of live processes consider each other unreachable.
    [[nodiscard]] std::size_t falselyUnreachable() const
    {
        std::size_t pairs = 0;
        for (const auto &process : m_processes) {
            for (const auto &other : m_processes)
                pairs += !process->isDead && !other->isDead
                         && !process->peers.isReachable(other->name, m_now);
        }
        return pairs;
    }

    [[nodiscard]] Process &at(std::size_t index) { return *m_processes[index]; }
    [[nodiscard]] const std::vector<std::unique_ptr<Process>> &processes() const
    {
        return m_processes;
    }
    [[nodiscard]] TimePoint now() const { return m_now; }
    /// Loses all datagrams between two zones.
    std::optional<std::pair<unsigned, unsigned>> cutZones;

private:
    void deliver(Process &to, const std::string &bytes)
    {
        if (to.isDead)
            return;
        to.datagramsIn += 1;
        to.bytesIn += bytes.size();
        const auto decoded = decodePeerReport(bytes);
        if (decoded.isError())
            FAIL("A report cannot be decoded");
        const auto &report = decoded.value();
        const auto &sender = m_endpoints.at(report.node);
        to.reporter.note(report, m_now);
        to.peers.noteReport(report, sender, m_now);
        to.heardEnds.insert(report.endedJobs.begin(), report.endedJobs.end());
        if (report.hasJobs)
            to.fullReportAt[report.node] = m_now;
        for (const auto &heard : report.heard)
            to.peers.noteHeard(heard, m_now);
        for (const auto &[age, relayed] : report.relayed) {
            if (to.peers.noteRelayedReport(relayed, age, m_endpoints.at(relayed.node), m_now))
                to.heardEnds.insert(relayed.endedJobs.begin(), relayed.endedJobs.end());
        }
    }

    void changeLoads(Process &process)
    {
        // Seven streams a second begin and end.
        if (randomBelow(m_random, 1'000) >= 14 * tick.count())
            return;
        process.hasLoadChanged = true;
        if (process.loads.size() > 4) {
            process.loads.erase(process.loads.begin());
            return;
        }
        const auto position = process.reporter.position();
        for (unsigned attempt = 0; attempt < 1'000; ++attempt) {
            const auto &upstream = m_upstreams[randomBelow(m_random, m_upstreams.size())];
            if (!m_subset->isUsedBy(position, upstream.upstream))
                continue;
            process.loads.push_back({upstream.upstream, 1, 0});
            return;
        }
    }

    void step(Process &process)
    {
        m_endpoints[process.name] = process.endpoint;
        changeLoads(process);
        const bool isPeriodic = m_now - process.periodicAt >= fullReportInterval;
        if (!isPeriodic && !process.isUrgent && !process.hasLoadChanged)
            return;
        PeerReport report;
        report.node = process.name;
        report.zone = zoneNamed(process.zone);
        report.control = {process.endpoint.address, 77};
        report.relaysReports = true;
        report.fleet = {7, 1'000, 55};
        report.loads = process.loads;
        if (isPeriodic || process.isUrgent) {
            report.hasJobs = true;
            for (const auto &job : process.jobs)
                report.ownedJobs.push_back(jobHash(job));
            report.endedJobs = process.endedJobs;
            for (std::size_t i = 0; i < std::min(quotaHomeCount, m_processes.size()); ++i)
                report.quotaHomes.push_back(nodeHash(m_processes[i]->name));
        }
        const auto occasion = process.isUrgent ? ReportOccasion::Urgent
                              : isPeriodic     ? ReportOccasion::Periodic
                                               : ReportOccasion::LoadChange;
        if (occasion == ReportOccasion::Periodic)
            process.periodicAt = m_now;
        process.isUrgent = false;
        const auto peers = process.peers.reportPeers(m_now);
        const auto datagrams
                = process.reporter.datagrams(report, occasion, &*m_subset, peers, m_now);
        process.hasLoadChanged = process.reporter.hasUnsentLoads();
        for (const auto &datagram : datagrams) {
            auto &to = *m_byEndpoint.at(datagram.to);
            process.datagramsOut += 1;
            process.bytesOut += datagram.bytes.size();
            const bool isOtherRegion = (process.zone < zones / 2) != (to.zone < zones / 2);
            process.bytesToOtherRegion += isOtherRegion ? datagram.bytes.size() : 0;
            const bool isCut = cutZones
                               && (*cutZones == std::pair(process.zone, to.zone)
                                   || *cutZones == std::pair(to.zone, process.zone));
            const bool isLost
                    = static_cast<double>(randomBelow(m_random, 10'000)) < m_lossRate * 10'000;
            if (!isCut && !isLost)
                m_inFlight.emplace_back(&to, datagram.bytes);
        }
    }

    RandomEngine m_random;
    const double m_lossRate;
    TimePoint m_now{std::chrono::seconds(1'000)};
    std::vector<SubsetUpstream> m_upstreams;
    std::optional<UpstreamSubset> m_subset;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::map<Endpoint, Process *> m_byEndpoint;
    std::map<NodeId, Endpoint> m_endpoints;
    std::vector<std::pair<Process *, std::string>> m_inFlight;
};

std::size_t median(std::vector<std::size_t> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// What the processes send and receive in a second.
struct Cost
{
    std::vector<std::size_t> datagrams;
    std::vector<std::size_t> bytes;
    std::vector<std::size_t> bytesToOtherRegion;

    [[nodiscard]] static std::size_t most(const std::vector<std::size_t> &values)
    {
        return *std::max_element(values.begin(), values.end());
    }
};

Cost measure(Model &model, Milliseconds startTime)
{
    model.run(startTime);
    model.resetCounters();
    model.run(Milliseconds(2'000));
    Cost cost;
    for (const auto &process : model.processes()) {
        // The mean of both directions, over two seconds.
        cost.datagrams.push_back((process->datagramsIn + process->datagramsOut) / 4);
        cost.bytes.push_back((process->bytesIn + process->bytesOut) / 4);
        cost.bytesToOtherRegion.push_back(process->bytesToOtherRegion / 2);
    }
    return cost;
}

struct CostLimit
{
    std::size_t processes = 0;
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    /// Time after a start of all processes at once until the reports are in a steady state.
    Milliseconds startTime{1'500};
};

void checkCost(const CostLimit &limit)
{
    CAPTURE(limit.processes);
    Model model(limit.processes, 11, 0.01);
    const auto cost = measure(model, limit.startTime);
    const auto text = std::to_string(limit.processes) + " processes: datagrams a second each way "
                      + std::to_string(median(cost.datagrams)) + " (most "
                      + std::to_string(Cost::most(cost.datagrams)) + "), bytes "
                      + std::to_string(median(cost.bytes)) + " (most "
                      + std::to_string(Cost::most(cost.bytes)) + "), bytes to the other region "
                      + std::to_string(median(cost.bytesToOtherRegion)) + " (most "
                      + std::to_string(Cost::most(cost.bytesToOtherRegion)) + ")";
    std::cout << text << '\n';
    CHECK(model.falselyUnreachable() == 0);
    CHECK(median(cost.datagrams) <= limit.datagrams);
    CHECK(median(cost.bytes) <= limit.bytes);
    CHECK(Cost::most(cost.bytes) <= 2 * median(cost.bytes));
}

} // namespace

TEST_CASE("Only a large fleet limits who gets reports", "[FleetReporter]")
{
    PeerTable peers(NodeId("entry0"), zoneNamed(0));
    for (std::size_t i = 1; i < maxSmallFleet; ++i)
        peers.noteMember(NodeId("entry" + std::to_string(i)), zoneNamed(0), {"10.0.0.1", 1});
    CHECK_FALSE(peers.isLargeFleet());
    peers.noteMember(NodeId("another"), zoneNamed(0), {"10.0.0.1", 1});
    CHECK(peers.isLargeFleet());
}

TEST_CASE("Reports cost a bounded part of a process's link", "[FleetReporter]")
{
    // Every full report to every process was 600 datagrams a second each way at 300 processes, and
    // small machines spent their processor time on reports instead of calls.
    checkCost({100, 450, 240'000});
}

TEST_CASE("Reports cost a bounded part of a process's link in a fleet of 300", "[.large]")
{
    checkCost({300, 480, 320'000});
}

TEST_CASE("Reports cost a bounded part of a process's link in a fleet of a thousand", "[.large]")
{
    checkCost({1'000, 850, 750'000, Milliseconds(4'000)});
}

TEST_CASE("Every process learns of every other through relays", "[FleetReporter]")
{
    Model model(100, 3, 0.02);
    model.run(Milliseconds(3'000));
    CHECK(model.falselyUnreachable() == 0);

    SECTION("Losses do not make live processes unreachable, which would move their jobs")
    {
        for (unsigned i = 0; i < 25; ++i) {
            model.run(Milliseconds(200));
            REQUIRE(model.falselyUnreachable() == 0);
        }
    }
    SECTION("A process that dies is unreachable everywhere after 2.5 s, and its relays are "
            "replaced")
    {
        for (const std::size_t dead : {20, 26, 32, 38})
            model.at(dead).isDead = true;
        for (unsigned i = 0; i < 18; ++i) {
            model.run(Milliseconds(200));
            REQUIRE(model.falselyUnreachable() == 0);
        }
        for (const auto &process : model.processes()) {
            if (!process->isDead)
                CHECK_FALSE(process->peers.isReachable(NodeId("entry20"), model.now()));
        }
    }
    SECTION("A process that joins is known everywhere, and knows every other, within 1.5 s")
    {
        model.add();
        model.run(Milliseconds(1'500));
        CHECK(model.falselyUnreachable() == 0);
    }
    SECTION("A job is known everywhere shortly after its start, and a change of owner too")
    {
        model.at(5).jobs = {"job1"};
        model.at(5).isUrgent = true;
        model.run(Milliseconds(1'000));
        std::size_t unknown = 0;
        for (const auto &process : model.processes())
            unknown += process->name != NodeId("entry5")
                       && !process->peers.ownerOf("job1", model.now());
        // The datagrams that were lost are made up for by the relays.
        CHECK(unknown == 0);
    }
    SECTION("The end of a job reaches every process within 3 s, also without an urgent report")
    {
        model.at(7).endedJobs = {"job2"};
        model.run(Milliseconds(3'000));
        for (const auto &process : model.processes()) {
            if (process->name != NodeId("entry7"))
                CHECK(process->heardEnds.contains("job2"));
        }
    }
    SECTION("The processes that manage quotas hear from each process itself twice a second")
    {
        for (unsigned i = 0; i < 10; ++i) {
            model.run(Milliseconds(200));
            for (std::size_t home = 0; home < quotaHomeCount; ++home) {
                for (const auto &process : model.processes()) {
                    if (process->name != model.at(home).name)
                        // Two reports in a row may be lost.
                        CHECK(model.now() - model.at(home).fullReportAt[process->name]
                              <= Milliseconds(1'600));
                }
            }
        }
    }
    SECTION("Zones that cannot reach each other are unreachable to each other, and recover")
    {
        model.cutZones = {1, 4};
        model.run(Milliseconds(3'600));
        for (const auto &process : model.processes()) {
            if (process->zone == 1)
                CHECK_FALSE(process->peers.isReachable(NodeId("entry4"), model.now()));
            if (process->zone == 0)
                CHECK(process->peers.isReachable(NodeId("entry4"), model.now()));
        }
        model.cutZones.reset();
        model.run(Milliseconds(1'500));
        CHECK(model.falselyUnreachable() == 0);
    }
}

TEST_CASE("Processes of earlier versions get all reports directly", "[FleetReporter]")
{
    // They do not read relayed reports, and would consider most of the fleet unreachable.
    FleetReporter reporter(NodeId("entry0"), localityIn(0));
    std::vector<ReportPeer> peers;
    const TimePoint now{std::chrono::seconds(1'000)};
    for (std::size_t i = 1; i < 100; ++i) {
        const Endpoint endpoint{"10.0.0." + std::to_string(i), 1};
        peers.push_back({nodeHash(NodeId("entry" + std::to_string(i))),
                         zoneNamed(static_cast<unsigned>(i % zones)), endpoint, true, now, false});
    }
    PeerReport report;
    report.node = NodeId("entry0");
    report.hasJobs = true;
    const auto datagrams
            = reporter.datagrams(report, ReportOccasion::Periodic, nullptr, peers, now);
    CHECK(datagrams.size() == peers.size());
}

TEST_CASE("Relays share the recipients of a zone evenly", "[FleetReporter]")
{
    std::vector<RelayCandidate> zone;
    for (std::uint64_t i = 0; i < 50; ++i)
        zone.push_back({i, true});
    std::map<std::uint64_t, std::size_t> recipients;
    const auto count = [&] {
        recipients.clear();
        for (std::size_t recipient = 0; recipient < 250; ++recipient) {
            std::size_t relays = 0;
            for (const auto &candidate : zone) {
                if (!candidate.isAlive || !ReportRelay::isRelayFor(recipient, candidate.node, zone))
                    continue;
                recipients[candidate.node] += 1;
                relays += 1;
            }
            REQUIRE(relays == 2);
        }
    };
    count();
    for (const auto &[node, number] : recipients)
        CHECK(number == 10);

    SECTION("also after some have died, whose recipients go to the next ones")
    {
        zone[10].isAlive = zone[11].isAlive = zone[40].isAlive = false;
        count();
        for (const auto &[node, number] : recipients)
            CHECK(number <= 30);
    }
    SECTION("A process that is alone in its zone is the only relay")
    {
        CHECK(ReportRelay::isRelayFor(3, 5, std::vector<RelayCandidate>{{5, true}}));
    }
}

TEST_CASE("Loads are reported to the processes that use the same upstreams", "[FleetReporter]")
{
    std::vector<SubsetUpstream> upstreams;
    for (std::size_t i = 0; i < 1'000; ++i)
        upstreams.push_back({stableHash("i-" + std::to_string(i)), 1, 2});
    const UpstreamSubset subset(2, upstreams);
    FleetReporter reporter(NodeId("entry0"), localityIn(0));
    std::vector<ReportPeer> peers;
    TimePoint now{std::chrono::seconds(1'000)};
    for (std::size_t i = 1; i < 100; ++i) {
        const Endpoint endpoint{"10.0.0." + std::to_string(i), 1};
        peers.push_back({nodeHash(NodeId("entry" + std::to_string(i))),
                         zoneNamed(static_cast<unsigned>(i % zones)), endpoint, true, now, true});
    }
    PeerReport report;
    report.node = NodeId("entry0");
    (void)reporter.datagrams(report, ReportOccasion::LoadChange, &subset, peers, now);
    const auto send = [&] {
        now += Milliseconds(2'000);
        return reporter.datagrams(report, ReportOccasion::LoadChange, &subset, peers, now);
    };
    const auto upstreamUsed = [&](bool isUsed) {
        return std::find_if(upstreams.begin(), upstreams.end(),
                            [&](const auto &each) {
                                return subset.isUsedBy(reporter.position(), each.upstream)
                                       == isUsed;
                            })
                ->upstream;
    };

    SECTION("those of the own cell")
    {
        report.loads = {{upstreamUsed(true), 1, 0}};
        const auto datagrams = send();
        CHECK(datagrams.size() >= 45);
        CHECK(datagrams.size() <= 53);
    }
    SECTION("and for a call outside of the cell also those of the other, until it has ended")
    {
        report.loads = {{upstreamUsed(false), 1, 0}, {upstreamUsed(true), 1, 0}};
        CHECK(send().size() == peers.size());
        report.loads.clear();
        CHECK(send().size() == peers.size());
        CHECK(send().empty());
    }
    SECTION("Changes that come too soon for a peer are remembered")
    {
        report.loads = {{upstreamUsed(true), 1, 0}};
        send();
        CHECK_FALSE(reporter.hasUnsentLoads());
        report.loads[0].online = 2;
        (void)reporter.datagrams(report, ReportOccasion::LoadChange, &subset, peers, now + tick);
        CHECK(reporter.hasUnsentLoads());
    }
}
