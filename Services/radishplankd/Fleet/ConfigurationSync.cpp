#include "Fleet/ConfigurationSync.h"

#include "Common/FiberGroup.h"

#include <algorithm>
#include <array>
#include <bit>
#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr std::size_t watchersPerZone = 2;
constexpr Milliseconds watchWait{5'000};
constexpr Milliseconds exchangeInterval{500};
constexpr Milliseconds exchangeTimeout{1'000};
/// Bounds the wait for the other processes to be notified of a crash, before the request that has
/// crashed an upstream is retried.
constexpr Milliseconds crashExchangeTimeout{500};
constexpr Milliseconds storeRetryInterval{500};
/// A process whose configuration is older than this watches the store itself. Including the time to
/// detect the staleness and to list, every process then applies a change within 4 s.
constexpr Milliseconds maxStaleness{2'000};
constexpr Milliseconds initialStaleness{3'600'000};
constexpr Milliseconds relistInterval{300'000};
constexpr Milliseconds mismatchInterval{60'000};
/// A process whose configuration is older than this and most of whose peers do not answer is
/// isolated.
constexpr Milliseconds isolationAge{4'000};

} // namespace

ConfigurationSync::ConfigurationSync(EntryContext &context, SyncSettings settings,
                                     std::function<void()> onChange)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_onChange(std::move(onChange))
    , m_synchronizedAt(SteadyClock().now() - initialStaleness)
    , m_mismatchAt(SteadyClock().now() - initialStaleness)
{
}

void ConfigurationSync::start()
{
    m_context.threads.spawn([this] { watchLoop(); });
    m_context.threads.spawn([this] { exchangeLoop(); });
}

ExchangeResponse ConfigurationSync::answer(const ExchangeRequest &request)
{
    m_context.quarantine.merge(request.crashes, SteadyClock().now());
    ExchangeResponse answer;
    const auto summary = m_context.configuration.summary();
    answer.revision = summary.revision;
    answer.digest = summary.digest;
    answer.changes = m_context.configuration.changesSince(request.revision);
    answer.crashes = m_context.quarantine.notices(SteadyClock().now());
    answer.staleness = staleness();
    return answer;
}

void ConfigurationSync::exchangeCrashes()
{
    // The answers may report crashes elsewhere. Waiting for them before the retry keeps processes
    // with the same request from losing two upstreams each.
    FiberGroup group(m_context.threads);
    for (const auto &node : peers())
        group.spawn([this, node] { (void)exchangeWith(node.control); });
    group.waitFor(crashExchangeTimeout);
}

Milliseconds ConfigurationSync::staleness() const
{
    return std::chrono::duration_cast<Milliseconds>(SteadyClock().now() - m_synchronizedAt.load());
}

boost::json::array ConfigurationSync::memberRevisions()
{
    boost::json::array members;
    members.push_back(boost::json::object{{"node", m_context.node.text()},
                                          {"revision", m_context.configuration.revision()},
                                          {"stalenessMs", staleness().count()}});
    for (const auto &node : peers()) {
        ExchangeRequest request;
        request.node = m_context.node;
        request.revision = std::numeric_limits<Version>::max();
        const auto answer = m_context.control.exchange(node.control, request, exchangeTimeout);
        boost::json::object member{{"node", node.id.text()}};
        if (answer.isError()) {
            member["error"] = answer.error().message;
        } else {
            member["revision"] = answer.value().revision;
            member["stalenessMs"] = answer.value().staleness.count();
        }
        members.push_back(std::move(member));
    }
    return members;
}

void ConfigurationSync::watchLoop()
{
    while (true) {
        const bool shouldWatch = isElectedWatcher() || staleness() > maxStaleness;
        if (shouldWatch != m_isWatching.exchange(shouldWatch))
            logStateChange(shouldWatch ? "configuration-watch-begun" : "configuration-watch-ended");
        if (!shouldWatch) {
            // Changes made while this process does not watch may be compacted from the store's
            // history.
            m_hasListed = false;
            boost::this_fiber::sleep_for(exchangeInterval);
            continue;
        }
        // Only a new listing detects a change that the watch has lost for every process.
        const bool isListDue = SteadyClock().now() - m_listedAt.load() > relistInterval;
        const auto result = m_hasListed && !isListDue ? watchStore() : listStore();
        if (result.isError()) {
            m_hasListed = m_hasListed && result.error().kind != ErrorKind::NotFound;
            boost::this_fiber::sleep_for(storeRetryInterval);
        }
    }
}

Result<void> ConfigurationSync::listStore()
{
    const auto askedAt = SteadyClock().now();
    const auto listing
            = TRY(listAll(m_context.store, configurationPrefix, ListContent::KeysAndValues));
    const bool hasChanged = m_context.configuration.applyListing(listing.objects, listing.revision);
    m_hasListed = true;
    m_listedAt = askedAt;
    noteSynchronized(askedAt);
    if (hasChanged)
        m_onChange();
    return {};
}

Result<void> ConfigurationSync::watchStore()
{
    const auto since = m_context.configuration.revision();
    const auto wait = std::min(watchWait, maxStaleness / 2);
    const auto batch = TRY(m_context.store.watch(configurationPrefix, since, wait));
    noteSynchronized(SteadyClock().now());
    if (m_context.configuration.apply(batch.changes, batch.revision))
        m_onChange();
    return {};
}

void ConfigurationSync::exchangeLoop()
{
    while (true) {
        boost::this_fiber::sleep_for(exchangeInterval);
        const auto peer = nextPeer();
        if (!peer)
            continue;
        const auto askedAt = SteadyClock().now();
        const auto answer = exchangeWith(*peer);
        noteExchange(!answer.isError());
        if (!answer.isError())
            noteSynchronized(askedAt - answer.value().staleness);
    }
}

Result<ExchangeResponse> ConfigurationSync::exchangeWith(const Endpoint &peer)
{
    ExchangeRequest request;
    request.node = m_context.node;
    request.revision = m_context.configuration.revision();
    request.crashes = m_context.quarantine.notices(SteadyClock().now());
    auto answer = TRY(m_context.control.exchange(peer, request, exchangeTimeout));
    m_context.quarantine.merge(answer.crashes, SteadyClock().now());
    if (m_context.configuration.apply(answer.changes, answer.revision))
        m_onChange();
    compareDigests(answer);
    return answer;
}

void ConfigurationSync::compareDigests(const ExchangeResponse &answer)
{
    const auto own = m_context.configuration.summary();
    const bool isComparable = answer.changes.empty() && answer.revision == own.revision;
    if (!isComparable || answer.digest == own.digest)
        return;
    // One of the two has missed a change, and only the store can show which one. Another listing
    // does not resolve an object that only some processes refuse, so listings are rate-limited.
    const auto now = SteadyClock().now();
    auto last = m_mismatchAt.load();
    if (now - last < mismatchInterval || !m_mismatchAt.compare_exchange_strong(last, now))
        return;
    logStateChange("configuration-differs", {{"revision", std::to_string(own.revision)}});
    const auto listed = listStore();
    if (listed.isError())
        m_hasListed = false;
}

void ConfigurationSync::applyOwnChange(const ObjectChange &change)
{
    const std::array changes{change};
    if (m_context.configuration.apply(changes, noVersion))
        m_onChange();
}

void ConfigurationSync::noteExchange(bool hasSucceeded)
{
    constexpr unsigned historyLength = 8;
    constexpr unsigned mask = (1U << historyLength) - 1;
    m_recentExchanges = ((m_recentExchanges << 1U) | (hasSucceeded ? 1U : 0U)) & mask;
    const auto succeeded = std::popcount(m_recentExchanges);
    const bool isStale = staleness() > isolationAge;
    const bool isIsolated = isStale && succeeded <= static_cast<int>(historyLength / 2);
    if (isIsolated != m_isIsolated.exchange(isIsolated))
        logStateChange(isIsolated ? "isolated" : "not-isolated");
    m_context.limits.setIsolated(isIsolated);
}

std::vector<NodeMember> ConfigurationSync::rankedZoneMembers() const
{
    std::vector<NodeMember> members;
    m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        for (const auto &node : catalogue.nodes()) {
            if (node.zone == m_settings.zone)
                members.push_back(node);
        }
    });
    std::sort(members.begin(), members.end(), [](const auto &left, const auto &right) {
        return stableHash(left.id.text()) < stableHash(right.id.text());
    });
    return members;
}

bool ConfigurationSync::isElectedWatcher() const
{
    const auto ranked = rankedZoneMembers();
    const auto position = std::find_if(ranked.begin(), ranked.end(), [this](const auto &member) {
        return member.id == m_settings.node;
    });
    // A process that the configuration does not list yet must reach the store by itself.
    return position == ranked.end()
           || position - ranked.begin() < static_cast<std::ptrdiff_t>(watchersPerZone);
}

std::vector<NodeMember> ConfigurationSync::peers() const
{
    return m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        std::vector<NodeMember> members;
        for (const auto &node : catalogue.nodes()) {
            if (node.id != m_settings.node)
                members.push_back(node);
        }
        return members;
    });
}

std::optional<Endpoint> ConfigurationSync::nextPeer()
{
    auto &random = threadRandomEngine();
    const auto members = peers();
    if (members.empty()) {
        if (m_settings.seeds.empty())
            return {};
        return m_settings.seeds[randomBelow(random, m_settings.seeds.size())];
    }
    // Usually choose a process of this zone that watches the store: its configuration is current,
    // and the exchange does not use the link between regions, which is paid for. One time in four
    // choose any member, so that crashes and changes reach every process even if the watchers fail.
    auto watchers = rankedZoneMembers();
    if (watchers.size() > watchersPerZone)
        watchers.resize(watchersPerZone);
    std::erase_if(watchers, [this](const auto &member) { return member.id == m_settings.node; });
    const bool useAnyMember = watchers.empty() || randomBelow(random, 4) == 0;
    const auto &choices = useAnyMember ? members : watchers;
    return choices[randomBelow(random, choices.size())].control;
}

void ConfigurationSync::noteSynchronized(TimePoint at)
{
    auto known = m_synchronizedAt.load();
    while (known < at && !m_synchronizedAt.compare_exchange_weak(known, at)) {
    }
}

} // namespace Radishplank
