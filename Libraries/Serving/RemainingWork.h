#pragma once

#include <Core/Core.h>

#include <array>
#include <cstddef>

namespace Radishplank {

/// Logarithmic buckets for durations from 10 ms to 31 s; values outside count to the outer ones.
class DurationBuckets
{
public:
    static constexpr std::size_t count = 36;

    [[nodiscard]] static std::size_t indexOf(double milliseconds);
    /// Returns the value that stands for a bucket, in milliseconds.
    [[nodiscard]] static double valueOf(std::size_t bucket);
};

/// Weights of the buckets; the sum is arbitrary.
using DurationWeights = std::array<float, DurationBuckets::count>;

/// Distribution of the time that a request occupies a slot, and what remains of it after some of
/// that time has passed. Immutable.
class RemainingWork
{
public:
    RemainingWork() = default;
    explicit RemainingWork(const DurationWeights &weights, double scale = 1);

    /// Returns the mean slot time in milliseconds; 0 without data.
    [[nodiscard]] double mean() const;
    /// Returns the slot time, in milliseconds, that the given share of requests does not exceed.
    [[nodiscard]] double quantile(double share) const;
    /// Returns the mean rest, in milliseconds, of a request that has occupied a slot for
    /// `elapsed` milliseconds.
    [[nodiscard]] double rest(double elapsed) const;
    /// Returns the rest that the given share of such requests does not exceed, in milliseconds.
    [[nodiscard]] double restQuantile(double elapsed, double share) const;

private:
    /// For each bucket, the weight and the weighted value of it and of all longer ones.
    std::array<float, DurationBuckets::count + 1> m_weightFrom{};
    std::array<float, DurationBuckets::count + 1> m_valueFrom{};
    double m_scale = 1;
};

} // namespace Radishplank
