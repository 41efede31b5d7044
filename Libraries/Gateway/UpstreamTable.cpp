#include <Gateway/UpstreamTable.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace Radishplank {

namespace {

/// Backoff after the first failure; doubles with each further one.
constexpr Milliseconds initialBackoff{250};
constexpr Milliseconds maxBackoff{2'000};
constexpr std::size_t maxLeavingEntries = 4'096;
/// Weight of a pace that a peer reports, in usual gaps between events.
constexpr double reportedPaceWeight = 2;
/// Slowness from which an upstream is logged as slow, and below which it has recovered.
constexpr double slowPace = 2;
constexpr double usualPace = 1.25;
/// A pause before reading, because the caller is slow, that makes a gap between events useless.
constexpr Milliseconds maxReadingPause{5};

/// Batch items leave the requests of limited upstreams to online calls for this long after an
/// online call needed one.
constexpr Milliseconds onlinePriorityTime{1'000};
/// Scheduling rounds of waiting items follow each other within this time.
constexpr Milliseconds itemNeedTime{1'000};

double millisecondsOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration durationOf(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
}
/// Assigning 3,000 upstreams takes about a millisecond, and some come or go all the time.
constexpr Milliseconds minSubsetInterval{500};

} // namespace

UpstreamTable::Reservation::Reservation(UpstreamTable &table, UpstreamInfo upstream,
                                        WorkClass workClass, std::uint64_t number,
                                        TimePoint beganAt)
    : m_table(table)
    , m_upstream(std::move(upstream))
    , m_workClass(workClass)
    , m_number(number)
    , m_reservedAt(beganAt)
    , m_readingSince(beganAt)
{
    m_work.beganAt = beganAt;
    m_work.lastEventAt = beganAt;
}

UpstreamTable::Reservation::~Reservation()
{
    m_table.release(*this);
}

void UpstreamTable::Reservation::onPreempt(std::function<void()> stop, Duration slack)
{
    const std::scoped_lock lock(m_table.m_mutex);
    const auto found = m_table.m_states.find(m_upstream.id);
    if (found != m_table.m_states.end())
        found->second.preemptibleItems.push_back({m_number, std::move(stop), slack});
}

void UpstreamTable::Reservation::noteLeaving()
{
    m_table.noteLeaving({upstreamHash(m_upstream.id), m_upstream.startedAt});
}

void UpstreamTable::Reservation::noteRequestLimit(std::optional<double> perSecond,
                                                  UpstreamLimits::AnswerKind answer)
{
    m_table.noteRequestLimit(*this, perSecond, answer);
}

void UpstreamTable::Reservation::noteReading()
{
    if (m_table.m_placement == PlacementRule::Work)
        m_readingSince = SteadyClock().now();
}

void UpstreamTable::Reservation::noteEvents(std::size_t count)
{
    if (m_table.m_placement == PlacementRule::Work && count > 0)
        m_table.noteEvents(*this, count);
}

std::optional<double> UpstreamTable::Reservation::noteCompleted()
{
    if (m_table.m_placement != PlacementRule::Work)
        return {};
    return m_table.noteCompleted(*this);
}

UpstreamTable::UpstreamTable(NodeId self, Locality locality, PlacementRule placement)
    : m_self(std::move(self))
    , m_locality(std::move(locality))
    , m_placement(placement)
    , m_limits(nodeHash(m_self), m_locality)
{
}

bool UpstreamTable::put(const UpstreamInfo &upstream)
{
    const std::scoped_lock lock(m_mutex);
    auto &state = m_states[upstream.id];
    // A report about an earlier start of the upstream can arrive late.
    if (state.info == upstream || upstream.startedAt < state.info.startedAt)
        return false;
    const bool isNewStart = state.info.startedAt != upstream.startedAt;
    m_isSubsetOutdated
            |= state.info.service != upstream.service || state.info.zone != upstream.zone;
    state.info = upstream;
    state.hash = upstreamHash(upstream.id);
    state.serviceHash = Radishplank::serviceHash(upstream.service);
    state.distance = m_locality.distanceTo(upstream.zone);
    if (isNewStart) {
        state.failures = 0;
        state.backoffUntil = {};
    }
    return true;
}

void UpstreamTable::remove(const UpstreamId &id)
{
    const std::scoped_lock lock(m_mutex);
    m_isSubsetOutdated |= m_states.erase(id) > 0;
}

void UpstreamTable::restrictTo(CellPosition position, unsigned cells)
{
    const std::scoped_lock lock(m_mutex);
    if (position == m_position && cells == m_cells)
        return;
    m_position = position;
    m_cells = cells;
    m_isSubsetOutdated = true;
    m_subsetUpdatedAt = {};
}

std::shared_ptr<const UpstreamSubset> UpstreamTable::subset() const
{
    const std::scoped_lock lock(m_mutex);
    return m_subset;
}

void UpstreamTable::updateSubset(TimePoint now)
{
    const bool isDue = m_isSubsetOutdated && now - m_subsetUpdatedAt >= minSubsetInterval;
    if (!isDue || (m_cells == 1 && !m_subset))
        return;
    m_isSubsetOutdated = false;
    m_subsetUpdatedAt = now;
    m_subset.reset();
    if (m_cells > 1) {
        std::vector<SubsetUpstream> upstreams;
        upstreams.reserve(m_states.size());
        for (const auto &[id, state] : m_states) {
            upstreams.push_back({state.hash, serviceHash(state.info.service),
                                 stableHash(state.info.zone.text())});
        }
        m_subset = std::make_shared<const UpstreamSubset>(m_cells, upstreams);
    }
    for (auto &[id, state] : m_states)
        state.isInSubset = !m_subset || m_subset->isUsedBy(m_position, state.hash);
}

std::set<UpstreamId> UpstreamTable::ids() const
{
    const std::scoped_lock lock(m_mutex);
    std::set<UpstreamId> result;
    for (const auto &[id, state] : m_states)
        result.insert(id);
    return result;
}

void UpstreamTable::noteLeaving(const LeavingUpstream &leaving)
{
    const std::scoped_lock lock(m_mutex);
    const auto [known, isNew] = m_leaving.try_emplace(leaving.upstream, leaving.startedAt);
    if (!isNew && known->second >= leaving.startedAt)
        return;
    known->second = leaving.startedAt;
    // An upstream that restarts has a new start time, so old entries do no harm; remove those of
    // upstreams that are no longer in the table to bound the map.
    if (m_leaving.size() > maxLeavingEntries) {
        std::erase_if(m_leaving, [&](const auto &leavingEntry) {
            return leavingEntry.first != leaving.upstream
                   && std::none_of(m_states.begin(), m_states.end(), [&](const auto &entry) {
                          return entry.second.hash == leavingEntry.first;
                      });
        });
    }
    logStateChange("upstream-leaving", {{"hash", std::to_string(leaving.upstream)},
                                        {"startedAt", std::to_string(leaving.startedAt)}});
}

std::vector<LeavingUpstream> UpstreamTable::leaving() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<LeavingUpstream> result;
    for (const auto &[id, state] : m_states) {
        if (isLeaving(state))
            result.push_back({state.hash, state.info.startedAt});
    }
    return result;
}

bool UpstreamTable::isLeaving(const State &state) const
{
    if (m_leaving.empty())
        return false;
    const auto found = m_leaving.find(state.hash);
    return found != m_leaving.end() && found->second >= state.info.startedAt;
}

UpstreamStart UpstreamTable::startOf(const State &state)
{
    return {state.hash, state.info.startedAt};
}

RequestNeed UpstreamTable::needOf(std::uint64_t service, TimePoint now) const
{
    const auto found = m_needs.find(service);
    if (found == m_needs.end())
        return RequestNeed::None;
    const auto &[limitedCallAt, waitingItemsAt] = found->second;
    if (limitedCallAt && now - *limitedCallAt < onlinePriorityTime)
        return RequestNeed::Calls;
    const bool hasItems = waitingItemsAt && now - *waitingItemsAt < itemNeedTime;
    return hasItems ? RequestNeed::Items : RequestNeed::None;
}

bool UpstreamTable::noteLimitedCall(const std::string &service, TimePoint now)
{
    const auto hash = serviceHash(service);
    const bool isNews = needOf(hash, now) != RequestNeed::Calls;
    m_needs[hash].limitedCallAt = now;
    return isNews;
}

bool UpstreamTable::serveRequestNeeds()
{
    const std::scoped_lock lock(m_mutex);
    const auto now = SteadyClock().now();
    if (!m_limits.isAnyRestricted(now))
        return false;
    m_peers.expire(now);
    std::unordered_map<std::uint64_t, std::vector<PeerNeed>> peersByService;
    bool hasGranted = false;
    for (const auto &[id, state] : m_states) {
        if (state.info.isDraining || isLeaving(state)
            || !m_limits.isRestricted(startOf(state), now))
            continue;
        const auto [peers, isNew] = peersByService.try_emplace(state.serviceHash);
        if (isNew)
            peers->second = m_peers.needsOf(state.serviceHash);
        if (!m_limits.serveNeeds(startOf(state), state.info.zone, needOf(state.serviceHash, now),
                                 peers->second, now))
            continue;
        hasGranted = true;
        logDecision("upstream-request-granted", {{"upstream", id.text()}});
    }
    return hasGranted;
}

void UpstreamTable::noteGrants(std::span<const RequestGrant> grants, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_limits.applyGrants(grants, now);
}

std::vector<RequestGrant> UpstreamTable::grantsToReport()
{
    const std::scoped_lock lock(m_mutex);
    return m_limits.grantsToReport(SteadyClock().now());
}

void UpstreamTable::describeLimitedCalls(std::vector<ServiceDemand> &demands) const
{
    const std::scoped_lock lock(m_mutex);
    const auto now = SteadyClock().now();
    for (const auto &entry : m_needs) {
        const auto service = entry.first;
        if (needOf(service, now) != RequestNeed::Calls)
            continue;
        const auto known = std::find_if(demands.begin(), demands.end(), [&](const auto &demand) {
            return demand.service == service;
        });
        if (known == demands.end())
            demands.push_back({service, 0, 0, true});
        else
            known->hasLimitedCalls = true;
    }
}

void UpstreamTable::noteRequestLimit(const Reservation &reservation,
                                     std::optional<double> perSecond,
                                     UpstreamLimits::AnswerKind answer)
{
    const auto &upstream = reservation.m_upstream;
    const auto now = SteadyClock().now();
    {
        const std::scoped_lock lock(m_mutex);
        const UpstreamStart from{upstreamHash(upstream.id), upstream.startedAt};
        if (!m_limits.noteAnswer(from, perSecond, answer, reservation.m_reservedAt, now))
            return;
    }
    logStateChange("upstream-limit",
                   {{"upstream", upstream.id.text()},
                    {"perSecond", perSecond ? std::to_string(*perSecond) : "none"}});
    if (onLimitChange)
        onLimitChange();
}

void UpstreamTable::setLimitMembers(std::span<const LimitMember> others, std::size_t processCount)
{
    const std::scoped_lock lock(m_mutex);
    m_limits.setMembers(others, processCount);
}

void UpstreamTable::noteLimitReport(std::span<const UpstreamLimitReport> limits, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_limits.applyReport(limits, now);
}

std::vector<UpstreamLimitReport> UpstreamTable::limitsToReport() const
{
    const std::scoped_lock lock(m_mutex);
    return m_limits.report(SteadyClock().now());
}

std::size_t UpstreamTable::limitedUpstreams() const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_states.begin(), m_states.end(), [&](const auto &entry) {
                return m_limits.limitOf(startOf(entry.second)).has_value();
            }));
}

