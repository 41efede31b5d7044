#include <Serving/UpstreamPace.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

/// Evidence after which older evidence is replaced, in usual gaps: 0.3 s of one stream.
constexpr double memoryWeight = 10;
/// Without new evidence, the weight of what is known falls to 37% in this time.
constexpr double fadeSeconds = 1;
/// Weight of the assumption that an upstream is as fast as its peers.
constexpr double priorWeight = 1;
/// Ratios beyond this are taken for a stall of the link or of this process.
constexpr double maxLogRatio = 1.8;
constexpr double minLogRatio = -1;
constexpr double maxGapWeight = 4;
constexpr double minGapWeight = 0.5;
constexpr double firstEventWeight = 2;
/// How much slower than the gap before it a gap may count.
constexpr double maxLogStep = 0.3;
/// Differences below this (16%) are noise of the measurement.
constexpr double insignificantLogRatio = 0.15;
constexpr double minPace = 0.7;
constexpr double maxPace = 8;
/// Silence below this many usual gaps is no evidence yet.
constexpr double minSilenceRatio = 2.5;
constexpr double maxSilenceWeight = 4;
/// Evidence that is older than this is not passed on to peers, which would keep it alive.
constexpr Milliseconds maxObservedAge{400};
constexpr double minObservedWeight = 2;
constexpr double maxPeerWeight = 4;
/// Step of the median of the usual gaps: some hundred gaps a second are observed over all
/// upstreams.
constexpr double minMedianStep = 0.02;
constexpr double maxMedianStep = 0.3;
constexpr std::size_t maxGroups = 64;
constexpr double slowPace = 1.2;

double millisecondsOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double significant(double logRatio)
{
    const double rest = std::max(0.0, std::abs(logRatio) - insignificantLogRatio);
    return std::copysign(rest, logRatio);
}

} // namespace

UpstreamPace::UpstreamPace(std::size_t maxUpstreams)
    : m_maxUpstreams(maxUpstreams)
{
}

const UpstreamPace::UsualGap *UpstreamPace::nearest(const UsualGaps &gaps, std::size_t level)
{
    for (std::size_t distance = 0; distance < gaps.size(); ++distance) {
        if (level >= distance && gaps[level - distance].samples > 0)
            return &gaps[level - distance];
        if (level + distance < gaps.size() && gaps[level + distance].samples > 0)
            return &gaps[level + distance];
    }
    return nullptr;
}

void UpstreamPace::add(Evidence &evidence, double weight, double logRatio, TimePoint now)
{
    evidence = at(evidence, now);
    const double keep = std::exp(-weight / memoryWeight);
    evidence.weight = evidence.weight * keep + weight;
    evidence.sum = evidence.sum * keep + weight * logRatio;
}

UpstreamPace::Evidence UpstreamPace::at(const Evidence &evidence, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - evidence.updatedAt).count();
    if (evidence.weight == 0 || age <= 0)
        return {evidence.weight, evidence.sum, std::max(now, evidence.updatedAt)};
    const double keep = std::exp(-age / fadeSeconds);
    return {evidence.weight * keep, evidence.sum * keep, now};
}

void UpstreamPace::noteEvents(std::uint64_t upstream, PaceGroup group, Duration gap,
                              std::size_t events, unsigned running, TimePoint now)
{
    const double perEvent
            = millisecondsOf(gap) / static_cast<double>(std::max<std::size_t>(1, events));
    // Events that arrive together show nothing: they were delayed on their way.
    if (perEvent < 0.5)
        return;
    if (m_usual.size() >= maxGroups && !m_usual.contains(group))
        m_usual.clear();
    auto &gaps = m_usual[group];
    const std::size_t level = std::clamp<std::size_t>(running, 1, maxRunning) - 1;
    const double logGap = std::log(perEvent);
    auto &usual = gaps[level];
    if (usual.samples == 0) {
        const auto *neighbour = nearest(gaps, level);
        usual.logGap = neighbour ? neighbour->logGap : logGap;
    }
    const double logRatio = logGap - usual.logGap;
    usual.samples += 1;
    const double step = std::clamp(1.0 / usual.samples, minMedianStep, maxMedianStep);
    usual.logGap += std::clamp(logRatio, -step, step);
    const double weight = static_cast<double>(events)
                          * std::clamp(std::exp(logRatio), minGapWeight, maxGapWeight);
    noteRatio(stateOf(upstream, now), std::min(weight, memoryWeight), logRatio, now);
}

