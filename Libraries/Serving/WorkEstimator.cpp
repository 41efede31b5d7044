#include <Serving/WorkEstimator.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Radishplank {

namespace {

/// Load and answer lengths change within some seconds.
constexpr double halfLifeSeconds = 5;
/// Hints of callers are compared over a longer time, because a process completes only some ten
/// requests per second.
constexpr double regressionHalfLifeSeconds = 20;
/// Samples of a broader key that count as much as this number of samples of a narrower one.
constexpr float broaderWeight = 6;
/// Weight of the assumed distribution beside the samples of the broadest key.
constexpr float defaultWeight = 3;
/// Spread of the assumed distribution: the answers of the deployments are log-normal with it.
constexpr double defaultSigma = 0.57;
constexpr double defaultFirstEventMs = 110;
/// Keeps the slopes at zero until some ten requests with different lengths have completed.
constexpr double regressionRidge = 4;
constexpr double maxSlope = 1.5;
/// A statement of a caller changes the estimate at most by this factor.
constexpr double maxOffset = 1.4;

double decayFactor(TimePoint from, TimePoint to, double halfLife)
{
    const double seconds = std::chrono::duration<double>(to - from).count();
    return seconds > 0 ? std::exp2(-seconds / halfLife) : 1;
}

DurationWeights logNormalWeights(double median, double sigma)
{
    DurationWeights weights{};
    double sum = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const double z = std::log(DurationBuckets::valueOf(i) / median) / sigma;
        weights[i] = static_cast<float>(std::exp(-z * z / 2));
        sum += weights[i];
    }
    for (auto &weight : weights)
        weight = static_cast<float>(weight / sum);
    return weights;
}

const DurationWeights &defaultSlotTime(bool isBatch)
{
    static const auto withMean = [](double mean) {
        return logNormalWeights(mean * std::exp(-defaultSigma * defaultSigma / 2), defaultSigma);
    };
    static const auto online = withMean(WorkEstimator::defaultOnlineMs);
    static const auto batch = withMean(WorkEstimator::defaultBatchMs);
    return isBatch ? batch : online;
}

const DurationWeights &defaultFirstEvent()
{
    static const auto weights = logNormalWeights(defaultFirstEventMs, defaultSigma);
    return weights;
}

/// Adds a histogram to the distribution of the broader keys, whose sum is 1, and restores the sum.
void narrow(DurationWeights &distribution, const DurationWeights &weights, float total,
            float factor, float broader)
{
    const float sum = total * factor + broader;
    for (std::size_t i = 0; i < distribution.size(); ++i)
        distribution[i] = (weights[i] * factor + distribution[i] * broader) / sum;
}

std::uint64_t combine(std::uint64_t seed, std::uint64_t value)
{
    std::uint64_t mixed = (seed ^ value) + 0x9e3779b97f4a7c15;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
}

LengthRegression::Inputs inputsOf(const WorkFeatures &features)
{
    const auto logOf = [](unsigned tokens) { return tokens > 0 ? std::log1p(tokens) : 0.0; };
    return {logOf(features.maxOutputTokens), logOf(features.lengthHint)};
}

} // namespace

void LengthRegression::record(const Inputs &inputs, double logOutcome, TimePoint now)
{
    const double factor = decayFactor(m_updatedAt, now, regressionHalfLifeSeconds);
    m_updatedAt = now;
    m_weight = m_weight * factor + 1;
    const double outcomeDelta = logOutcome - m_outcomeMean;
    m_outcomeMean += outcomeDelta / m_weight;
    Inputs before{};
    Inputs after{};
    for (std::size_t i = 0; i < inputCount; ++i) {
        if (inputs[i] == 0)
            continue;
        // The first value of an input sets its mean.
        const bool isFirst = m_mean[i] == 0;
        before[i] = isFirst ? 0 : inputs[i] - m_mean[i];
        m_mean[i] = isFirst ? inputs[i] : m_mean[i] + before[i] / m_weight;
        after[i] = inputs[i] - m_mean[i];
    }
    for (std::size_t i = 0; i < inputCount; ++i) {
        for (std::size_t j = 0; j < inputCount; ++j)
            m_covariance[i][j] = m_covariance[i][j] * factor + before[i] * after[j];
        m_outcomeCovariance[i] = m_outcomeCovariance[i] * factor + after[i] * outcomeDelta;
    }
    solve();
}

