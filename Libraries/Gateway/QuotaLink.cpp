#include <Gateway/QuotaLink.h>

#include <Net/Await.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace Radishplank {

using boost::asio::ip::udp;

namespace {

/// Delays the renewal of tokens, and the repetition of asks, by this much at most.
constexpr Milliseconds activeInterval{20};
/// Without calls only the pledges are checked. Well below the time after which QuotaPledges takes
/// the process for suspended.
constexpr Milliseconds idleInterval{50};
/// How often a process whose configuration has no owners looks for some.
constexpr Milliseconds withoutOwnersInterval{500};
constexpr std::size_t maxDatagramBytes = 65'000;
/// Asks to this process itself that follow from each other in one step.
constexpr int maxLocalRounds = 4;
/// Owners with metrics of their own; the others are summed up.
constexpr std::size_t maxOwnersInMetrics = 8;
constexpr std::string_view otherOwners = "(others)";

std::string escapedLabel(const std::string &value)
{
    std::string text;
    for (const char each : value) {
        if (each == '\\' || each == '"')
            text += '\\';
        text += each == '\n' ? ' ' : each;
    }
    return text;
}

void renderOwnerValue(std::string &text, std::string_view name, std::string_view owner,
                      const std::string &value)
{
    text += std::string(name) + "{owner=\"" + escapedLabel(std::string(owner)) + "\"} " + value
            + "\n";
}

void renderCount(std::string &text, std::string_view name, std::uint64_t value)
{
    Counter counter;
    counter.increase(value);
    renderCounter(text, name, counter);
}

} // namespace

QuotaLink::QuotaLink(FiberThreads &threads, const PeerTable &peers, const RouteDirectory &routes,
                     PeerLink &link, QuotaLinkSettings settings)
    : m_threads(threads)
    , m_peers(peers)
    , m_routes(routes)
    , m_link(link)
    , m_settings(std::move(settings))
    , m_self(nodeHash(m_settings.node))
    , m_socket(threads.context(0))
    , m_pledges(m_self, BootClock::now())
    , m_pool(m_settings.rules)
    , m_client(m_settings.rules, threadRandomEngine()(), BootClock::now())
{
    m_client.setHomes(m_pledges.homes());
}

Result<void> QuotaLink::start()
{
    if (!isEnabled())
        return {};
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(m_settings.listen.address, code);
    if (!code)
        m_socket.open(udp::v4(), code);
    if (!code)
        m_socket.bind({address, m_settings.listen.port}, code);
    if (!code)
        m_socket.non_blocking(true, code);
    if (code) {
        return Error{ErrorKind::Unavailable, "cannot receive datagrams on "
                                                     + m_settings.listen.text() + ": "
                                                     + code.message()};
    }
    m_threads.spawnOn(0, [this] {
        m_link.describeQuotas = [this](PeerReport &report) { describe(report); };
        m_link.onFullReport = [this](const PeerReport &report, const Endpoint &sender) {
            noteReport(report, sender);
        };
        stepLoop();
    });
    m_threads.spawnOn(0, [this] { receive(); });
    return {};
}

void QuotaLink::receive()
{
    std::string buffer(maxDatagramBytes, '\0');
    udp::endpoint sender;
    while (true) {
        const auto outcome = awaitIo([&](auto handler) {
            m_socket.async_receive_from(boost::asio::buffer(buffer), sender, std::move(handler));
        });
        // An error may concern a datagram that this process sent and its destination refused.
        if (!outcome.code)
            handleDatagram(std::string_view(buffer).substr(0, outcome.byteCount), sender);
    }
}

void QuotaLink::handleDatagram(std::string_view bytes, const udp::endpoint &sender)
{
    const auto message = decodeQuotaMessage(bytes);
    if (message.isError()) {
        logStateChange("quota-message-unreadable", {{"from", sender.address().to_string()}});
        return;
    }
    const auto now = BootClock::now();
    // A process that was suspended must give up its pledges before it answers an ask that arrived
    // meanwhile.
    refresh(now);
    if (const auto *ask = std::get_if<QuotaAsk>(&message.value()))
        return sendTo(sender, m_pool.answer(*ask, now));
    if (const auto *receipt = std::get_if<QuotaReceipt>(&message.value())) {
        if (m_pledges.noteReceipt(receipt->node, receipt->age))
            m_link.announceFleet();
        return;
    }
    m_client.noteGrant(std::get<QuotaGrant>(message.value()), now);
    exchange(now);
}

