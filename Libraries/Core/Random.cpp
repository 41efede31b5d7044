#include <Core/Random.h>

#include <array>
#include <cstdio>

namespace Radishplank {

RandomEngine &threadRandomEngine()
{
    thread_local RandomEngine engine = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return RandomEngine(seed);
    }();
    return engine;
}

std::string makeUniqueId(std::string_view prefix)
{
    auto &engine = threadRandomEngine();
    std::array<char, 33> digits{};
    const auto high = static_cast<unsigned long long>(engine());
    const auto low = static_cast<unsigned long long>(engine());
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx", high, low);
    return std::string(prefix) + "-" + digits.data();
}

std::uint64_t randomBelow(RandomEngine &engine, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine);
}

} // namespace Radishplank
