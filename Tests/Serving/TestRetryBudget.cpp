#include <Serving/Serving.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace Radishplank;

namespace {

constexpr std::size_t upstreamCount = 4;
constexpr std::uint32_t slotsEach = 50;
constexpr double share = 0.1;
constexpr double reserve = 20;

/// Simulates upstreams with slots; a retry goes to a live one, with a free slot if there is one.
class ModelFleet
{
public:
    explicit ModelFleet(std::uint32_t runningEach) { m_running.fill(runningEach); }

    [[nodiscard]] bool hasFreeSlot(std::size_t upstream) const
    {
        return m_isAlive[upstream] && m_running[upstream] < slotsEach;
    }
    /// Fails an upstream and ends all its calls; returns how many there were.
    std::uint32_t fail(std::size_t upstream)
    {
        m_isAlive[upstream] = false;
        return std::exchange(m_running[upstream], 0);
    }
    /// Tries to place a retry; returns whether it runs.
    bool retry(RetryBudget &budget)
    {
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
            if (hasFreeSlot(upstream)) {
                m_running[upstream] += 1;
                return budget.takeRetry(SlotAvailability::Free);
            }
        }
        const bool isAllowed = budget.takeRetry(SlotAvailability::Full);
        m_displacing += isAllowed ? 1 : 0;
        return isAllowed;
    }
    /// Number of retries that displaced a first attempt.
    [[nodiscard]] std::uint32_t displacing() const { return m_displacing; }

private:
    std::array<std::uint32_t, upstreamCount> m_running{};
    std::array<bool, upstreamCount> m_isAlive{true, true, true, true};
    std::uint32_t m_displacing = 0;
};

} // namespace

TEST_CASE("Retries run where slots are free, and do not amplify an outage")
{
    RetryBudget budget(share, reserve);

    SECTION("Two of four upstreams fail while half of the slots are free")
    {
        ModelFleet fleet(slotsEach / 2);
        std::uint32_t lost = fleet.fail(0);
        lost += fleet.fail(1);
        std::uint32_t retried = 0;
        for (std::uint32_t call = 0; call < lost; ++call)
            retried += fleet.retry(budget) ? 1 : 0;
        CHECK(retried == lost);
        CHECK(fleet.displacing() == 0);
        CHECK(budget.available() == reserve);
    }
    SECTION("The other upstreams are full")
    {
        ModelFleet fleet(slotsEach);
        std::uint32_t lost = fleet.fail(0);
        lost += fleet.fail(1);
        for (std::uint32_t call = 0; call < lost; ++call)
            (void)fleet.retry(budget);
        CHECK(fleet.displacing() == reserve);

        SECTION("and stay full while every second call is cut off: retries are a tenth of the "
                "successes")
        {
            constexpr std::uint32_t successes = 5'000;
            const auto before = fleet.displacing();
            for (std::uint32_t call = 0; call < successes; ++call) {
                budget.noteSuccess();
                (void)fleet.retry(budget);
            }
            CHECK(fleet.displacing() - before <= successes / 10);
            CHECK(fleet.displacing() - before >= successes / 10 - 1);
        }
    }
}