void UpstreamPace::noteFirstEvent(std::uint64_t upstream, Duration time, Duration expected,
                                  TimePoint now)
{
    const double ratio = millisecondsOf(time) / std::max(1.0, millisecondsOf(expected));
    if (ratio > 0)
        noteRatio(stateOf(upstream, now), firstEventWeight, std::log(ratio), now);
}

void UpstreamPace::noteRatio(Upstream &upstream, double weight, double logRatio, TimePoint now)
{
    const double bounded = std::clamp(logRatio, minLogRatio, maxLogRatio);
    const double counted = std::min(bounded, std::max(0.0, upstream.lastLogRatio) + maxLogStep);
    upstream.lastLogRatio = bounded;
    add(upstream.own, weight, counted, now);
}

void UpstreamPace::notePeer(std::uint64_t upstream, const ObservedPace &observed, TimePoint now)
{
    if (!(observed.weight > 0) || !(observed.pace > 0))
        return;
    const double logPace = std::clamp(std::log(observed.pace), minLogRatio, maxLogRatio);
    add(stateOf(upstream, now).peers, std::min(observed.weight, maxPeerWeight), logPace, now);
}

UpstreamPace::Upstream &UpstreamPace::stateOf(std::uint64_t upstream, TimePoint now)
{
    const auto [found, isNew] = m_upstreams.try_emplace(upstream);
    if (isNew && m_upstreams.size() > m_maxUpstreams) {
        // What has faded is worth nothing; if that is not enough, everything is learned anew.
        std::erase_if(m_upstreams, [&](const auto &entry) {
            return entry.first != upstream
                   && at(entry.second.own, now).weight + at(entry.second.peers, now).weight < 0.05;
        });
        if (m_upstreams.size() > m_maxUpstreams)
            std::erase_if(m_upstreams, [&](const auto &entry) { return entry.first != upstream; });
        return m_upstreams[upstream];
    }
    return found->second;
}

double UpstreamPace::pace(std::uint64_t upstream, TimePoint now, Duration silence,
                          Duration usual) const
{
    double weight = priorWeight;
    double sum = 0;
    if (const auto found = m_upstreams.find(upstream); found != m_upstreams.end()) {
        for (const auto *each : {&found->second.own, &found->second.peers}) {
            const auto evidence = at(*each, now);
            weight += evidence.weight;
            sum += evidence.sum;
        }
    }
    if (usual > Duration(0)) {
        const double ratio = millisecondsOf(silence) / millisecondsOf(usual);
        if (ratio > minSilenceRatio) {
            const double silenceWeight = std::min(maxSilenceWeight, ratio - 1);
            weight += silenceWeight;
            sum += silenceWeight * std::min(maxLogRatio, std::log(ratio));
        }
    }
    if (std::abs(sum) <= insignificantLogRatio * weight)
        return 1;
    return std::clamp(std::exp(significant(sum / weight)), minPace, maxPace);
}

ObservedPace UpstreamPace::observed(std::uint64_t upstream, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return {};
    const auto &own = found->second.own;
    if (own.weight < minObservedWeight || now - own.updatedAt > maxObservedAge)
        return {};
    return {std::exp(own.sum / own.weight), std::min(own.weight, maxPeerWeight)};
}

Duration UpstreamPace::usualGap(PaceGroup group, unsigned running) const
{
    const auto found = m_usual.find(group);
    if (found == m_usual.end())
        return {};
    const auto *gap = nearest(found->second, std::clamp<std::size_t>(running, 1, maxRunning) - 1);
    if (!gap)
        return {};
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(std::exp(gap->logGap)));
}

std::vector<UpstreamPace::SlowUpstream> UpstreamPace::slowest(std::size_t count,
                                                              TimePoint now) const
{
    std::vector<SlowUpstream> result;
    for (const auto &[upstream, state] : m_upstreams) {
        const double value = pace(upstream, now);
        if (value >= slowPace)
            result.push_back({upstream, value});
    }
    const auto end = std::min(count, result.size());
    std::partial_sort(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(end),
                      result.end(),
                      [](const auto &left, const auto &right) { return left.pace > right.pace; });
    result.resize(end);
    return result;
}

} // namespace Radishplank
