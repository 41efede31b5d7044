#include <Limits/QuotaClient.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

/// Time for which a call waits for an answer before the ask is repeated. A round trip between
/// regions takes 16 ms; a throttled home may pause for some tens of ms.
constexpr Milliseconds answerTimeout{60};
constexpr Milliseconds maxWait{120};
/// A home that answers nothing for this long is given up. Longer than maxWait, because a machine
/// with a tenth of a core stands still for 90 ms at a time, and a change of homes costs two
/// seconds.
constexpr Milliseconds suspicionTime{400};
constexpr unsigned minUnanswered = 3;
constexpr Milliseconds suspectTime{5'000};
/// Asks to a home that does not answer.
constexpr Milliseconds probeInterval{100};
constexpr Milliseconds maxDenialTime{100};
/// Tokens that end within this time are replaced, or within a third of their lifetime if it is
/// shorter.
constexpr Milliseconds renewalMargin{60};
/// Owners whose tokens end within this time are added to an ask that is sent anyway.
constexpr Milliseconds sharedRenewalMargin{150};
constexpr int marginsPerLifetime = 3;
/// Pause after a home granted no tokens ahead of need.
constexpr Milliseconds aheadPause{250};
constexpr Milliseconds arrivalSlotTime{250};
/// A call that is refused for another reason is refused within this time; until then its token can
/// be put back, so the home is not told of the use.
constexpr Milliseconds putBackTime{100};
/// Longer than any lifetime of tokens, after which the home does not count them anyway.
constexpr Milliseconds reportedUseTime{1'000};
/// Retry time of a call that was refused because the home does not answer.
constexpr Milliseconds unansweredRetryAfter{500};
/// A later time than this predicts nothing.
constexpr Milliseconds maxRetryAfter{10'000};
/// How long an owner's home without shares is not asked again; members' pledges take two seconds.
constexpr Milliseconds withoutShareTime{100};
/// Keeps the datagrams small; the other owners follow with the next ask.
constexpr std::size_t maxEntriesPerAsk = 500;
/// Bounds what one ask may take for expected calls.
constexpr unsigned maxAhead = 1'000;

} // namespace

QuotaClient::QuotaClient(QuotaRules rules, std::uint64_t run, Duration startedAt)
    : m_rules(rules)
    , m_run(run)
    , m_startedAt(startedAt)
{
}

void QuotaClient::setLimits(std::span<const QuotaLimit> limits)
{
    std::unordered_map<std::uint64_t, OwnerState> owners;
    for (const auto &limit : limits) {
        if (limit.rate <= 0)
            continue;
        auto &owner = owners[limit.owner];
        const auto known = m_owners.find(limit.owner);
        if (known != m_owners.end()) {
            owner = std::move(known->second);
            m_owners.erase(known);
        }
        owner.limit = limit;
    }
    // Calls of owners that have no limit any more wait for nothing.
    for (auto &[id, owner] : m_owners) {
        for (const auto &call : owner.waiting)
            decide(call, {});
        m_active.erase(id);
    }
    m_owners = std::move(owners);
}

QuotaClient::Decision QuotaClient::admit(std::uint64_t ownerHash, Duration now)
{
    const auto found = m_owners.find(ownerHash);
    if (found == m_owners.end())
        return Admitted{};
    auto &owner = found->second;
    noteArrival(owner, now);
    m_active.insert(ownerHash);
    if (owner.waiting.empty() && takeToken(owner, now)) {
        m_counts.callsAdmittedAtOnce += 1;
        return Admitted{};
    }
    if (now < owner.deniedUntil) {
        m_counts.callsOverQuota += 1;
        return Refused{nextRetry(owner, now)};
    }
    const auto home = quotaHomeOf(ownerHash, m_homes);
    if (now < owner.withoutShareUntil || isUnresponsive(home, now)) {
        if (const auto retryAfter = decideWithoutHome(owner, now))
            return Refused{*retryAfter};
        return Admitted{};
    }
    owner.waiting.push_back({++m_lastTicket, now});
    return Waiting{m_lastTicket};
}

void QuotaClient::putBack(std::uint64_t ownerHash, Duration now)
{
    const auto found = m_owners.find(ownerHash);
    if (found == m_owners.end())
        return;
    auto &owner = found->second;
    dropExpired(owner, now);
    // Which token the call used is not known. The one that ends first never lives longer than its
    // grant allows. A token that has ended, or whose use the home knows of, is lost.
    if (owner.used.empty() || owner.unreportedUses.empty())
        return;
    owner.unreportedUses.pop_back();
    const auto until = owner.used.front();
    owner.used.pop_front();
    insertTokens(owner, 1, until);
    m_active.insert(ownerHash);
}

void QuotaClient::noteGrant(const QuotaGrant &grant, Duration now)
{
    const auto sent = m_sentAsks.find(grant.id);
    if (sent == m_sentAsks.end())
        return;
    const auto ask = std::move(sent->second);
    m_sentAsks.erase(sent);
    auto &home = m_homeStates[ask.home];
    home.unansweredSince.reset();
    home.unanswered = 0;
    m_counts.grants += 1;
    for (const auto &entry : grant.entries) {
        const auto found = m_owners.find(entry.owner);
        if (found == m_owners.end())
            continue;
        auto &owner = found->second;
        const auto asked
                = std::find_if(ask.entries.begin(), ask.entries.end(),
                               [&](const auto &each) { return each.owner == entry.owner; });
        if (asked == ask.entries.end())
            continue;
        owner.askedWaiting -= std::min(owner.askedWaiting, asked->waiting);
        owner.askedAheadUntil
                = entry.granted < asked->waiting + asked->ahead ? now + aheadPause : Duration{};
        m_counts.tokensGranted += entry.granted;
        addTokens(owner, entry.granted, ask.at + entry.lifetime, now);
        while (!owner.waiting.empty() && takeToken(owner, now)) {
            decide(owner.waiting.front(), {});
            owner.waiting.pop_front();
        }
        if (entry.hasNoShare) {
            owner.withoutShareUntil = now + withoutShareTime;
            for (const auto &call : owner.waiting)
                decide(call, decideWithoutHome(owner, now));
            owner.waiting.clear();
        } else if (entry.granted < asked->waiting) {
            m_counts.denials += 1;
            owner.deniedUntil = now + std::min(entry.retryAfter, maxDenialTime);
            owner.nextRetryAt = std::max(owner.nextRetryAt, now + entry.retryAfter);
            for (const auto &call : owner.waiting) {
                m_counts.callsOverQuota += 1;
                decide(call, nextRetry(owner, now));
            }
            owner.waiting.clear();
        }
    }
}

std::vector<QuotaClient::AddressedAsk> QuotaClient::takeAsks(Duration now)
{
    std::erase_if(m_sentAsks,
                  [&](const auto &each) { return now - each.second.at > suspicionTime; });
    std::map<std::uint64_t, std::vector<std::uint64_t>> ownersByHome;
    std::set<std::uint64_t> homesToAsk;
    for (auto it = m_active.begin(); it != m_active.end();) {
        auto &owner = m_owners.at(*it);
        dropExpired(owner, now);
        decideOverdue(owner, now);
        const auto home = quotaHomeOf(*it, m_homes);
        const auto entry = dueEntry(owner, renewalMargin, now);
        const bool isProbeDue
                = !isUnresponsive(home, now) || now - m_homeStates[home].lastAskAt >= probeInterval;
        if (entry && home != 0 && isProbeDue)
            homesToAsk.insert(home);
        ownersByHome[home].push_back(*it);
        const bool isIdle
                = owner.waiting.empty() && owner.tokens.empty() && recentArrivals(owner, now) == 0;
        it = isIdle ? m_active.erase(it) : std::next(it);
    }
    std::vector<AddressedAsk> asks;
    for (const auto home : homesToAsk) {
        AddressedAsk addressed{home, {m_run, ++m_lastAskId, {}}};
        for (const auto id : ownersByHome[home]) {
            if (addressed.ask.entries.size() >= maxEntriesPerAsk)
                break;
            auto &owner = m_owners.at(id);
            if (const auto entry = dueEntry(owner, sharedRenewalMargin, now)) {
                noteAsked(owner, *entry, now);
                addressed.ask.entries.push_back(*entry);
                addressed.ask.entries.back().owner = id;
            }
        }
        auto &state = m_homeStates[home];
        // A single ask that was lost long ago says nothing about the home now.
        if (!state.unansweredSince || now - state.lastAskAt > suspicionTime) {
            state.unansweredSince = now;
            state.unanswered = 0;
        }
        state.lastAskAt = now;
        state.unanswered += 1;
        if (now - *state.unansweredSince >= suspicionTime && state.unanswered > minUnanswered)
            state.suspectUntil = now + suspectTime;
        m_counts.asks += 1;
        m_sentAsks[addressed.ask.id] = {home, now, addressed.ask.entries};
        asks.push_back(std::move(addressed));
    }
    return asks;
}

std::vector<QuotaClient::Decided> QuotaClient::takeDecisions(Duration now)
{
    for (const auto id : m_active)
        decideOverdue(m_owners.at(id), now);
    return std::exchange(m_decided, {});
}

std::set<std::uint64_t> QuotaClient::suspects(Duration now) const
{
    std::set<std::uint64_t> result;
    for (const auto &[home, state] : m_homeStates) {
        if (now < state.suspectUntil)
            result.insert(home);
    }
    return result;
}

void QuotaClient::noteArrival(OwnerState &owner, Duration now)
{
    (void)recentArrivals(owner, now);
    owner.arrivals[static_cast<std::size_t>(owner.arrivalSlot) % owner.arrivals.size()] += 1;
}

unsigned QuotaClient::recentArrivals(OwnerState &owner, Duration now) const
{
    const long long slot = now / arrivalSlotTime;
    const auto count = static_cast<long long>(owner.arrivals.size());
    for (auto each = std::max(owner.arrivalSlot + 1, slot - count + 1); each <= slot; ++each)
        owner.arrivals[static_cast<std::size_t>(each % count)] = 0;
    owner.arrivalSlot = slot;
    unsigned sum = 0;
    for (const auto each : owner.arrivals)
        sum += each;
    return sum;
}

void QuotaClient::dropExpired(OwnerState &owner, Duration now) const
{
    while (!owner.tokens.empty()
           && (owner.tokens.front().until <= now || owner.tokens.front().count == 0))
        owner.tokens.pop_front();
    while (!owner.used.empty() && owner.used.front() <= now)
        owner.used.pop_front();
    while (!owner.unreportedUses.empty() && now - owner.unreportedUses.front() > reportedUseTime)
        owner.unreportedUses.pop_front();
}

unsigned QuotaClient::reportableUses(const OwnerState &owner, Duration now)
{
    const auto end = std::upper_bound(owner.unreportedUses.begin(), owner.unreportedUses.end(),
                                      now - putBackTime);
    return static_cast<unsigned>(end - owner.unreportedUses.begin());
}

unsigned QuotaClient::tokenCount(const OwnerState &owner)
{
    unsigned count = 0;
    for (const auto &tokens : owner.tokens)
        count += tokens.count;
    return count;
}

bool QuotaClient::takeToken(OwnerState &owner, Duration now)
{
    dropExpired(owner, now);
    if (owner.tokens.empty())
        return false;
    auto &tokens = owner.tokens.front();
    tokens.count -= 1;
    owner.unreportedUses.push_back(now);
    owner.used.insert(std::upper_bound(owner.used.begin(), owner.used.end(), tokens.until),
                      tokens.until);
    return true;
}

void QuotaClient::addTokens(OwnerState &owner, unsigned count, Duration until, Duration now)
{
    if (count == 0)
        return;
    const std::chrono::duration<double> passed = now - owner.grantRateAt;
    owner.grantRate = owner.grantRate * std::exp(-passed.count()) + count;
    owner.grantRateAt = now;
    insertTokens(owner, count, until);
}

void QuotaClient::insertTokens(OwnerState &owner, unsigned count, Duration until)
{
    // Answers may arrive in another order than the asks were sent.
    const auto position = std::find_if(owner.tokens.begin(), owner.tokens.end(),
                                       [&](const auto &each) { return each.until > until; });
    owner.tokens.insert(position, {until, count});
}

std::optional<Milliseconds> QuotaClient::decideWithoutHome(OwnerState &owner, Duration now)
{
    auto &times = owner.withoutHome;
    while (!times.empty() && now - times.front() > m_rules.window)
        times.pop_front();
    // Before its start, this process may have admitted as many calls without a home as it may.
    const bool isNew = now - m_startedAt < m_rules.window;
    if (!isNew && times.size() < m_rules.callsWithoutHome(owner.limit, m_memberCount)) {
        times.push_back(now);
        m_counts.callsAdmittedWithoutHome += 1;
        return {};
    }
    m_counts.callsRefusedWithoutHome += 1;
    return unansweredRetryAfter;
}

Milliseconds QuotaClient::nextRetry(OwnerState &owner, Duration now)
{
    // Each refused caller gets a later time than the one before, at the pace at which this process
    // got tokens recently, or at its even share of the limit.
    const double members = static_cast<double>(std::max<std::size_t>(m_memberCount, 1));
    const double pace = std::max(owner.grantRate, owner.limit.rate / members);
    const auto step = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::min(1 / pace, 10.0)));
    const auto at = std::min<Duration>(std::max(owner.nextRetryAt, now), now + maxRetryAfter);
    owner.nextRetryAt = at + step;
    return std::chrono::ceil<Milliseconds>(std::max<Duration>(at - now, Milliseconds(1)));
}

