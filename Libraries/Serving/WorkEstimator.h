#pragma once

#include <Core/Core.h>
#include <Serving/RemainingWork.h>

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace Radishplank {

/// What a request states that may tell how much work it is; 0 if it does not state it.
struct WorkFeatures
{
    bool isBatch = false;
    /// Whether the answer is a stream of events; otherwise it arrives as a whole at its end.
    bool isStream = true;
    /// Hashes of the names of service, route and owner.
    std::uint64_t service = 0;
    std::uint64_t route = 0;
    std::uint64_t owner = 0;
    unsigned promptTokens = 0;
    unsigned maxOutputTokens = 0;
    /// The caller's estimate of the output tokens.
    unsigned lengthHint = 0;
};

/// Expected work of a request, at an upstream of usual pace.
struct WorkEstimate
{
    RemainingWork slotTime;
    /// Median time from sending a request to its first event if it gets a slot at once.
    double firstEventMs = 0;
};

/// Decayed linear regression of log(slot time) on the logarithms of the stated output lengths.
/// Shows how much these statements are worth. Pure.
class LengthRegression
{
public:
    static constexpr std::size_t inputCount = 2;
    using Inputs = std::array<double, inputCount>;

    /// Records an outcome. Inputs of 0 are missing and count as average.
    void record(const Inputs &inputs, double logOutcome, TimePoint now);
    /// Returns by how much the logarithm of the outcome differs from that of an average request.
    [[nodiscard]] double offset(const Inputs &inputs) const;
    [[nodiscard]] const Inputs &slopes() const { return m_slopes; }

private:
    void solve();

    double m_weight = 0;
    Inputs m_mean{};
    double m_outcomeMean = 0;
    std::array<Inputs, inputCount> m_covariance{};
    Inputs m_outcomeCovariance{};
    Inputs m_slopes{};
    TimePoint m_updatedAt{};
};

/// Learns how long requests occupy a slot and when their first event arrives.
///
/// Keeps decayed distributions for four keys, from narrow to broad: route, owner and class of the
/// prompt's length; route and class; route; service. A narrow key with few samples is filled up
/// from the broader ones. Half of the weight of a sample is gone after 5 s. Bounded memory: the
/// least recently used keys are evicted. Pure.
class WorkEstimator
{
public:
    explicit WorkEstimator(std::size_t maxKeys = 512);

    [[nodiscard]] WorkEstimate estimate(const WorkFeatures &features, TimePoint now) const;
    /// Records the slot time of a request that ran from beginning to end, divided by the pace of
    /// its upstream.
    void recordSlotTime(const WorkFeatures &features, double milliseconds, TimePoint now);
    /// Records the time to the first event of a request that got a slot at once, likewise.
    void recordFirstEvent(const WorkFeatures &features, double milliseconds, TimePoint now);

    [[nodiscard]] std::size_t keyCount() const { return m_entries.size(); }
    /// Mean slot time in milliseconds that is assumed without data.
    static constexpr double defaultOnlineMs = 700;
    static constexpr double defaultBatchMs = 4'500;

private:
    static constexpr std::size_t levelCount = 4;
    using Keys = std::array<std::uint64_t, levelCount>;

    /// A decayed histogram.
    struct Histogram
    {
        DurationWeights weights{};
        float total = 0;
    };
    struct Entry
    {
        Histogram slotTime;
        Histogram firstEvent;
        TimePoint updatedAt{};
        std::list<std::uint64_t>::iterator use;
    };

    /// Returns the keys of a request from broad to narrow.
    [[nodiscard]] static Keys keysOf(const WorkFeatures &features);
    void record(const WorkFeatures &features, Histogram Entry::*histogram, double milliseconds,
                TimePoint now);
    Entry &entryOf(std::uint64_t key, TimePoint now);
    [[nodiscard]] const LengthRegression &regressionOf(const WorkFeatures &features) const
    {
        return m_regressions[features.isBatch ? 1 : 0];
    }

    std::size_t m_maxKeys;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    /// Keys by their last use, the latest first.
    std::list<std::uint64_t> m_uses;
    std::array<LengthRegression, 2> m_regressions;
};

} // namespace Radishplank