void LengthRegression::solve()
{
    // The ridge is in units of an input that varies by a factor of e.
    const double a = m_covariance[0][0] + regressionRidge;
    const double d = m_covariance[1][1] + regressionRidge;
    const double b = (m_covariance[0][1] + m_covariance[1][0]) / 2;
    const double determinant = a * d - b * b;
    if (!(determinant > 0))
        return;
    const auto &[x, y] = m_outcomeCovariance;
    m_slopes = {std::clamp((d * x - b * y) / determinant, 0.0, maxSlope),
                std::clamp((a * y - b * x) / determinant, 0.0, maxSlope)};
}

double LengthRegression::offset(const Inputs &inputs) const
{
    double sum = 0;
    for (std::size_t i = 0; i < inputCount; ++i)
        sum += inputs[i] == 0 ? 0 : m_slopes[i] * (inputs[i] - m_mean[i]);
    return std::clamp(sum, -maxOffset, maxOffset);
}

WorkEstimator::WorkEstimator(std::size_t maxKeys)
    : m_maxKeys(std::max(maxKeys, levelCount))
{
}

WorkEstimator::Keys WorkEstimator::keysOf(const WorkFeatures &features)
{
    // Prompts of one class differ by less than a factor of two.
    const auto promptClass = static_cast<std::uint64_t>(std::bit_width(features.promptTokens));
    Keys keys{};
    keys[0] = combine(features.isBatch ? 2 : 1, features.service);
    keys[1] = combine(keys[0] + 1, features.route);
    keys[2] = combine(keys[1] + 2, promptClass);
    keys[3] = combine(keys[2] + 3, features.owner);
    return keys;
}

WorkEstimate WorkEstimator::estimate(const WorkFeatures &features, TimePoint now) const
{
    DurationWeights slotTime = defaultSlotTime(features.isBatch);
    DurationWeights firstEvent = defaultFirstEvent();
    float broader = defaultWeight;
    for (const auto key : keysOf(features)) {
        const auto found = m_entries.find(key);
        if (found == m_entries.end())
            break;
        const auto &entry = found->second;
        const auto factor = static_cast<float>(decayFactor(entry.updatedAt, now, halfLifeSeconds));
        narrow(slotTime, entry.slotTime.weights, entry.slotTime.total, factor, broader);
        narrow(firstEvent, entry.firstEvent.weights, entry.firstEvent.total, factor, broader);
        broader = broaderWeight;
    }
    const double scale = std::exp(regressionOf(features).offset(inputsOf(features)));
    return {RemainingWork(slotTime, scale), RemainingWork(firstEvent).quantile(0.5)};
}

void WorkEstimator::recordSlotTime(const WorkFeatures &features, double milliseconds, TimePoint now)
{
    if (!(milliseconds > 0))
        return;
    const auto inputs = inputsOf(features);
    auto &regression = m_regressions[features.isBatch ? 1 : 0];
    // The distributions hold what the stated lengths do not explain.
    const double unexplained = milliseconds / std::exp(regression.offset(inputs));
    regression.record(inputs, std::log(milliseconds), now);
    record(features, &Entry::slotTime, unexplained, now);
}

void WorkEstimator::recordFirstEvent(const WorkFeatures &features, double milliseconds,
                                     TimePoint now)
{
    if (milliseconds > 0)
        record(features, &Entry::firstEvent, milliseconds, now);
}

void WorkEstimator::record(const WorkFeatures &features, Histogram Entry::*histogram,
                           double milliseconds, TimePoint now)
{
    const auto bucket = DurationBuckets::indexOf(milliseconds);
    for (const auto key : keysOf(features)) {
        auto &target = entryOf(key, now).*histogram;
        target.weights[bucket] += 1;
        target.total += 1;
    }
}

WorkEstimator::Entry &WorkEstimator::entryOf(std::uint64_t key, TimePoint now)
{
    const auto [found, isNew] = m_entries.try_emplace(key);
    auto &entry = found->second;
    if (isNew) {
        m_uses.push_front(key);
        entry.use = m_uses.begin();
        entry.updatedAt = now;
        if (m_entries.size() > m_maxKeys) {
            m_entries.erase(m_uses.back());
            m_uses.pop_back();
        }
        return entry;
    }
    m_uses.splice(m_uses.begin(), m_uses, entry.use);
    const auto factor = static_cast<float>(decayFactor(entry.updatedAt, now, halfLifeSeconds));
    entry.updatedAt = std::max(entry.updatedAt, now);
    for (auto *each : {&entry.slotTime, &entry.firstEvent}) {
        each->total *= factor;
        for (auto &weight : each->weights)
            weight *= factor;
    }
    return entry;
}

} // namespace Radishplank
