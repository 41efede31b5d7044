#include <Gateway/Gateway.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

using namespace Radishplank;

namespace {

constexpr std::size_t processCount = 27;
constexpr std::size_t upstreamCount = 57;
constexpr unsigned slots = 8;
constexpr unsigned onlineEach = 3;

/// Simulates entry processes that start waiting batch items in rounds. In each round, a process
/// sees the items that all processes started in earlier rounds, and of this round only its own.
/// Items do not complete.
class Fleet
{
public:
    /// `waiting`: number of items that wait at each process.
    explicit Fleet(std::vector<std::size_t> waiting)
        : m_waiting(std::move(waiting))
        , m_running(upstreamCount)
    {
    }

    /// Runs one round. `chooseCount` returns how many items a process starts, given the free
    /// capacity that it sees, its own waiting items and the waiting items of all processes.
    template<typename ChooseCount, typename ChoosePlace>
    void runRound(ChooseCount chooseCount, ChoosePlace choosePlace)
    {
        const auto before = m_running;
        const auto waitingOfAll = waiting();
        for (auto &own : m_waiting) {
            auto places = placesWith(before);
            double capacity = 0;
            for (const auto &place : places)
                capacity += batchCapacity(place);
            const auto count = std::min(own, chooseCount(capacity, own, waitingOfAll));
            for (std::size_t i = 0; i < count; ++i) {
                const auto place = choosePlace(places);
                if (!place)
                    break;
                places[*place].batch += 1;
                m_running[*place] += 1;
                own -= 1;
            }
        }
    }

    [[nodiscard]] std::size_t waiting() const
    {
        return std::accumulate(m_waiting.begin(), m_waiting.end(), std::size_t{0});
    }
    [[nodiscard]] unsigned running() const
    {
        return std::accumulate(m_running.begin(), m_running.end(), 0U);
    }
    /// Returns how many streams exceed the slots of their upstreams, so that online calls must
    /// wait.
    [[nodiscard]] unsigned streamsOverSlots() const
    {
        unsigned count = 0;
        for (const auto batch : m_running)
            count += std::max(slots, onlineEach + batch) - slots;
        return count;
    }

private:
    static std::vector<UpstreamCandidate> placesWith(const std::vector<unsigned> &batch)
    {
        std::vector<UpstreamCandidate> places(batch.size());
        for (std::size_t i = 0; i < batch.size(); ++i) {
            places[i].slots = slots;
            places[i].online = onlineEach;
            places[i].batch = batch[i];
        }
        return places;
    }

    std::vector<std::size_t> m_waiting;
    std::vector<unsigned> m_running;
};

std::vector<std::size_t> makeBurst()
{
    std::vector<std::size_t> waiting(processCount);
    for (std::size_t i = 0; i < processCount; ++i)
        waiting[i] = 10 * i;
    return waiting;
}

} // namespace

TEST_CASE("A burst of jobs does not oversubscribe the free slots", "[BatchRounds]")
{
    constexpr unsigned freeSlots = upstreamCount * (slots - onlineEach);
    RandomEngine random(7);
    Fleet fleet(makeBurst());
    REQUIRE(fleet.waiting() > 10 * freeSlots);
    const auto randomPlace = [&](const std::vector<UpstreamCandidate> &places) {
        return chooseBatchUpstream(places, random);
    };

    SECTION("Each process starts its share in each round")
    {
        const auto share = [&](double capacity, std::size_t own, std::size_t all) {
            const double draw = std::uniform_real_distribution<double>(0, 1)(random);
            return batchShare(capacity, static_cast<double>(own), static_cast<double>(all), draw);
        };
        for (int round = 0; round < 8; ++round)
            fleet.runRound(share, randomPlace);
        CHECK(fleet.running() >= freeSlots * 85 / 100);
        CHECK(fleet.streamsOverSlots() <= freeSlots * 5 / 100);
    }
    SECTION("Baseline: each process fills all slots that it sees as free")
    {
        fleet.runRound([](double, std::size_t own, std::size_t) { return own; }, randomPlace);
        CHECK(fleet.streamsOverSlots() > 5 * freeSlots);
    }
    SECTION("Baseline: all choose the emptiest upstream first and start half of the free capacity "
            "in total")
    {
        const auto half = [&](double capacity, std::size_t own, std::size_t all) {
            return batchShare(capacity, static_cast<double>(own), static_cast<double>(all), 0.5);
        };
        const auto emptiest = [](const std::vector<UpstreamCandidate> &places) {
            const auto best = std::min_element(
                    places.begin(), places.end(),
                    [](const auto &left, const auto &right) { return left.batch < right.batch; });
            return std::optional<std::size_t>(static_cast<std::size_t>(best - places.begin()));
        };
        fleet.runRound(half, emptiest);
        CHECK(fleet.streamsOverSlots() > freeSlots * 15 / 100);
    }
}