void QuotaLink::stepLoop()
{
    while (true) {
        if (!m_routes.hasOwners()) {
            boost::this_fiber::sleep_for(withoutOwnersInterval);
            continue;
        }
        const auto now = BootClock::now();
        refresh(now);
        exchange(now);
        boost::this_fiber::sleep_for(m_client.isActive() ? activeInterval : idleInterval);
    }
}

void QuotaLink::refresh(Duration now)
{
    m_pledges.setMemberCount(m_peers.processCount());
    m_client.setMemberCount(m_peers.processCount());
    const bool hasNewLimits = m_routes.version() != m_limitsVersion;
    if (hasNewLimits)
        loadLimits(now);
    if (m_pledges.update(now) || hasNewLimits)
        m_pool.updateShares([this](std::uint64_t owner) { return m_pledges.shareOf(owner); }, now);
    if (m_suspensions == m_pledges.suspensions())
        return;
    m_suspensions = m_pledges.suspensions();
    logStateChange("quota-pledges-dropped");
}

void QuotaLink::loadLimits(Duration now)
{
    m_limitsVersion = m_routes.version();
    std::vector<QuotaLimit> limits;
    m_ownerNames.clear();
    for (const auto &owner : m_routes.owners()) {
        const auto hash = ownerHash(owner->id.text());
        limits.push_back({hash, owner->limits.requestsPerSecond, owner->limits.burstRequests});
        m_ownerNames[hash] = owner->id.text();
    }
    m_hasLimits = std::any_of(limits.begin(), limits.end(),
                              [](const auto &limit) { return limit.rate > 0; });
    m_pool.setLimits(limits, now);
    m_client.setLimits(limits);
    std::erase_if(m_ownerCounts,
                  [&](const auto &each) { return !m_ownerNames.contains(ownerHash(each.first)); });
}

void QuotaLink::exchange(Duration now)
{
    bool hasLocalAsk = true;
    for (int round = 0; round < maxLocalRounds && hasLocalAsk; ++round) {
        hasLocalAsk = false;
        for (const auto &[home, ask] : m_client.takeAsks(now)) {
            if (home == m_self) {
                hasLocalAsk = true;
                m_client.noteGrant(m_pool.answer(ask, now), now);
                continue;
            }
            const auto address = m_addresses.find(home);
            if (address != m_addresses.end())
                sendTo(address->second, ask);
        }
    }
    for (const auto &[ticket, retryAfter] : m_client.takeDecisions(now)) {
        const auto waiting = m_waiting.find(ticket);
        if (waiting != m_waiting.end())
            waiting->second.set_value(retryAfter);
    }
    auto suspects = m_client.suspects(now);
    if (suspects == m_suspects)
        return;
    for (const auto home : suspects) {
        const auto address = m_addresses.find(home);
        if (!m_suspects.contains(home) && address != m_addresses.end()) {
            logStateChange("quota-home-silent",
                           {{"address", address->second.address().to_string()}});
        }
    }
    m_suspects = std::move(suspects);
    // The next report names the candidates without the silent ones.
    m_link.announceFleet();
}

std::optional<Milliseconds> QuotaLink::admit(const Owner &owner)
{
    const auto now = BootClock::now();
    if (m_routes.version() != m_limitsVersion)
        refresh(now);
    const auto result = m_client.admit(ownerHash(owner.id.text()), now);
    Decision decision;
    if (const auto *waiting = std::get_if<QuotaClient::Waiting>(&result))
        decision = waitFor(waiting->ticket, now);
    else if (const auto *refused = std::get_if<QuotaClient::Refused>(&result))
        decision = refused->retryAfter;
    countDecision(owner, decision);
    return decision;
}

QuotaLink::Decision QuotaLink::waitFor(std::uint64_t ticket, Duration now)
{
    auto future = m_waiting[ticket].get_future();
    refresh(now);
    exchange(now);
    const auto decision = future.get();
    m_waiting.erase(ticket);
    return decision;
}

void QuotaLink::putBack(const Owner &owner)
{
    m_client.putBack(ownerHash(owner.id.text()), BootClock::now());
}