UpstreamTable::Candidates UpstreamTable::candidates(const std::string &service, WorkClass workClass,
                                                    const std::set<UpstreamId> &excluded,
                                                    TimePoint now)
{
    Candidates result;
    result.entries.reserve(m_states.size());
    result.states.reserve(m_states.size());
    m_peers.expire(now);
    updateSubset(now);
    appendCandidates(result, service, workClass, excluded, true, now);
    const bool isAnyHealthy
            = std::any_of(result.entries.begin(), result.entries.end(),
                          [](const UpstreamCandidate &each) { return each.isHealthy; });
    if (m_subset && !isAnyHealthy)
        appendCandidates(result, service, workClass, excluded, false, now);
    return result;
}

void UpstreamTable::appendCandidates(Candidates &result, const std::string &service,
                                     WorkClass workClass, const std::set<UpstreamId> &excluded,
                                     bool isInSubset, TimePoint now)
{
    const bool avoidsLimited = workClass == WorkClass::Batch
                               && needOf(serviceHash(service), now) == RequestNeed::Calls;
    for (auto &[id, state] : m_states) {
        if (state.isInSubset != isInSubset || state.info.service != service || state.info.isDraining
            || isLeaving(state) || excluded.contains(id))
            continue;
        const auto wait = m_limits.waitTime(startOf(state), state.info.zone, now);
        if (wait && (avoidsLimited || *wait > Duration(0))) {
            result.wasLimited = true;
            result.nextRequest = std::min(result.nextRequest, *wait);
            result.mayBeGranted |= m_limits.mayBeGranted(startOf(state));
            continue;
        }
        const auto peers = m_peers.at(state.hash);
        UpstreamCandidate candidate;
        candidate.isLimited = wait.has_value();
        candidate.distance = state.distance;
        candidate.slots = std::max(1U, state.info.slots);
        candidate.online = state.own.online + peers.online;
        candidate.batch = state.own.batch + peers.batch;
        candidate.ownBatch = state.own.batch;
        candidate.isHealthy = now >= state.backoffUntil;
        if (m_placement == PlacementRule::Work)
            describeWork(candidate, state, now);
        result.entries.push_back(candidate);
        result.states.push_back(&state);
    }
}

