#pragma once

#include <Core/Clock.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Radishplank {

/// A count that only rises; safe to increase from any thread.
class Counter
{
public:
    void increase(std::uint64_t by = 1) { m_value.fetch_add(by, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A latency distribution with logarithmic buckets from 0.1 ms to 100 s; safe from any thread.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(Duration latency);
    [[nodiscard]] std::uint64_t count() const;
    /// Returns the upper bound, in seconds, of the bucket that holds the given share of samples.
    [[nodiscard]] double quantileSeconds(double share) const;
    /// Appends the Prometheus text form of the histogram under the given metric name.
    void renderPrometheus(std::string &text, std::string_view name) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Appends a counter in the Prometheus text form.
void renderCounter(std::string &text, std::string_view name, const Counter &counter);

/// Appends a value that may fall, in the Prometheus text form.
void renderGauge(std::string &text, std::string_view name, double value);

} // namespace Radishplank
