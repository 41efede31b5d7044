#include <Gateway/UpstreamTable.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Backoff after the first failure; doubles with each further one.
constexpr Milliseconds initialBackoff{250};
constexpr Milliseconds maxBackoff{2'000};
constexpr std::size_t maxLeavingEntries = 4'096;
/// Assigning 3,000 upstreams takes about a millisecond, and some come or go all the time.
constexpr Milliseconds minSubsetInterval{500};

} // namespace

Distance Locality::distanceTo(const ZoneName &other) const
{
    if (other == zone)
        return Distance::SameZone;
    const auto found = regions.find(other);
    const bool isSameRegion = found != regions.end() && found->second == region;
    return isSameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

UpstreamTable::Reservation::Reservation(UpstreamTable &table, UpstreamInfo upstream,
                                        WorkClass workClass, std::uint64_t number)
    : m_table(table)
    , m_upstream(std::move(upstream))
    , m_workClass(workClass)
    , m_number(number)
{
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

UpstreamTable::UpstreamTable(NodeId self, Locality locality)
    : m_self(std::move(self))
    , m_locality(std::move(locality))
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

UpstreamTable::Candidates UpstreamTable::candidates(const std::string &service,
                                                    const std::set<UpstreamId> &excluded,
                                                    TimePoint now)
{
    Candidates result;
    m_peers.expire(now);
    updateSubset(now);
    appendCandidates(result, service, excluded, true, now);
    const bool isAnyHealthy
            = std::any_of(result.entries.begin(), result.entries.end(),
                          [](const UpstreamCandidate &each) { return each.isHealthy; });
    if (m_subset && !isAnyHealthy)
        appendCandidates(result, service, excluded, false, now);
    return result;
}

void UpstreamTable::appendCandidates(Candidates &result, const std::string &service,
                                     const std::set<UpstreamId> &excluded, bool isInSubset,
                                     TimePoint now)
{
    for (auto &[id, state] : m_states) {
        if (state.isInSubset != isInSubset || state.info.service != service || state.info.isDraining
            || isLeaving(state) || excluded.contains(id))
            continue;
        const auto peers = m_peers.at(state.hash);
        UpstreamCandidate candidate;
        candidate.distance = m_locality.distanceTo(state.info.zone);
        candidate.slots = std::max(1U, state.info.slots);
        candidate.online = state.own.online + peers.online;
        candidate.batch = state.own.batch + peers.batch;
        candidate.ownBatch = state.own.batch;
        candidate.isHealthy = now >= state.backoffUntil;
        result.entries.push_back(candidate);
        result.states.push_back(&state);
    }
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
                                                            Milliseconds maxWait)
{
    OnlineAdmission admission;
    std::function<void()> stop;
    {
        const std::scoped_lock lock(m_mutex);
        auto found = candidates(service, excluded, SteadyClock().now());
        const auto choice = chooseOnlineUpstream(found.entries, threadRandomEngine());
        if (!choice)
            return admission;
        if (choice->wait > maxWait) {
            admission.expectedWait = choice->wait;
            return admission;
        }
        auto &state = *found.states[choice->index];
        state.own.online += 1;
        if (choice->mustPreempt)
            stop = takeCheapestPreemption(state);
        admission.basis = found.entries[choice->index];
        admission.expectedWait = choice->wait;
        admission.hasPreempted = static_cast<bool>(stop);
        admission.reservation = std::make_unique<Reservation>(*this, state.info, WorkClass::Online,
                                                              m_nextReservation++);
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
    double capacity = 0;
    for (const auto &candidate : candidates(service, {}, now).entries)
        capacity += batchCapacity(candidate);
    auto &random = threadRandomEngine();
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    auto all = waiting;
    all += m_peers.waiting(serviceHash(service));
    // Items that miss their deadline anyway only get capacity that no other items wait for.
    const double capacityForLate = std::max(0.0, capacity - all.inTime);
    return batchShare(capacity, waiting.inTime, all.inTime, draw)
           + batchShare(capacityForLate, waiting.late, all.late, draw);
}

UpstreamTable::ReservationPointer UpstreamTable::reserveBatch(const std::string &service)
{
    ReservationPointer reservation;
    {
        const std::scoped_lock lock(m_mutex);
        auto found = candidates(service, {}, SteadyClock().now());
        const auto index = chooseBatchUpstream(found.entries, threadRandomEngine());
        if (!index)
            return {};
        auto &state = *found.states[*index];
        state.own.batch += 1;
        reservation = std::make_unique<Reservation>(*this, state.info, WorkClass::Batch,
                                                    m_nextReservation++);
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