void UpstreamTable::describeWork(UpstreamCandidate &candidate, const State &state,
                                 TimePoint now) const
{
    const unsigned total = candidate.online + candidate.batch;
    candidate.pace = paceOf(state, std::min(total, candidate.slots), now);
    // The rest of the streams matters only if slots are short.
    if (candidate.online + 2 < candidate.slots)
        return;
    const double progress
            = std::min(1.0, static_cast<double>(candidate.slots) / total) / candidate.pace;
    candidate.onlineRemaining = ownRemaining(state, candidate.pace, now).online
                                + m_peers.remainingAt(state.hash, progress, now).online;
}

double UpstreamTable::paceOf(const State &state, unsigned runningStreams, TimePoint now) const
{
    // A single silent stream may have a fault of its own, so the most recent sign of life counts.
    Duration silence{};
    Duration usual{};
    double lowestRatio = 0;
    for (const auto *reservation : state.running) {
        const auto &work = reservation->m_work;
        const auto readingSince = reservation->m_readingSince.load();
        if (readingSince == TimePoint::max() || !work.features.isStream
            || (work.events == 0 && !work.hadSlot))
            continue;
        const PaceGroup group{state.serviceHash, work.features.isBatch};
        const auto expected = work.events == 0 ? durationOf(work.estimate.firstEventMs)
                                               : m_pace.usualGap(group, runningStreams);
        if (expected <= Duration(0))
            continue;
        const double ratio = millisecondsOf(now - readingSince) / millisecondsOf(expected);
        if (usual > Duration(0) && ratio >= lowestRatio)
            continue;
        lowestRatio = ratio;
        silence = now - readingSince;
        usual = expected;
    }
    return m_pace.pace(state.hash, now, silence, usual);
}

