#include <Gateway/PeerReport.h>

#include <Gateway/PeerReport.capnp.h>

#include <algorithm>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/array.h>
#include <kj/exception.h>

namespace Radishplank {

namespace {

std::string textOf(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

PromptParts decodeParts(capnp::List<std::uint64_t>::Reader parts)
{
    PromptParts result;
    result.reserve(parts.size());
    for (const auto part : parts)
        result.push_back(part);
    return result;
}

template<typename Builder>
void encodeParts(std::span<const std::uint64_t> parts, Builder builder)
{
    auto list = builder.initParts(static_cast<unsigned>(parts.size()));
    for (unsigned i = 0; i < parts.size(); ++i)
        list.set(i, parts[i]);
}

std::uint32_t encodeMilliseconds(Milliseconds duration)
{
    return static_cast<std::uint32_t>(duration.count());
}

CrashingPartReport decodePartUpdates(Rpc::PeerReport::Reader reader)
{
    CrashingPartReport updates;
    for (const auto call : reader.getSuspectCalls()) {
        updates.suspects.push_back({decodeParts(call.getParts()), call.getUpstreamStart(),
                                    call.getObservation(), Milliseconds(call.getAgeMs()),
                                    call.getIsItem() ? CallSource::Item : CallSource::Caller});
    }
    for (const auto cleared : reader.getClearedParts())
        updates.cleared.push_back({cleared.getPart(), Milliseconds(cleared.getAgeMs())});
    for (const auto blocked : reader.getBlockedParts()) {
        updates.blocked.push_back({decodeParts(blocked.getParts()),
                                   Milliseconds(blocked.getAgeMs()),
                                   Milliseconds(blocked.getRemainingMs()), blocked.getLevel(),
                                   blocked.getIsForItemsOnly(), blocked.getFailedItemTrials(),
                                   Milliseconds(blocked.getItemTrialMs())});
    }
    return updates;
}

void encodePartUpdates(const CrashingPartReport &updates, Rpc::PeerReport::Builder builder)
{
    auto suspects = builder.initSuspectCalls(static_cast<unsigned>(updates.suspects.size()));
    for (unsigned i = 0; i < suspects.size(); ++i) {
        const auto &call = updates.suspects[i];
        encodeParts(call.parts, suspects[i]);
        suspects[i].setUpstreamStart(call.upstreamStart);
        suspects[i].setObservation(call.observation);
        suspects[i].setAgeMs(encodeMilliseconds(call.age));
        suspects[i].setIsItem(call.source == CallSource::Item);
    }
    auto cleared = builder.initClearedParts(static_cast<unsigned>(updates.cleared.size()));
    for (unsigned i = 0; i < cleared.size(); ++i) {
        cleared[i].setPart(updates.cleared[i].part);
        cleared[i].setAgeMs(encodeMilliseconds(updates.cleared[i].age));
    }
    auto blocked = builder.initBlockedParts(static_cast<unsigned>(updates.blocked.size()));
    for (unsigned i = 0; i < blocked.size(); ++i) {
        const auto &block = updates.blocked[i];
        encodeParts(block.parts, blocked[i]);
        blocked[i].setAgeMs(encodeMilliseconds(block.age));
        blocked[i].setRemainingMs(encodeMilliseconds(block.remaining));
        blocked[i].setLevel(static_cast<std::uint16_t>(block.level));
        blocked[i].setIsForItemsOnly(block.isForItemsOnly);
        blocked[i].setFailedItemTrials(static_cast<std::uint16_t>(block.failedItemTrials));
        blocked[i].setItemTrialMs(encodeMilliseconds(block.itemTrialRemaining));
    }
}

QuotaHomes decodeQuotaHomes(Rpc::QuotaHomes::Reader reader)
{
    QuotaHomes homes;
    for (const auto node : reader.getNodes())
        homes.push_back(node);
    return homes;
}

void encodeQuotaHomes(const QuotaHomes &homes, Rpc::QuotaHomes::Builder builder)
{
    auto nodes = builder.initNodes(static_cast<unsigned>(homes.size()));
    for (unsigned i = 0; i < homes.size(); ++i)
        nodes.set(i, homes[i]);
}

PeerReport decodeReader(Rpc::PeerReport::Reader reader)
{
    PeerReport report;
    report.node = NodeId(textOf(reader.getNode()));
    report.zone = ZoneName(textOf(reader.getZone()));
    report.control = {textOf(reader.getControlAddress()), reader.getControlPort()};
    for (const auto load : reader.getLoads()) {
        report.loads.push_back({load.getUpstream(), load.getOnline(), load.getBatch(),
                                Milliseconds(load.getOnlineRemainingMs()),
                                Milliseconds(load.getBatchRemainingMs()),
                                load.getPaceHundredths() / 100.0});
    }
    for (const auto demand : reader.getWaiting())
        report.waiting.push_back({demand.getService(), demand.getItems(), demand.getLateItems(),
                                  demand.getHasLimitedCalls()});
    for (const auto upstream : reader.getLeaving())
        report.leaving.push_back({upstream.getUpstream(), upstream.getStartedAt()});
    for (const auto limit : reader.getUpstreamLimits()) {
        const auto perSecond = limit.getHasEnded() ? std::optional<double>() : limit.getPerSecond();
        report.upstreamLimits.push_back({limit.getUpstream(), limit.getStartedAt(), perSecond,
                                         Milliseconds(limit.getAgeMs())});
    }
    for (const auto grant : reader.getRequestGrants()) {
        report.requestGrants.push_back({grant.getUpstream(), grant.getStartedAt(), grant.getNode(),
                                        grant.getId(), Milliseconds(grant.getAgeMs())});
    }
    for (const auto crash : reader.getCrashes()) {
        report.crashUpdates.crashes.push_back({crash.getCall(), crash.getUpstreamStart(),
                                               crash.getObservation(),
                                               Milliseconds(crash.getAgeMs())});
    }
    for (const auto call : reader.getAnsweredCalls())
        report.crashUpdates.answered.push_back(call);
    report.partUpdates = decodePartUpdates(reader);
    report.hasJobs = reader.getHasJobs();
    for (const auto job : reader.getOwnedJobs())
        report.ownedJobs.push_back(job);
    for (const auto job : reader.getEndedJobs())
        report.endedJobs.push_back(textOf(job));
    report.isLeaving = reader.getIsLeaving();
    report.isWatching = reader.getIsWatching();
    report.isStoreReachable = reader.getIsStoreReachable();
    report.fleet
            = {reader.getConfiguration(), reader.getUpstreamRevision(), reader.getUpstreamDigest()};
    for (const auto load : reader.getOwnerLoads())
        report.ownerLoads.push_back({load.getOwner(), load.getOnline()});
    report.quotaHomes = decodeQuotaHomes(reader.getQuotaHomes());
    for (const auto homes : reader.getPreviousQuotaHomes())
        report.previousQuotaHomes.push_back(decodeQuotaHomes(homes));
    report.bootAge = Milliseconds(reader.getBootAgeMs());
    report.relaysReports = reader.getRelaysReports();
    return report;
}

void decodeRelayed(Rpc::PeerReport::Reader reader, PeerReport &report)
{
    const auto nodes = reader.getHeardNodes();
    const auto ages = reader.getHeardAgesMs();
    for (unsigned i = 0; i < std::min(nodes.size(), ages.size()); ++i)
        report.heard.push_back({nodes[i], Milliseconds(ages[i])});
    for (const auto relayed : reader.getRelayedReports()) {
        report.relayed.push_back(
                {Milliseconds(relayed.getAgeMs()), decodeReader(relayed.getReport())});
    }
    std::erase_if(report.relayed, [](const auto &each) { return each.report.node.isEmpty(); });
}

void encodeFields(const PeerReport &report, Rpc::PeerReport::Builder builder)
{
    builder.setNode(report.node.text());
    builder.setZone(report.zone.text());
    builder.setControlAddress(report.control.address);
    builder.setControlPort(report.control.port);
    auto loads = builder.initLoads(static_cast<unsigned>(report.loads.size()));
    for (unsigned i = 0; i < report.loads.size(); ++i) {
        loads[i].setUpstream(report.loads[i].upstream);
        loads[i].setOnline(static_cast<std::uint16_t>(report.loads[i].online));
        loads[i].setBatch(static_cast<std::uint16_t>(report.loads[i].batch));
        loads[i].setOnlineRemainingMs(encodeMilliseconds(report.loads[i].onlineRemaining));
        loads[i].setBatchRemainingMs(encodeMilliseconds(report.loads[i].batchRemaining));
        loads[i].setPaceHundredths(
                static_cast<std::uint16_t>(std::clamp(report.loads[i].pace * 100, 0.0, 65'535.0)));
    }
    auto waiting = builder.initWaiting(static_cast<unsigned>(report.waiting.size()));
    for (unsigned i = 0; i < report.waiting.size(); ++i) {
        waiting[i].setService(report.waiting[i].service);
        waiting[i].setItems(report.waiting[i].items);
        waiting[i].setLateItems(report.waiting[i].lateItems);
        waiting[i].setHasLimitedCalls(report.waiting[i].hasLimitedCalls);
    }
    auto leaving = builder.initLeaving(static_cast<unsigned>(report.leaving.size()));
    for (unsigned i = 0; i < report.leaving.size(); ++i) {
        leaving[i].setUpstream(report.leaving[i].upstream);
        leaving[i].setStartedAt(report.leaving[i].startedAt);
    }
    auto limits = builder.initUpstreamLimits(static_cast<unsigned>(report.upstreamLimits.size()));
    for (unsigned i = 0; i < report.upstreamLimits.size(); ++i) {
        const auto &limit = report.upstreamLimits[i];
        limits[i].setUpstream(limit.upstream);
        limits[i].setStartedAt(limit.startedAt);
        limits[i].setPerSecond(limit.perSecond.value_or(0));
        limits[i].setHasEnded(!limit.perSecond);
        limits[i].setAgeMs(encodeMilliseconds(limit.age));
    }
    auto grants = builder.initRequestGrants(static_cast<unsigned>(report.requestGrants.size()));
    for (unsigned i = 0; i < report.requestGrants.size(); ++i) {
        const auto &grant = report.requestGrants[i];
        grants[i].setUpstream(grant.upstream);
        grants[i].setStartedAt(grant.startedAt);
        grants[i].setNode(grant.node);
        grants[i].setId(grant.id);
        grants[i].setAgeMs(encodeMilliseconds(grant.age));
    }
    const auto &updates = report.crashUpdates;
    auto crashes = builder.initCrashes(static_cast<unsigned>(updates.crashes.size()));
    for (unsigned i = 0; i < updates.crashes.size(); ++i) {
        crashes[i].setCall(updates.crashes[i].call);
        crashes[i].setUpstreamStart(updates.crashes[i].upstreamStart);
        crashes[i].setObservation(updates.crashes[i].observation);
        crashes[i].setAgeMs(static_cast<std::uint32_t>(updates.crashes[i].age.count()));
    }
    auto answered = builder.initAnsweredCalls(static_cast<unsigned>(updates.answered.size()));
    for (unsigned i = 0; i < updates.answered.size(); ++i)
        answered.set(i, updates.answered[i]);
    encodePartUpdates(report.partUpdates, builder);
    builder.setHasJobs(report.hasJobs);
    auto owned = builder.initOwnedJobs(static_cast<unsigned>(report.ownedJobs.size()));
    for (unsigned i = 0; i < report.ownedJobs.size(); ++i)
        owned.set(i, report.ownedJobs[i]);
    auto ended = builder.initEndedJobs(static_cast<unsigned>(report.endedJobs.size()));
    for (unsigned i = 0; i < report.endedJobs.size(); ++i)
        ended.set(i, report.endedJobs[i].c_str());
    builder.setIsLeaving(report.isLeaving);
    builder.setIsWatching(report.isWatching);
    builder.setIsStoreReachable(report.isStoreReachable);
    builder.setConfiguration(report.fleet.configuration);
    builder.setUpstreamRevision(report.fleet.upstreamRevision);
    builder.setUpstreamDigest(report.fleet.upstreamDigest);
    auto ownerLoads = builder.initOwnerLoads(static_cast<unsigned>(report.ownerLoads.size()));
    for (unsigned i = 0; i < report.ownerLoads.size(); ++i) {
        ownerLoads[i].setOwner(report.ownerLoads[i].owner);
        ownerLoads[i].setOnline(static_cast<std::uint16_t>(report.ownerLoads[i].online));
    }
    encodeQuotaHomes(report.quotaHomes, builder.initQuotaHomes());
    auto previousHomes = builder.initPreviousQuotaHomes(
            static_cast<unsigned>(report.previousQuotaHomes.size()));
    for (unsigned i = 0; i < report.previousQuotaHomes.size(); ++i)
        encodeQuotaHomes(report.previousQuotaHomes[i], previousHomes[i]);
    builder.setBootAgeMs(static_cast<std::uint64_t>(report.bootAge.count()));
    builder.setRelaysReports(report.relaysReports);
}

void encodeRelayed(const PeerReport &report, Rpc::PeerReport::Builder builder)
{
    if (report.heard.empty() && report.relayed.empty())
        return;
    auto nodes = builder.initHeardNodes(static_cast<unsigned>(report.heard.size()));
    auto ages = builder.initHeardAgesMs(static_cast<unsigned>(report.heard.size()));
    for (unsigned i = 0; i < report.heard.size(); ++i) {
        nodes.set(i, report.heard[i].node);
        ages.set(i, static_cast<std::uint16_t>(report.heard[i].age.count()));
    }
    auto relayed = builder.initRelayedReports(static_cast<unsigned>(report.relayed.size()));
    for (unsigned i = 0; i < report.relayed.size(); ++i) {
        relayed[i].setAgeMs(encodeMilliseconds(report.relayed[i].age));
        encodeFields(report.relayed[i].report, relayed[i].initReport());
    }
}

} // namespace

std::string encodePeerReport(const PeerReport &report)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<Rpc::PeerReport>();
    encodeFields(report, builder);
    encodeRelayed(report, builder);
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

Result<PeerReport> decodePeerReport(std::string_view bytes)
{
    const Error invalid{ErrorKind::InvalidInput, "the datagram is not a valid peer report"};
    if (bytes.size() % sizeof(capnp::word) != 0)
        return invalid;
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    PeerReport report;
    const auto exception = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words);
        const auto root = reader.getRoot<Rpc::PeerReport>();
        report = decodeReader(root);
        decodeRelayed(root, report);
    });
    if (exception != nullptr || report.node.isEmpty())
        return invalid;
    return report;
}

} // namespace Radishplank
