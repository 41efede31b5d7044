#include <Serving/CallAdmission.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

/// A burst lasts 2 to 4 s; what was observed before it should soon carry less weight.
constexpr double halfLifeSeconds = 3;
/// Recent observations that weigh as much as the assumption that is made without any.
constexpr double priorWeight = 4;
/// Share of the target that the first event is assumed to take in a free slot.
constexpr double assumedShareOfTarget = 0.4;
/// Time on the way between caller and entry process, which the age does not include.
constexpr Milliseconds transferTime{10};
/// A call waits if its first event will probably be in time. With 0.5, half of the calls that wait
/// are late, and later calls wait behind them.
constexpr double usualQuantile = 0.8;
/// A call of an owner below its share waits if its first event is as likely in time as late.
constexpr double quantileBelowShare = 0.5;

constexpr Milliseconds bucketWidth{10};
/// A call can begin earlier than expected, if other calls end early.
constexpr Milliseconds smallestTime{-500};
constexpr std::size_t bucketCount = 300;
/// The names of services come from the configuration; this bounds what earlier ones leave behind.
constexpr std::size_t maxServices = 256;

} // namespace

double CallAdmission::DecayingTimes::decayUntil(TimePoint now) const
{
    const std::chrono::duration<double> passed = now - m_decayedAt;
    return std::exp2(-std::max(0.0, passed.count()) / halfLifeSeconds);
}

void CallAdmission::DecayingTimes::note(Milliseconds time, TimePoint now)
{
    m_weights.resize(bucketCount);
    const double decay = decayUntil(now);
    for (auto &weight : m_weights)
        weight *= decay;
    m_decayedAt = now;
    const auto bucket = (time - smallestTime) / bucketWidth;
    m_weights[static_cast<std::size_t>(std::clamp<long long>(bucket, 0, bucketCount - 1))] += 1;
}

Milliseconds CallAdmission::DecayingTimes::quantile(double quantile, Milliseconds prior,
                                                    TimePoint now) const
{
    const double decay = decayUntil(now);
    double total = priorWeight;
    for (const double weight : m_weights)
        total += weight * decay;
    double remaining = quantile * total;
    bool isPriorCounted = false;
    for (std::size_t bucket = 0; bucket < m_weights.size(); ++bucket) {
        const auto time = smallestTime + bucketWidth * static_cast<long long>(bucket);
        if (!isPriorCounted && prior <= time) {
            isPriorCounted = true;
            remaining -= priorWeight;
            if (remaining <= 0)
                return prior;
        }
        remaining -= m_weights[bucket] * decay;
        if (remaining <= 0)
            return time;
    }
    return prior;
}

Milliseconds CallAdmission::longestWait(const std::string &service, Milliseconds age,
                                        Milliseconds target, ShareStanding standing,
                                        TimePoint now) const
{
    if (standing == ShareStanding::Above)
        return Milliseconds(0);
    const double quantile = standing == ShareStanding::Below ? quantileBelowShare : usualQuantile;
    auto toFirstEvent = Milliseconds(
            std::llround(static_cast<double>(target.count()) * assumedShareOfTarget));
    if (const auto found = m_services.find(service); found != m_services.end()) {
        toFirstEvent = found->second.whenFree.quantile(quantile, toFirstEvent, now);
        toFirstEvent = found->second.afterWait.quantile(quantile, toFirstEvent, now);
    }
    const auto latestBegin = target - transferTime - age;
    return std::clamp(latestBegin - toFirstEvent, Milliseconds(0),
                      std::max(latestBegin, Milliseconds(0)));
}

void CallAdmission::noteFirstEvent(const std::string &service, Milliseconds expectedWait,
                                   Milliseconds observed, TimePoint now)
{
    if (m_services.size() >= maxServices && !m_services.contains(service))
        m_services.erase(m_services.begin());
    auto &times = m_services[service];
    if (expectedWait.count() == 0)
        times.whenFree.note(observed, now);
    else
        times.afterWait.note(observed - expectedWait, now);
}

} // namespace Radishplank