UpstreamRemaining UpstreamTable::ownRemaining(const State &state, double pace, TimePoint now)
{
    UpstreamRemaining sum;
    for (const auto *reservation : state.running) {
        const auto &work = reservation->m_work;
        const bool mayWait = work.events == 0 && !work.hadSlot;
        const double elapsed = mayWait ? 0 : millisecondsOf(now - work.beganAt) / pace;
        (work.features.isBatch ? sum.batch : sum.online) += work.estimate.slotTime.rest(elapsed);
    }
    return sum;
}

unsigned UpstreamTable::runningStreams(const State &state) const
{
    const auto peers = m_peers.at(state.hash);
    const unsigned total = state.own.online + state.own.batch + peers.online + peers.batch;
    return std::min(total, std::max(1U, state.info.slots));
}

UpstreamTable::ReservationPointer UpstreamTable::reserve(State &state, WorkClass workClass,
                                                         TimePoint now)
{
    auto reservation
            = std::make_unique<Reservation>(*this, state.info, workClass, m_nextReservation++, now);
    if (m_placement == PlacementRule::Work)
        state.running.push_back(reservation.get());
    return reservation;
}

void UpstreamTable::noteEvents(Reservation &reservation, std::size_t count)
{
    const auto now = SteadyClock().now();
    const auto readingSince = reservation.m_readingSince.exchange(TimePoint::max());
    const std::scoped_lock lock(m_mutex);
    const auto found = m_states.find(reservation.m_upstream.id);
    if (found == m_states.end())
        return;
    auto &state = found->second;
    auto &work = reservation.m_work;
    const bool isFirst = work.events == 0;
    work.events += count;
    const auto previous = std::exchange(work.lastEventAt, now);
    if (isFirst && work.hadSlot) {
        const auto expected = durationOf(work.estimate.firstEventMs);
        m_pace.noteFirstEvent(state.hash, now - work.beganAt, expected, now);
        const double pace = m_pace.pace(state.hash, now);
        m_estimator.recordFirstEvent(work.features, millisecondsOf(now - work.beganAt) / pace, now);
        return;
    }
    if (isFirst) {
        // The wait for a slot is not visible; what remains is the usual time to the first event.
        const double pace = m_pace.pace(state.hash, now);
        work.beganAt = std::max(work.beganAt, now - durationOf(work.estimate.firstEventMs * pace));
        return;
    }
    if (readingSince != TimePoint::max() && readingSince - previous > maxReadingPause)
        return;
    m_pace.noteEvents(state.hash, {state.serviceHash, work.features.isBatch}, now - previous, count,
                      runningStreams(state), now);
    logPaceChange(state, now);
}