void QuotaLink::noteReport(const PeerReport &report, const Endpoint &sender)
{
    const auto node = nodeHash(report.node);
    if (report.isLeaving)
        return m_pledges.noteLeft(node);
    // Processes without quotas neither pledge nor answer asks.
    if (report.quotaHomes.empty() && report.bootAge == Milliseconds(0))
        return;
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(sender.address, code);
    if (code)
        return;
    m_addresses[node] = {address, m_settings.listen.port};
    const bool needsReceipt = m_pledges.noteReport(
            node, {report.quotaHomes, report.previousQuotaHomes, report.bootAge}, BootClock::now());
    if (needsReceipt)
        sendTo(m_addresses[node], QuotaReceipt{m_self, report.bootAge});
}

void QuotaLink::describe(PeerReport &report)
{
    if (!m_routes.hasOwners())
        return;
    const auto now = BootClock::now();
    if (m_pledges.chooseHomes(m_client.suspects(now), now)) {
        m_client.setHomes(m_pledges.homes());
        logStateChange("quota-homes-changed",
                       {{"homes", std::to_string(m_pledges.homes().size())}});
    }
    auto pledge = m_pledges.ownPledge(now);
    report.bootAge = std::chrono::duration_cast<Milliseconds>(pledge.age);
    // Without limits there is nothing to pledge, and the reports stay small.
    if (!m_hasLimits)
        return;
    report.quotaHomes = std::move(pledge.homes);
    report.previousQuotaHomes = std::move(pledge.previousHomes);
}

void QuotaLink::sendTo(const udp::endpoint &destination, const QuotaMessage &message)
{
    boost::system::error_code code;
    // A datagram that cannot be sent counts as lost; the asking process repeats its ask.
    m_socket.send_to(boost::asio::buffer(encodeQuotaMessage(message)), destination, 0, code);
}

void QuotaLink::countDecision(const Owner &owner, const Decision &decision)
{
    auto &counts = m_ownerCounts[owner.id.text()];
    (decision ? counts.overQuota : counts.admitted) += 1;
}

void QuotaLink::renderPrometheus(std::string &text) const
{
    if (!isEnabled())
        return;
    const auto &counts = m_client.counts();
    renderCount(text, "radishplank_quota_asks_total", counts.asks);
    renderCount(text, "radishplank_quota_grants_total", counts.grants);
    renderCount(text, "radishplank_quota_tokens_granted_total", counts.tokensGranted);
    renderCount(text, "radishplank_quota_denials_total", counts.denials);
    renderCount(text, "radishplank_calls_over_quota_total", counts.callsOverQuota);
    renderCount(text, "radishplank_calls_admitted_at_once_total", counts.callsAdmittedAtOnce);
    renderCount(text, "radishplank_calls_admitted_without_quota_home_total",
                counts.callsAdmittedWithoutHome);
    renderCount(text, "radishplank_calls_refused_without_quota_home_total",
                counts.callsRefusedWithoutHome);
    renderOwners(text);
}

void QuotaLink::renderOwners(std::string &text) const
{
    std::vector<std::pair<std::uint64_t, std::string>> refused;
    for (const auto &[owner, counts] : m_ownerCounts)
        refused.emplace_back(counts.overQuota, owner);
    std::sort(refused.rbegin(), refused.rend());
    constexpr std::string_view refusedName = "radishplank_owner_calls_refused_by_quota_total";
    text += "# TYPE " + std::string(refusedName) + " counter\n";
    std::uint64_t rest = 0;
    for (std::size_t i = 0; i < refused.size(); ++i) {
        const auto &[count, owner] = refused[i];
        if (i < maxOwnersInMetrics && count > 0)
            renderOwnerValue(text, refusedName, owner, std::to_string(count));
        else
            rest += count;
    }
    renderOwnerValue(text, refusedName, otherOwners, std::to_string(rest));

    auto usage = m_pool.usage(BootClock::now());
    std::sort(usage.begin(), usage.end(),
              [](const auto &left, const auto &right) { return left.ratio > right.ratio; });
    constexpr std::string_view usageName = "radishplank_owner_allowance_used_ratio";
    text += "# TYPE " + std::string(usageName) + " gauge\n";
    for (std::size_t i = 0; i < usage.size() && i <= maxOwnersInMetrics; ++i) {
        // The last line is the largest value among the remaining owners.
        const auto name = m_ownerNames.find(usage[i].owner);
        const bool isRest = i == maxOwnersInMetrics || name == m_ownerNames.end();
        renderOwnerValue(text, usageName, isRest ? std::string(otherOwners) : name->second,
                         std::to_string(usage[i].ratio));
    }
}

} // namespace Radishplank
