#include "TraceGenerator.h"

#include <cmath>
#include <numbers>

namespace Radishplank {

namespace {

constexpr std::size_t prefixCount = 12;
constexpr std::size_t prefixWords = 64;
constexpr double lengthSigma = 0.6;
constexpr double burstIntervalSeconds = 3;
constexpr double burstLengthSeconds = 0.4;
constexpr double burstFactor = 3;

/// Returns the rate at the given time, relative to the mean rate.
double relativeRate(const std::string &deployment, double second, double durationSeconds)
{
    if (deployment == "sundholl") {
        // One evening: the rate rises to a peak and falls again.
        return 0.4 + 1.2 * std::sin(std::numbers::pi * second / durationSeconds) * 0.785;
    }
    // A steady rate during a shift, with periodic bursts when the clerks of one firm call at once.
    const bool isBurst = std::fmod(second, burstIntervalSeconds) < burstLengthSeconds;
    const double burstShare = burstLengthSeconds / burstIntervalSeconds;
    const double base = 1 / (1 + burstShare * (burstFactor - 1));
    return isBurst ? base * burstFactor : base;
}

std::string prefixText(std::size_t number)
{
    std::string text;
    for (std::size_t word = 0; word < prefixWords; ++word)
        text += "context" + std::to_string(number) + "-" + std::to_string(word) + " ";
    return text;
}

std::size_t drawPrefix(RandomEngine &random)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < prefixCount; ++i)
        weights.push_back(1.0 / static_cast<double>(i + 1));
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

std::uint64_t drawLength(RandomEngine &random, double mean)
{
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    const double mu = std::log(mean) - lengthSigma * lengthSigma / 2;
    const double drawn = std::lognormal_distribution<double>(mu, lengthSigma)(random);
    return static_cast<std::uint64_t>(std::clamp(drawn, 1.0, mean * 8));
}

} // namespace

std::vector<TraceCall> generateTrace(const GeneratorSettings &settings)
{
    RandomEngine random(settings.seed);
    const double duration = static_cast<double>(settings.duration.count()) / 1000;
    constexpr double maxRelativeRate = 3;
    std::exponential_distribution<double> gap(settings.callsPerSecond * maxRelativeRate);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<TraceCall> calls;
    // Thinning: generates arrivals at the maximum rate and keeps each with probability
    // rate/maximum.
    for (double second = gap(random); second < duration; second += gap(random)) {
        const double rate = relativeRate(settings.deployment, second, duration);
        if (unit(random) * maxRelativeRate > rate)
            continue;
        TraceCall call;
        call.offset = std::chrono::microseconds(static_cast<std::int64_t>(second * 1e6));
        call.owner = settings.deployment;
        call.entry = "assistant";
        call.prompt = prefixText(drawPrefix(random)) + "question " + std::to_string(calls.size());
        call.tokens = drawLength(random, settings.meanTokens);
        calls.push_back(std::move(call));
    }
    return calls;
}

} // namespace Radishplank