void UpstreamTable::logPaceChange(State &state, TimePoint now) const
{
    const double pace = m_pace.pace(state.hash, now);
    const bool isSlow = state.isSlow ? pace > usualPace : pace >= slowPace;
    if (isSlow == state.isSlow)
        return;
    state.isSlow = isSlow;
    char text[16];
    std::snprintf(text, sizeof text, "%.2f", pace);
    logStateChange(
            "upstream-pace",
            {{"upstream", state.info.id.text()}, {"pace", text}, {"slow", isSlow ? "yes" : "no"}});
}

std::optional<double> UpstreamTable::noteCompleted(const Reservation &reservation)
{
    const auto now = SteadyClock().now();
    const std::scoped_lock lock(m_mutex);
    const auto &work = reservation.m_work;
    const double expected = work.estimate.slotTime.mean();
    if (expected <= 0)
        return {};
    const double pace = m_pace.pace(upstreamHash(reservation.m_upstream.id), now);
    const double slotTime = millisecondsOf(now - work.beganAt) / pace;
    m_estimator.recordSlotTime(work.features, slotTime, now);
    return slotTime / expected;
}

std::function<void()> UpstreamTable::takeCheapestPreemption(State &state) const
{
    auto &items = state.preemptibleItems;
    // Prefer an item that misses its deadline anyway, then the one with the most slack for another
    // run. Among equals prefer the newest, which has the least input to read again elsewhere.
    const auto isCostlier = [](const PreemptibleItem &left, const PreemptibleItem &right) {
        const auto rank = [](const PreemptibleItem &item) {
            return std::pair(item.slack < Duration(0), item.slack);
        };
        return rank(left) < rank(right);
    };
    const auto cheapest = std::max_element(items.rbegin(), items.rend(), isCostlier);
    if (cheapest == items.rend())
        return {};
    auto stop = std::move(cheapest->stop);
    items.erase(std::next(cheapest).base());
    return stop;
}

