#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace Radishplank {

/// Random number engine; functions take it by reference so that tests can seed it.
using RandomEngine = std::mt19937_64;

/// Returns the engine of the calling thread, seeded from the operating system.
RandomEngine &threadRandomEngine();

/// Returns a unique identifier: the prefix, a dash and 128 random bits in hexadecimal.
std::string makeUniqueId(std::string_view prefix);

/// Returns a uniformly distributed number in [0, bound).
std::uint64_t randomBelow(RandomEngine &engine, std::uint64_t bound);

} // namespace Radishplank
