#pragma once

#include "TraceFile.h"

namespace Radishplank {

struct GeneratorSettings
{
    /// `sundholl` (evening peak with counter calls) or `lotka` (steady calls of a shift).
    std::string deployment = "lotka";
    std::uint64_t seed = 1;
    Milliseconds duration{20'000};
    /// Mean calls a second over the whole trace.
    double callsPerSecond = 20;
    double meanTokens = 24;
};

/// Draws a trace: Poisson arrivals whose rate follows the deployment's day, log-normal answer
/// lengths, and prompts that share a few long prefixes with Zipf-like weights.
std::vector<TraceCall> generateTrace(const GeneratorSettings &settings);

} // namespace Radishplank
