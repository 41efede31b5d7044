#pragma once

#include "TraceFile.h"

namespace Radishplank {

struct GeneratorSettings
{
    /// `sundholl` (evening peak with counter calls) or `lotka` (steady calls during a shift).
    std::string deployment = "lotka";
    std::uint64_t seed = 1;
    Milliseconds duration{20'000};
    /// Mean rate over the whole trace.
    double callsPerSecond = 20;
    double meanTokens = 24;
};

/// Generates a random trace: Poisson arrivals whose rate follows the traffic pattern of the
/// deployment, log-normal answer lengths, and prompts that share a few long prefixes with Zipf-like
/// weights.
std::vector<TraceCall> generateTrace(const GeneratorSettings &settings);

} // namespace Radishplank