bool QuotaClient::isUnresponsive(std::uint64_t home, Duration now) const
{
    if (home == 0)
        return true;
    const auto found = m_homeStates.find(home);
    return found != m_homeStates.end() && found->second.unansweredSince
           && now - *found->second.unansweredSince > maxWait
           && now - found->second.lastAskAt <= suspicionTime;
}

void QuotaClient::decide(const WaitingCall &call, std::optional<Milliseconds> retryAfter)
{
    m_decided.push_back({call.ticket, retryAfter});
}

void QuotaClient::decideOverdue(OwnerState &owner, Duration now)
{
    while (!owner.waiting.empty() && now - owner.waiting.front().since >= maxWait) {
        decide(owner.waiting.front(), decideWithoutHome(owner, now));
        owner.waiting.pop_front();
    }
}

unsigned QuotaClient::target(OwnerState &owner, Duration now) const
{
    const auto arrivals = recentArrivals(owner, now);
    if (arrivals == 0)
        return 0;
    const std::chrono::duration<double> lifetime = m_rules.tokenLifetime(owner.limit);
    const double expected = std::ceil(arrivals * lifetime.count());
    return static_cast<unsigned>(std::clamp(expected, 1.0, static_cast<double>(maxAhead)));
}

std::optional<QuotaAsk::Entry> QuotaClient::dueEntry(OwnerState &owner, Milliseconds margin,
                                                     Duration now) const
{
    dropExpired(owner, now);
    if (now < owner.deniedUntil)
        return {};
    QuotaAsk::Entry entry;
    const auto asked = now < owner.askedWaitingUntil ? owner.askedWaiting : 0;
    const auto waiting = static_cast<unsigned>(owner.waiting.size());
    entry.waiting = waiting - std::min(waiting, asked);
    const auto held = tokenCount(owner);
    unsigned ending = 0;
    margin = std::min(margin, m_rules.tokenLifetime(owner.limit) / marginsPerLifetime);
    for (const auto &tokens : owner.tokens) {
        if (tokens.until - now <= margin)
            ending += tokens.count;
    }
    const auto wanted = target(owner, now);
    const bool mayAskAhead = now >= owner.askedAheadUntil;
    if (ending > 0 || (mayAskAhead && (held - ending) * 2 < wanted + 1)) {
        entry.returned = ending;
        entry.ahead = mayAskAhead ? wanted - std::min(wanted, held - ending) : 0;
    }
    if (entry.waiting == 0 && entry.ahead == 0 && entry.returned == 0)
        return {};
    entry.used = reportableUses(owner, now);
    return entry;
}

void QuotaClient::noteAsked(OwnerState &owner, const QuotaAsk::Entry &entry, Duration now)
{
    if (entry.waiting > 0) {
        owner.askedWaiting = now < owner.askedWaitingUntil ? owner.askedWaiting + entry.waiting
                                                           : entry.waiting;
        owner.askedWaitingUntil = now + answerTimeout;
    }
    if (entry.ahead > 0)
        owner.askedAheadUntil = now + answerTimeout;
    owner.unreportedUses.erase(owner.unreportedUses.begin(),
                               owner.unreportedUses.begin() + entry.used);
    auto returned = entry.returned;
    while (returned > 0 && !owner.tokens.empty()) {
        const auto part = std::min(returned, owner.tokens.front().count);
        owner.tokens.front().count -= part;
        returned -= part;
        dropExpired(owner, now);
    }
}

} // namespace Radishplank
