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

/// Entry processes that start waiting batch items turn by turn. In a turn, each sees what all have
/// started before it, and of this turn only what it has started itself. Items run on.
class Fleet
{
public:
    /// `waiting`: items that wait at each process.
    explicit Fleet(std::vector<std::size_t> waiting)
        : m_waiting(std::move(waiting))
        , m_running(upstreamCount)
    {
    }

    /// Each process starts a part of its waiting items; `chooseCount` gets the room that it sees,
    /// what waits there, and what waits everywhere.
    template<typename ChooseCount, typename ChoosePlace>
    void playTurn(ChooseCount chooseCount, ChoosePlace choosePlace)
    {
        const auto before = m_running;
        const auto waitingOfAll = waiting();
        for (auto &own : m_waiting) {
            auto places = placesWith(before);
            double room = 0;
            for (const auto &place : places)
                room += batchCapacity(place);
            const auto count = std::min(own, chooseCount(room, own, waitingOfAll));
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
    /// Items at upstreams beyond their slots: online calls wait behind them.
    [[nodiscard]] unsigned beyondSlots() const
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

std::vector<std::size_t> burst()
{
    std::vector<std::size_t> waiting(processCount);
    for (std::size_t i = 0; i < processCount; ++i)
        waiting[i] = 10 * i;
    return waiting;
}

} // namespace

TEST_CASE("A burst of jobs fills the free slots once, not several times", "[BatchTurns]")
{
    constexpr unsigned freeSlots = upstreamCount * (slots - onlineEach);
    RandomEngine random(7);
    Fleet fleet(burst());
    REQUIRE(fleet.waiting() > 10 * freeSlots);
    const auto byLot = [&](const std::vector<UpstreamCandidate> &places) {
        return chooseBatchUpstream(places, random);
    };

    SECTION("Each takes its share, by turns")
    {
        const auto share = [&](double room, std::size_t own, std::size_t all) {
            const double draw = std::uniform_real_distribution<double>(0, 1)(random);
            return batchShare(room, static_cast<double>(own), static_cast<double>(all), draw);
        };
        for (int turn = 0; turn < 8; ++turn)
            fleet.playTurn(share, byLot);
        CHECK(fleet.running() >= freeSlots * 85 / 100);
        CHECK(fleet.beyondSlots() <= freeSlots * 5 / 100);
    }
    SECTION("Baseline: each takes what it sees to be free")
    {
        fleet.playTurn([](double, std::size_t own, std::size_t) { return own; }, byLot);
        CHECK(fleet.beyondSlots() > 5 * freeSlots);
    }
    SECTION("Baseline: all take the emptiest upstream first, half of the room in all")
    {
        const auto half = [&](double room, std::size_t own, std::size_t all) {
            return batchShare(room, static_cast<double>(own), static_cast<double>(all), 0.5);
        };
        const auto emptiest = [](const std::vector<UpstreamCandidate> &places) {
            const auto best = std::min_element(
                    places.begin(), places.end(),
                    [](const auto &left, const auto &right) { return left.batch < right.batch; });
            return std::optional<std::size_t>(static_cast<std::size_t>(best - places.begin()));
        };
        fleet.playTurn(half, emptiest);
        CHECK(fleet.beyondSlots() > freeSlots * 15 / 100);
    }
}
