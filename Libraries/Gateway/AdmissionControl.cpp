#include <Gateway/AdmissionControl.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Most slots are occupied by other calls after a shorter time: a stream takes about 0.7 s.
constexpr Milliseconds minReturnDelay{500};
constexpr Milliseconds maxReturnDelay{10'000};
/// Callers honour a Retry-After only up to this share of the time that they have left.
constexpr int timeLeftPerReturnDelay = 3;
/// Share of the slots becoming free that returning callers can count on; new calls take the others.
constexpr double shareForReturns = 0.25;
/// Bounds the size of a report; the others hold too few streams to be above their shares.
constexpr std::size_t maxReportedOwners = 64;
/// Owners that metrics name; the others are summed up.
constexpr std::size_t maxOwnersInMetrics = 8;
/// Owners come from the configuration; this bounds what earlier ones leave behind.
constexpr std::size_t maxRefusedOwners = 4'096;

/// Escapes the value of a label in the Prometheus text format.
std::string escapedLabel(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\\' || character == '"')
            escaped += '\\';
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

} // namespace

AdmissionControl::OwnerStream::OwnerStream(AdmissionControl &control, std::uint64_t owner)
    : m_control(control)
    , m_owner(owner)
{
    const std::scoped_lock lock(m_control.m_mutex);
    m_control.m_loads.begin(m_owner);
}

AdmissionControl::OwnerStream::~OwnerStream()
{
    const std::scoped_lock lock(m_control.m_mutex);
    m_control.m_loads.end(m_owner);
}

AdmissionControl::AdmissionControl(const RouteDirectory &routes)
    : m_routes(routes)
    , m_returns({minReturnDelay, maxReturnDelay, minReturnDelay})
{
}

void AdmissionControl::followConfiguration()
{
    if (m_configuration == m_routes.version())
        return;
    m_configuration = m_routes.version();
    m_owners.clear();
    for (const auto &owner : m_routes.owners())
        m_owners[ownerHash(owner->id.text())] = {owner->id.text(), owner->priority};
}

AdmissionLimit AdmissionControl::limitFor(const AdmissionRequest &request, unsigned slots,
                                          TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    followConfiguration();
    m_loads.expire(now);
    std::vector<OwnerHolding> holdings;
    for (const auto &[hash, streams] : m_loads.means(now)) {
        // Reports do not tell the routes of the streams; without a priority of its own, an owner
        // competes with this call.
        const auto owner = m_owners.find(hash);
        const auto priority = owner == m_owners.end() ? std::nullopt : owner->second.priority;
        holdings.push_back({hash, priority.value_or(request.priority), streams});
    }
    AdmissionLimit limit;
    limit.standing
            = OwnerShares(std::move(holdings), slots).standing(request.owner, request.priority);
    limit.longestWait = m_admission.longestWait(request.service, request.age, request.target,
                                                limit.standing, now);
    return limit;
}

Milliseconds AdmissionControl::retryAfter(Milliseconds timeLeft, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    return m_returns.scheduleWithin(timeLeft / timeLeftPerReturnDelay, 1, now);
}

void AdmissionControl::noteFirstEvent(const std::string &service, Milliseconds expectedWait,
                                      Milliseconds observed, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_admission.noteFirstEvent(service, expectedWait, observed, now);
}

void AdmissionControl::noteAnswered(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_returns.noteDone(shareForReturns, now);
}

void AdmissionControl::noteRefused(std::uint64_t owner)
{
    const std::scoped_lock lock(m_mutex);
    if (m_refused.size() < maxRefusedOwners || m_refused.contains(owner))
        m_refused[owner] += 1;
}

void AdmissionControl::notePeerStreams(const NodeId &peer, std::span<const OwnerStreams> streams,
                                       TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_loads.note(peer, streams, now);
}

std::vector<OwnerStreams> AdmissionControl::ownStreams() const
{
    if (!m_routes.hasOwners())
        return {};
    const std::scoped_lock lock(m_mutex);
    return m_loads.own(maxReportedOwners);
}

void AdmissionControl::renderPrometheus(std::string &text)
{
    if (!m_routes.hasOwners())
        return;
    const std::scoped_lock lock(m_mutex);
    followConfiguration();
    renderByOwner(text, "radishplank_owner_streams", m_loads.all());
    std::vector<OwnerStreams> refused;
    for (const auto &[owner, count] : m_refused)
        refused.push_back({owner, count});
    renderByOwner(text, "radishplank_owner_calls_refused", std::move(refused));
}

void AdmissionControl::renderByOwner(std::string &text, std::string_view name,
                                     std::vector<OwnerStreams> values) const
{
    std::sort(values.begin(), values.end(),
              [](const auto &left, const auto &right) { return left.online > right.online; });
    const std::string metric(name);
    text += "# TYPE " + metric + " gauge\n";
    std::uint64_t rest = 0;
    for (std::size_t index = 0; index < values.size(); ++index) {
        const auto owner = m_owners.find(values[index].owner);
        if (index >= maxOwnersInMetrics || owner == m_owners.end()) {
            rest += values[index].online;
            continue;
        }
        text += metric + "{owner=\"" + escapedLabel(owner->second.name) + "\"} "
                + std::to_string(values[index].online) + "\n";
    }
    text += metric + "{owner=\"\"} " + std::to_string(rest) + "\n";
}

} // namespace Radishplank
