#pragma once

#include <Core/Clock.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Radishplank {

/// A monotonic counter; thread-safe.
class Counter
{
public:
    void increase(std::uint64_t by = 1) { m_value.fetch_add(by, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A latency histogram with logarithmic buckets from 0.1 ms to 100 s; thread-safe.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(Duration latency);
    [[nodiscard]] std::uint64_t count() const;
    /// Returns the upper bound, in seconds, of the bucket that contains the given quantile.
    [[nodiscard]] double quantileSeconds(double quantile) const;
    /// Appends the histogram in the Prometheus text format under the given metric name.
    void renderPrometheus(std::string &text, std::string_view name) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Appends a counter in the Prometheus text format.
void renderCounter(std::string &text, std::string_view name, const Counter &counter);

/// Appends a gauge in the Prometheus text format.
void renderGauge(std::string &text, std::string_view name, double value);

} // namespace Radishplank