UpstreamTable::OnlineAdmission UpstreamTable::reserveOnline(const std::string &service,
                                                            const std::set<UpstreamId> &excluded,
                                                            Milliseconds maxWait,
                                                            const WorkFeatures &features)
{
    OnlineAdmission admission;
    const auto now = SteadyClock().now();
    std::function<void()> stop;
    {
        std::unique_lock lock(m_mutex);
        auto found = candidates(service, WorkClass::Online, excluded, now);
        WorkEstimate estimate;
        auto known = features;
        std::optional<UpstreamChoice> choice;
        if (m_placement == PlacementRule::Work) {
            known.service = serviceHash(service);
            estimate = m_estimator.estimate(known, now);
            choice = chooseOnlineUpstreamByWork(found.entries,
                                                {estimate.firstEventMs, estimate.slotTime.mean()},
                                                maxWait, threadRandomEngine());
        } else {
            choice = chooseOnlineUpstreamWithin(found.entries, maxWait, threadRandomEngine());
        }
        if (!choice || choice->wait > maxWait) {
            if (choice)
                admission.expectedWait = choice->wait;
            admission.wasLimited = found.wasLimited;
            if (found.wasLimited)
                admission.nextRequest = std::chrono::ceil<Milliseconds>(found.nextRequest);
            admission.mayBeGranted = found.mayBeGranted;
            admission.isFirstInNeed = found.wasLimited && noteLimitedCall(service, now);
            lock.unlock();
            if (admission.isFirstInNeed && onLoadChange)
                onLoadChange();
            return admission;
        }
        if (found.entries[choice->index].isLimited)
            noteLimitedCall(service, now);
        auto &state = *found.states[choice->index];
        m_limits.noteSent(startOf(state), now);
        state.own.online += 1;
        if (choice->mustPreempt)
            stop = takeCheapestPreemption(state);
        admission.basis = found.entries[choice->index];
        admission.expectedWait = choice->wait;
        admission.hasPreempted = static_cast<bool>(stop);
        admission.reservation = reserve(state, WorkClass::Online, now);
        auto &work = admission.reservation->m_work;
        work.features = known;
        work.estimate = estimate;
        work.hadSlot = choice->wait.count() == 0 && !choice->mustPreempt;
    }
    if (stop)
        stop();
    if (onLoadChange)
        onLoadChange();
    return admission;
}

std::size_t UpstreamTable::batchQuota(const std::string &service, WaitingItems waiting)
{
    const std::scoped_lock lock(m_mutex);
    const auto now = SteadyClock().now();
    if (waiting.sum() > 0)
        m_needs[serviceHash(service)].waitingItemsAt = now;
    double capacity = 0;
    // Requests to limited upstreams that only this process may send now.
    double ownRequests = 0;
    for (const auto &candidate : candidates(service, WorkClass::Batch, {}, now).entries) {
        if (candidate.isLimited)
            ownRequests += std::min(1.0, batchCapacity(candidate));
        else
            capacity += batchCapacity(candidate);
    }
    auto &random = threadRandomEngine();
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    auto all = waiting;
    all += m_peers.waiting(serviceHash(service));
    // Items that miss their deadline anyway only get capacity that no other items wait for.
    const double capacityForLate = std::max(0.0, capacity - all.inTime);
    const auto shared = batchShare(capacity, waiting.inTime, all.inTime, draw)
                        + batchShare(capacityForLate, waiting.late, all.late, draw);
    const double rest = std::max(0.0, waiting.sum() - static_cast<double>(shared));
    return shared
           + (ownRequests > 0 ? static_cast<std::size_t>(std::min(rest, ownRequests + draw)) : 0);
}

UpstreamTable::ReservationPointer UpstreamTable::reserveBatch(const std::string &service,
                                                              const WorkFeatures &features,
                                                              Duration slack)
{
    ReservationPointer reservation;
    const auto now = SteadyClock().now();
    {
        const std::scoped_lock lock(m_mutex);
        auto found = candidates(service, WorkClass::Batch, {}, now);
        WorkEstimate estimate;
        auto known = features;
        std::optional<std::size_t> index;
        if (m_placement == PlacementRule::Work) {
            known.isBatch = true;
            known.service = serviceHash(service);
            estimate = m_estimator.estimate(known, now);
            index = chooseBatchUpstreamByWork(found.entries,
                                              {estimate.slotTime.mean(), millisecondsOf(slack)},
                                              threadRandomEngine());
        } else {
            index = chooseBatchUpstream(found.entries, threadRandomEngine());
        }
        if (!index)
            return {};
        auto &state = *found.states[*index];
        m_limits.noteSent(startOf(state), now);
        state.own.batch += 1;
        reservation = reserve(state, WorkClass::Batch, now);
        reservation->m_work.features = known;
        reservation->m_work.estimate = estimate;
    }
    if (onLoadChange)
        onLoadChange();
    return reservation;
}

void UpstreamTable::release(const Reservation &reservation)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_states.find(reservation.m_upstream.id);
        if (found == m_states.end())
            return;
        auto &state = found->second;
        auto &count
                = reservation.m_workClass == WorkClass::Online ? state.own.online : state.own.batch;
        if (count > 0)
            count -= 1;
        std::erase_if(state.preemptibleItems, [&](const PreemptibleItem &each) {
            return each.number == reservation.m_number;
        });
        std::erase(state.running, &reservation);
        if (reservation.m_health == UpstreamHealth::Healthy) {
            state.failures = 0;
            state.backoffUntil = {};
        } else if (reservation.m_health == UpstreamHealth::Failed) {
            state.backoffUntil = SteadyClock().now()
                                 + exponentialBackoff(initialBackoff, maxBackoff, state.failures);
            state.failures += 1;
        }
    }
    if (onLoadChange)
        onLoadChange();
}

void UpstreamTable::notePeerLoads(const NodeId &peer, std::span<const UpstreamStreams> loads,
                                  std::span<const ServiceDemand> waiting, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_peers.note(peer, loads, waiting, now);
    if (m_placement != PlacementRule::Work)
        return;
    for (const auto &load : loads) {
        if (load.pace > 0)
            m_pace.notePeer(load.upstream, {load.pace, reportedPaceWeight}, now);
    }
}

std::map<UpstreamId, UpstreamLoad> UpstreamTable::ownLoads() const
{
    const std::scoped_lock lock(m_mutex);
    std::map<UpstreamId, UpstreamLoad> loads;
    for (const auto &[id, state] : m_states) {
        if (state.own.online > 0 || state.own.batch > 0)
            loads[id] = state.own;
    }
    return loads;
}

std::vector<UpstreamStreams> UpstreamTable::loadsToReport() const
{
    const auto now = SteadyClock().now();
    const auto reported = [](double remaining) {
        return Milliseconds(static_cast<long long>(std::ceil(remaining)));
    };
    const std::scoped_lock lock(m_mutex);
    std::vector<UpstreamStreams> loads;
    for (const auto &[id, state] : m_states) {
        if (state.own.online == 0 && state.own.batch == 0)
            continue;
        UpstreamStreams load{state.hash, state.own.online, state.own.batch};
        if (m_placement == PlacementRule::Work) {
            const auto remaining = ownRemaining(state, m_pace.pace(state.hash, now), now);
            load.onlineRemaining = reported(remaining.online);
            load.batchRemaining = reported(remaining.batch);
            const auto observed = m_pace.observed(state.hash, now);
            load.pace = observed.weight > 0 ? observed.pace : 0;
        }
        loads.push_back(load);
    }
    return loads;
}

std::vector<UpstreamTable::SlowUpstream> UpstreamTable::slowest(std::size_t count) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<SlowUpstream> result;
    for (const auto &slow : m_pace.slowest(count, SteadyClock().now())) {
        const auto found = std::find_if(m_states.begin(), m_states.end(), [&](const auto &entry) {
            return entry.second.hash == slow.upstream;
        });
        if (found != m_states.end())
            result.push_back({found->first, slow.pace});
    }
    return result;
}

unsigned UpstreamTable::usableSlots(const State &state) const
{
    const auto slots = std::max(1U, state.info.slots);
    const auto limit = m_limits.limitOf(startOf(state));
    if (!limit)
        return slots;
    // Calls that arrive at the limit occupy this many slots at a time.
    const double used
            = *limit * std::chrono::duration<double>(UpstreamCandidate().holdTime).count();
    return std::min(slots, static_cast<unsigned>(std::ceil(std::min(used, 1.0 * slots))));
}

unsigned UpstreamTable::slots() const
{
    const std::scoped_lock lock(m_mutex);
    unsigned sum = 0;
    for (const auto &[id, state] : m_states) {
        if (!state.info.isDraining && !isLeaving(state))
            sum += usableSlots(state);
    }
    return sum;
}

void UpstreamTable::preemptExcessBatch()
{
    std::vector<std::function<void()>> stops;
    {
        const std::scoped_lock lock(m_mutex);
        m_peers.expire(SteadyClock().now());
        for (auto &entry : m_states) {
            auto &state = entry.second;
            const auto peers = m_peers.at(state.hash);
            const unsigned total = state.own.online + state.own.batch + peers.online + peers.batch;
            if (state.preemptibleItems.empty() || total <= state.info.slots
                || m_peers.mustPeerPreemptFirst(state.hash, state.own.batch, m_self))
                continue;
            const unsigned excess = total - state.info.slots;
            for (unsigned i = 0; i < excess; ++i) {
                auto stop = takeCheapestPreemption(state);
                if (!stop)
                    break;
                stops.push_back(std::move(stop));
            }
        }
    }
    for (const auto &stop : stops)
        stop();
}

} // namespace Radishplank
